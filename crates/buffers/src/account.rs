//! Counts what is held and makes requests wait, or give way, when the account is full.

use crate::bytes::{BLOCK_BYTES, IncomingBytes};
use shelfjunction_core::buffering::{
    BufferLimits, HeldTotals, Progress, SMALL_REQUEST_BYTES, request_to_drop,
};
use shelfjunction_threads::{BootInstant, lock};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Longest wait for room between two looks for a request that gives way.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Why there is no room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The account is full and no other request gives way.
    Full,
    /// The request itself gave way to others.
    Dropped,
}

impl Shortage {
    /// Name for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Full => "buffers_full",
            Self::Dropped => "gave_way",
        }
    }
}

/// Wakes the thread that reads a request, so that it notices that the request was dropped.
pub(crate) type Interrupt = Arc<dyn Fn() + Send + Sync>;

/// Account of all bytes that one process holds for others.
pub struct BufferAccount {
    limits: BufferLimits,
    state: Mutex<State>,
    released: Condvar,
}

#[derive(Default)]
struct State {
    held: HeldTotals,
    unfinished: BTreeMap<u64, Unfinished>,
    next: u64,
    /// Requests that gave way since the start.
    dropped: u64,
    /// Requests that found no room since the start.
    refused: u64,
    /// Blocks that were used before; their memory is never more than was reserved at once.
    free_blocks: Vec<Vec<u8>>,
    /// Memory of bodies in one piece that was used before, likewise.
    free_buffers: Vec<Vec<u8>>,
}

/// A request that is being received.
struct Unfinished {
    began_at: BootInstant,
    received_at: BootInstant,
    received: usize,
    reserved: usize,
    /// Since when it waits for room.
    waits_since: Option<BootInstant>,
    is_dropped: bool,
    interrupt: Interrupt,
}

impl Unfinished {
    fn progress(&self, now: BootInstant) -> Progress {
        let now = self.waits_since.unwrap_or(now);
        Progress {
            age: now.since(self.began_at),
            silence: now.since(self.received_at),
            received: self.received,
        }
    }
}

/// What the account holds and has refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountFigures {
    /// Bytes held.
    pub held: HeldTotals,
    /// Requests that gave way since the start.
    pub dropped: u64,
    /// Requests that found no room since the start.
    pub refused: u64,
}

impl BufferAccount {
    /// An empty account.
    pub fn new(limits: BufferLimits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            state: Mutex::default(),
            released: Condvar::new(),
        })
    }

    /// The limits.
    pub fn limits(&self) -> &BufferLimits {
        &self.limits
    }

    /// What is held and was refused.
    pub fn figures(&self) -> AccountFigures {
        let state = lock(&self.state);
        AccountFigures {
            held: state.held,
            dropped: state.dropped,
            refused: state.refused,
        }
    }

    /// Begins to receive a request; `interrupt` is called, from any thread, when it is dropped.
    pub fn receive(self: &Arc<Self>, interrupt: impl Fn() + Send + Sync + 'static) -> IncomingBytes {
        let now = BootInstant::now();
        let mut state = lock(&self.state);
        state.next += 1;
        let number = state.next;
        let unfinished = Unfinished {
            began_at: now,
            received_at: now,
            received: 0,
            reserved: 0,
            waits_since: None,
            is_dropped: false,
            interrupt: Arc::new(interrupt),
        };
        state.unfinished.insert(number, unfinished);
        IncomingBytes::new(Arc::clone(self), number)
    }

    /// Drops unfinished requests that are far behind, as when the process is about to end.
    pub fn drop_lagging(&self) {
        let now = BootInstant::now();
        while self.drop_one(&mut lock(&self.state), now).is_some() {}
    }

    /// Replaces the bytes of undelivered answers that one connection holds. They are counted and never refused: the engine has done
    /// its work, and reading from it stops by other means.
    pub fn set_undelivered(&self, before: usize, now: usize) {
        let mut state = lock(&self.state);
        state.held.undelivered = state.held.undelivered.saturating_sub(before) + now;
        drop(state);
        if now < before {
            self.released.notify_all();
        }
    }

    /// Begins to hold an answer of an engine.
    pub fn hold_answer(self: &Arc<Self>) -> HeldAnswer {
        HeldAnswer {
            account: Arc::clone(self),
            held: 0,
        }
    }

    /// Notes bytes that came for a request; fails if it was dropped.
    pub(crate) fn note_received(&self, number: u64, received: usize) -> Result<(), Shortage> {
        let mut state = lock(&self.state);
        let Some(unfinished) = state.unfinished.get_mut(&number) else {
            return Err(Shortage::Dropped);
        };
        if unfinished.is_dropped {
            return Err(Shortage::Dropped);
        }
        unfinished.received = received;
        unfinished.received_at = BootInstant::now();
        Ok(())
    }

    pub(crate) fn is_dropped(&self, number: u64) -> bool {
        let state = lock(&self.state);
        state
            .unfinished
            .get(&number)
            .is_none_or(|unfinished| unfinished.is_dropped)
    }

    /// Reserves bytes for an unfinished request in place of what it has; waits for room for a bounded time.
    pub(crate) fn reserve(&self, number: u64, wanted: usize) -> Result<(), Shortage> {
        let until = BootInstant::now() + self.limits.max_wait;
        let mut state = lock(&self.state);
        let result = loop {
            let now = BootInstant::now();
            let held = state.held;
            let Some(unfinished) = state.unfinished.get_mut(&number).filter(|one| !one.is_dropped) else {
                break Err(Shortage::Dropped);
            };
            let own = unfinished.reserved;
            if self.limits.has_room(&held, own, wanted) {
                unfinished.reserved = wanted;
                state.held.requests = state.held.requests - own + wanted;
                break Ok(());
            }
            unfinished.waits_since.get_or_insert(now);
            let left = until.since(now);
            if left.is_zero() {
                break Err(Shortage::Full);
            }
            self.drop_for(&mut state, wanted - own, now);
            let waited = self.released.wait_timeout(state, left.min(LOOK_INTERVAL));
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        };
        state.refused += u64::from(result == Err(Shortage::Full));
        if let Some(unfinished) = state.unfinished.get_mut(&number)
            && let Some(since) = unfinished.waits_since.take()
        {
            let waited = BootInstant::now().since(since);
            unfinished.began_at = unfinished.began_at + waited;
            unfinished.received_at = unfinished.received_at + waited;
        }
        result
    }

    /// Drops requests until those that were dropped and have not ended yet make room for so many bytes.
    fn drop_for(&self, state: &mut State, wanted: usize, now: BootInstant) {
        let mut ending: usize = state
            .unfinished
            .values()
            .filter(|one| one.is_dropped)
            .map(|one| one.reserved)
            .sum();
        while ending < wanted {
            let Some(reserved) = self.drop_one(state, now) else {
                return;
            };
            ending += reserved;
        }
    }

    /// Drops the request that gives way first; its bytes.
    fn drop_one(&self, state: &mut State, now: BootInstant) -> Option<usize> {
        let candidates = state
            .unfinished
            .iter()
            .filter(|(_, one)| !one.is_dropped && one.reserved > 0)
            .map(|(number, one)| (*number, one.progress(now)));
        let number = request_to_drop(candidates)?;
        state.dropped += 1;
        let unfinished = state.unfinished.get_mut(&number)?;
        unfinished.is_dropped = true;
        (unfinished.interrupt)();
        Some(unfinished.reserved)
    }

    /// Ends the receiving of a request; what it has reserved stays reserved. Fails if it was dropped: its connection is not read from
    /// any more, so that its caller looks gone.
    pub(crate) fn finish(&self, number: u64) -> Result<(), Shortage> {
        let unfinished = lock(&self.state).unfinished.remove(&number);
        match unfinished {
            Some(unfinished) if unfinished.is_dropped => Err(Shortage::Dropped),
            _ => Ok(()),
        }
    }

    /// A block for bytes that are reserved.
    pub(crate) fn take_block(&self) -> Vec<u8> {
        let free = lock(&self.state).free_blocks.pop();
        free.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    /// Memory for a body in one piece, in room that is reserved: the smallest that is large enough, or the largest, grown.
    pub(crate) fn take_buffer(&self, length: usize) -> Vec<u8> {
        let free = &mut lock(&self.state).free_buffers;
        let position = free.partition_point(|buffer| buffer.capacity() < length);
        let position = position.min(free.len().saturating_sub(1));
        let mut buffer = if free.is_empty() {
            Vec::new()
        } else {
            free.remove(position)
        };
        buffer.reserve_exact(length);
        buffer
    }

    /// Takes the memory of a body in one piece back.
    pub(crate) fn give_back_buffer(&self, mut buffer: Vec<u8>) {
        if buffer.capacity() > SMALL_REQUEST_BYTES {
            buffer.clear();
            let free = &mut lock(&self.state).free_buffers;
            let kept: usize = free.iter().map(Vec::capacity).sum();
            if kept + buffer.capacity() > self.limits.large {
                return;
            }
            let position = free.partition_point(|one| one.capacity() < buffer.capacity());
            free.insert(position, buffer);
        }
    }

    /// Gives back what a request has reserved, with its blocks.
    pub(crate) fn release(&self, reserved: usize, blocks: &mut Vec<Vec<u8>>) {
        if reserved == 0 && blocks.is_empty() {
            return;
        }
        let mut state = lock(&self.state);
        state.held.requests = state.held.requests.saturating_sub(reserved);
        for mut block in blocks.drain(..) {
            block.clear();
            state.free_blocks.push(block);
        }
        drop(state);
        self.released.notify_all();
    }
}

/// What an account holds of an answer that its engine has not ended.
pub struct HeldAnswer {
    account: Arc<BufferAccount>,
    held: usize,
}

impl HeldAnswer {
    /// Replaces the number of bytes.
    pub fn set(&mut self, held: usize) {
        if held == self.held {
            return;
        }
        let mut state = lock(&self.account.state);
        state.held.answers = state.held.answers.saturating_sub(self.held) + held;
        drop(state);
        let is_released = held < self.held;
        self.held = held;
        if is_released {
            self.account.released.notify_all();
        }
    }

    /// Whether more of it is to be taken.
    pub fn reads_on(&self) -> bool {
        self.account
            .limits
            .reads_on(&lock(&self.account.state).held, self.held)
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl fmt::Debug for BufferAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("BufferAccount")
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}
