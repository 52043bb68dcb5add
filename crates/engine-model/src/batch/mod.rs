//! Continuous batching: which sequences share a step, how long it takes and what is done at its end.
//!
//! Steps that are alike are taken together as one segment, so a long answer costs the simulator a few segments and
//! not one event per token. A segment ends when a sequence finishes or its prefill does; whatever arrives before
//! cuts it at the end of the step that runs.

mod schedule;
mod segment;
mod steps;

use crate::config::{EngineLimits, StepCosts};
use crate::load::{Speed, nominal_decode_speed, nominal_prefill_speed};
use crate::prefix_cache::PrefixCache;
use crate::sequence::{BatchEvent, Progress, Sequence, SequenceKey, SequenceTable, SequenceWork};
use segment::Segment;
use shelfjunction_core::engine::{KvChange, LoadReport};
use shelfjunction_core::routing::prefix::BLOCK_TOKENS;
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// Classes of service, each with queues of its own.
const CLASSES: usize = 3;

/// Tokens in a cached block.
const BLOCK: u64 = BLOCK_TOKENS as u64;

/// Speed factor of an engine that is as fast as its costs say, in thousandths.
const FULL_SPEED: u64 = 1_000;

/// The running batch, its queues and the KV cache.
#[derive(Debug)]
pub(crate) struct Batch {
    costs: StepCosts,
    limits: EngineLimits,
    slowness: u64,
    table: SequenceTable,
    cache: PrefixCache,
    waiting: [VecDeque<SequenceKey>; CLASSES],
    prefilling: [VecDeque<SequenceKey>; CLASSES],
    transfers: BinaryHeap<Reverse<(MonotonicTime, SequenceKey)>>,
    imported: VecDeque<SequenceKey>,
    finishing: BinaryHeap<Reverse<(u64, SequenceKey)>>,
    segment: Option<Segment>,
    completed_steps: u64,
    started: u32,
    decoding: u32,
    /// Sum of the last steps of all decoding sequences, from which the output tokens that remain follow.
    last_step_sum: u64,
    queued_prefill_tokens: u64,
    queued_decode_tokens: u64,
    reserved_tokens: u64,
    prefill_speed: Speed,
    decode_speed: Speed,
    cache_changes: Vec<(MonotonicTime, KvChange)>,
}

impl Batch {
    pub fn new(costs: StepCosts, limits: EngineLimits) -> Self {
        Self {
            costs,
            limits,
            slowness: FULL_SPEED,
            table: SequenceTable::default(),
            cache: PrefixCache::new(),
            waiting: Default::default(),
            prefilling: Default::default(),
            transfers: BinaryHeap::new(),
            imported: VecDeque::new(),
            finishing: BinaryHeap::new(),
            segment: None,
            completed_steps: 0,
            started: 0,
            decoding: 0,
            last_step_sum: 0,
            queued_prefill_tokens: 0,
            queued_decode_tokens: 0,
            reserved_tokens: 0,
            prefill_speed: Speed::default(),
            decode_speed: Speed::default(),
            cache_changes: Vec::new(),
        }
    }

    /// Sequences that wait or run.
    pub fn len(&self) -> u32 {
        self.table.len()
    }

    /// Sequences that wait for the batch.
    pub fn queued(&self) -> u32 {
        self.table.len().saturating_sub(self.started)
    }

    /// Whether a sequence of this length can ever run here.
    pub fn fits(&self, work: &SequenceWork) -> bool {
        u64::from(work.prompt_tokens) + u64::from(work.output_tokens) <= self.limits.cache_tokens
    }

    /// Makes every step from the next one on slower by a factor; one is full speed.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slowness = ((factor * FULL_SPEED as f64) as u64).max(1);
    }

    /// Takes in a sequence. The caller has advanced the batch to `now`.
    pub fn submit(&mut self, now: MonotonicTime, work: SequenceWork) -> SequenceKey {
        let class = work.class as usize;
        let transfer = work.imported.then(|| self.transfer_time(&work));
        let sequence = Sequence::new(work);
        self.queued_prefill_tokens += u64::from(sequence.prefill_left);
        self.queued_decode_tokens += u64::from(sequence.work.output_tokens);
        let key = self.table.insert(sequence);
        match transfer {
            Some(time) => self.transfers.push(Reverse((now + time, key))),
            None => {
                self.waiting[class].push_back(key);
                self.interrupt(now);
            }
        }
        key
    }

    /// Removes a sequence; tells whether it was there. The caller has advanced the batch to `now`.
    pub fn cancel(&mut self, now: MonotonicTime, key: SequenceKey) -> bool {
        let Some(sequence) = self.table.get(key).cloned() else {
            return false;
        };
        self.queued_prefill_tokens -= u64::from(sequence.prefill_left);
        match sequence.progress {
            Progress::Waiting | Progress::Prefilling => {
                self.queued_decode_tokens -= u64::from(sequence.work.output_tokens);
            }
            Progress::Decoding { first_step } => self.stop_decoding(sequence.last_step(first_step)),
        }
        self.release(key);
        self.interrupt(now);
        true
    }

    /// Output tokens that a sequence has produced; absent when it is not here any more.
    pub fn produced(&self, key: SequenceKey) -> Option<u32> {
        let sequence = self.table.get(key)?;
        let Progress::Decoding { first_step } = sequence.progress else {
            return Some(0);
        };
        let steps = (self.completed_steps + 1).saturating_sub(first_step);
        Some(
            u32::try_from(steps)
                .unwrap_or(u32::MAX)
                .min(sequence.work.output_tokens),
        )
    }

    /// When the next sequence may change its state; steps before that change counts only.
    pub fn next_event_at(&self) -> Option<MonotonicTime> {
        let segment = self.segment.as_ref().map(Segment::end);
        let transfer = self.transfers.peek().map(|Reverse((at, _))| *at);
        segment.into_iter().chain(transfer).min()
    }

    /// When the running step ends, or an import does.
    pub fn next_step_at(&self) -> Option<MonotonicTime> {
        let step = self.segment.as_ref().map(|segment| {
            segment.start + Duration::from_micros(segment.step_micros * (segment.applied + 1))
        });
        let transfer = self.transfers.peek().map(|Reverse((at, _))| *at);
        step.into_iter().chain(transfer).min()
    }

    /// Runs all steps that end by `now`.
    pub fn advance(&mut self, now: MonotonicTime, events: &mut Vec<BatchEvent>) {
        while let Some(Reverse((at, key))) = self.transfers.peek().copied() {
            if at > now {
                break;
            }
            self.transfers.pop();
            self.run_until(at, events);
            self.imported.push_back(key);
            self.interrupt(at);
        }
        self.run_until(now, events);
    }

    /// Drops every cached prefix.
    pub fn clear_cache(&mut self, now: MonotonicTime) {
        if self.cache.clear() {
            self.cache_changes.push((now, KvChange::Cleared));
        }
    }

    /// Cache changes since the last call.
    pub fn take_cache_changes(&mut self) -> std::vec::Drain<'_, (MonotonicTime, KvChange)> {
        self.cache_changes.drain(..)
    }

    /// The load at this moment.
    pub fn load(&self) -> LoadReport {
        let remaining = self
            .last_step_sum
            .saturating_sub(u64::from(self.decoding) * self.completed_steps);
        let chunk = self.limits.prefill_chunk_tokens;
        let nominal_prefill = nominal_prefill_speed(&self.costs, chunk);
        let nominal_decode = nominal_decode_speed(&self.costs, self.limits.active_sequences);
        LoadReport {
            requests_in_flight: self.table.len(),
            queued_prefill_tokens: self.queued_prefill_tokens,
            queued_decode_tokens: self.queued_decode_tokens + remaining,
            active_sequences: self.decoding,
            cache_tokens_used: self.reserved_tokens + self.cache.len() as u64 * BLOCK,
            cache_tokens_capacity: self.limits.cache_tokens,
            prefill_tokens_per_second: self.prefill_speed.per_second(nominal_prefill),
            decode_tokens_per_second: self.decode_speed.per_second(nominal_decode),
        }
    }

    fn transfer_time(&self, work: &SequenceWork) -> Duration {
        Duration::from_nanos(u64::from(work.prompt_tokens) * self.costs.import_token_nanos)
    }

    /// Lets what has arrived or gone take part from the next step on.
    fn interrupt(&mut self, at: MonotonicTime) {
        match &mut self.segment {
            Some(segment) => segment.planned = segment.planned.min(segment.passed(at) + 1),
            None => self.segment = self.form(at),
        }
    }

    /// Frees a sequence's slot and memory.
    fn release(&mut self, key: SequenceKey) {
        if let Some(sequence) = self.table.remove(key) {
            self.reserved_tokens -= sequence.reserved_tokens;
            if sequence.progress != Progress::Waiting {
                self.started -= 1;
            }
        }
    }
}
