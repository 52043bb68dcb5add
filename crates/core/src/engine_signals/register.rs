//! Register of engines that are draining or have asked this node for a backoff.

use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Maximum number of draining engines in the register; the oldest entry is evicted first. Twice the size of the largest
/// supported fleet.
const MAX_DRAINING_ENGINES: usize = 20_000;

/// Maximum duration of a backoff. A longer one is shortened to this, and the engine can ask for another one.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Longest time by which a node's list of engines may be behind the engines. A start that answers within it at its predecessor's
/// address may be taken for its predecessor.
const MAX_LIST_LAG: Duration = Duration::from_secs(2);

/// A backoff that an engine asked for.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: MonotonicTime,
    /// Time of the last signal.
    recorded_at: MonotonicTime,
}

/// Drain and backoff signals by engine handle; a restarted engine has a new handle. The register is independent of the engine list, so that an
/// outdated or restored list entry does not revoke a signal of the engine itself.
#[derive(Clone, Debug, Default)]
pub struct SignalRegister {
    draining: BTreeSet<SubjectHandle>,
    /// Draining engines in the order in which they were recorded.
    draining_order: VecDeque<SubjectHandle>,
    backoffs: BTreeMap<SubjectHandle, Backoff>,
}

impl SignalRegister {
    /// Records that an engine is draining. Returns whether this was not known before. An engine drains until it is restarted.
    pub fn record_draining(&mut self, engine: SubjectHandle) -> bool {
        if !self.draining.insert(engine) {
            return false;
        }
        self.draining_order.push_back(engine);
        if self.draining_order.len() > MAX_DRAINING_ENGINES
            && let Some(first) = self.draining_order.pop_front()
        {
            self.draining.remove(&first);
        }
        true
    }

    /// Whether an engine has signaled that it is draining.
    pub fn is_draining(&self, engine: SubjectHandle) -> bool {
        self.draining.contains(&engine)
    }

    /// Records a backoff that an engine asked for, and returns the end of the backoff. A later signal never makes it end earlier.
    pub fn record_backoff(
        &mut self,
        engine: SubjectHandle,
        backoff: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        self.backoffs.retain(|_, backoff| backoff.until > now);
        let requested_end = now + backoff.min(MAX_BACKOFF);
        let backoff = self.backoffs.entry(engine).or_insert(Backoff {
            until: requested_end,
            recorded_at: now,
        });
        backoff.until = backoff.until.max(requested_end);
        backoff.recorded_at = now;
        backoff.until
    }

    /// Applies the backoff of an engine that was delisted to a later start at its address, if that start may have asked for it: it was
    /// recorded at most [`MAX_LIST_LAG`] before the list changed.
    pub fn inherit_backoff(
        &mut self,
        predecessor: SubjectHandle,
        delisted_at: MonotonicTime,
        engine: SubjectHandle,
    ) {
        let Some(backoff) = self.backoffs.get(&predecessor).copied() else {
            return;
        };
        if delisted_at.since(backoff.recorded_at) <= MAX_LIST_LAG {
            self.backoffs.entry(engine).or_insert(backoff);
        }
    }

    /// End of the last backoff of an engine, possibly in the past; `None` if there is none in the register.
    pub fn backoff_end(&self, engine: SubjectHandle) -> Option<MonotonicTime> {
        self.backoffs.get(&engine).map(|backoff| backoff.until)
    }

    /// Engines whose backoff has not ended.
    pub fn backed_off(&self, now: MonotonicTime) -> impl Iterator<Item = SubjectHandle> {
        let active = self
            .backoffs
            .iter()
            .filter(move |(_, backoff)| backoff.until > now);
        active.map(|(engine, _)| *engine)
    }
}
