//! Continuous batching: which sequences share a step, how long it takes and what is done at its end.
//!
//! Steps that are alike are taken together as one segment, so a long answer costs the simulator a few segments and
//! not one event per token. A segment ends when a sequence finishes or its prefill does; whatever arrives before
//! cuts it at the end of the step that runs.

use crate::config::{EngineLimits, StepCosts};
use crate::load::{Speed, nominal_decode_speed, nominal_prefill_speed};
use crate::prefix_cache::PrefixCache;
use crate::sequence::{
    BatchEvent, BatchEventKind, Progress, Sequence, SequenceKey, SequenceTable, SequenceWork,
};
use shelfjunction_core::engine::{KvChange, LoadReport, Phase};
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

/// Steps that are alike, one after another.
#[derive(Debug)]
struct Segment {
    start: MonotonicTime,
    step_micros: u64,
    planned: u64,
    applied: u64,
    /// Prompt tokens that each prefilling sequence gains in a step.
    takers: Vec<(SequenceKey, u32)>,
    /// Imported sequences whose first token comes at the end of the first step.
    joined: Vec<SequenceKey>,
    /// Sequences that decode.
    decoding: u32,
}

impl Segment {
    fn end(&self) -> MonotonicTime {
        self.start + Duration::from_micros(self.step_micros * self.planned)
    }

    /// Whole steps that have passed, at most the planned ones.
    fn passed(&self, now: MonotonicTime) -> u64 {
        let micros = now.0.saturating_sub(self.start.0);
        (micros / self.step_micros).min(self.planned)
    }
}

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

    fn run_until(&mut self, now: MonotonicTime, events: &mut Vec<BatchEvent>) {
        while let Some(mut segment) = self.segment.take() {
            let passed = segment.passed(now);
            self.apply_steps(&mut segment, passed);
            if passed < segment.planned {
                self.segment = Some(segment);
                return;
            }
            let end = segment.end();
            self.complete(segment, end, events);
            self.segment = self.form(end);
        }
    }

    /// Counts steps of a segment up to `passed`.
    fn apply_steps(&mut self, segment: &mut Segment, passed: u64) {
        let steps = passed - segment.applied;
        if steps == 0 {
            return;
        }
        segment.applied = passed;
        self.completed_steps += steps;
        let micros = steps * segment.step_micros;
        let mut prefilled = 0;
        for (key, tokens) in &segment.takers {
            if let Some(sequence) = self.table.get_mut(*key) {
                let gained = u64::from(*tokens) * steps;
                sequence.prefill_left -= gained as u32;
                self.queued_prefill_tokens -= gained;
                prefilled += gained;
            }
        }
        self.prefill_speed.add(prefilled, micros);
        self.decode_speed.add(u64::from(segment.decoding) * steps, micros);
    }

    /// What is due at the end of a segment.
    fn complete(&mut self, segment: Segment, end: MonotonicTime, events: &mut Vec<BatchEvent>) {
        for key in segment.joined {
            if self.table.get(key).is_some() {
                let kind = BatchEventKind::FirstToken;
                events.push(BatchEvent { key, at: end, kind });
            }
        }
        for (key, _) in segment.takers {
            if self
                .table
                .get(key)
                .is_some_and(|sequence| sequence.prefill_left == 0)
            {
                self.complete_prefill(key, end, events);
            }
        }
        while let Some(Reverse((step, key))) = self.finishing.peek().copied() {
            if step > self.completed_steps {
                break;
            }
            self.finishing.pop();
            self.finish(key, end, events);
        }
    }

    fn complete_prefill(&mut self, key: SequenceKey, end: MonotonicTime, events: &mut Vec<BatchEvent>) {
        let Some(sequence) = self.table.get_mut(key) else {
            return;
        };
        let class = sequence.work.class as usize;
        self.prefilling[class].retain(|held| *held != key);
        let stored = self.cache.store(&sequence.work.prompt_blocks);
        let moved = (stored.len() as u64 * BLOCK).min(sequence.reserved_tokens);
        sequence.reserved_tokens -= moved;
        self.reserved_tokens -= moved;
        if !stored.is_empty() {
            self.cache_changes
                .push((end, KvChange::Stored { blocks: stored }));
        }
        if sequence.work.phase == Phase::PrefillOnly {
            self.queued_decode_tokens -= u64::from(sequence.work.output_tokens);
            self.release(key);
            let kind = BatchEventKind::Prefilled;
            events.push(BatchEvent { key, at: end, kind });
            return;
        }
        let kind = BatchEventKind::FirstToken;
        events.push(BatchEvent { key, at: end, kind });
        self.start_decoding(key, self.completed_steps);
    }

    fn start_decoding(&mut self, key: SequenceKey, first_step: u64) {
        let Some(sequence) = self.table.get_mut(key) else {
            return;
        };
        sequence.progress = Progress::Decoding { first_step };
        let last_step = sequence.last_step(first_step);
        self.queued_decode_tokens -= u64::from(sequence.work.output_tokens);
        self.decoding += 1;
        self.last_step_sum += last_step;
        self.finishing.push(Reverse((last_step, key)));
    }

    fn stop_decoding(&mut self, last_step: u64) {
        self.decoding -= 1;
        self.last_step_sum -= last_step;
    }

    fn finish(&mut self, key: SequenceKey, end: MonotonicTime, events: &mut Vec<BatchEvent>) {
        let Some(sequence) = self.table.get(key) else {
            return;
        };
        let cached_prompt_tokens = sequence.cached_tokens;
        if let Progress::Decoding { first_step } = sequence.progress {
            let last_step = sequence.last_step(first_step);
            self.stop_decoding(last_step);
        }
        self.release(key);
        let kind = BatchEventKind::Finished { cached_prompt_tokens };
        events.push(BatchEvent { key, at: end, kind });
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

    /// Chooses the next steps; absent when there is nothing to run.
    fn form(&mut self, at: MonotonicTime) -> Option<Segment> {
        let joined = self.join_imported(at);
        let takers = self.choose_prefills(at);
        if takers.is_empty() && self.decoding == 0 {
            return None;
        }
        let planned = self.steps_alike(&takers, joined.is_empty());
        let tokens: u64 = takers.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        let nanos = self.costs.base_micros * 1_000
            + tokens * self.costs.prefill_token_nanos
            + u64::from(self.decoding) * self.costs.sequence_nanos;
        Some(Segment {
            start: at,
            step_micros: (nanos * self.slowness / FULL_SPEED / 1_000).max(1),
            planned,
            applied: 0,
            takers,
            joined,
            decoding: self.decoding,
        })
    }

    /// Lets imported sequences decode from this step on.
    fn join_imported(&mut self, at: MonotonicTime) -> Vec<SequenceKey> {
        let mut joined = Vec::new();
        while let Some(key) = self.imported.front().copied() {
            if self.table.get(key).is_some() {
                if !self.start(at, key) {
                    break;
                }
                self.start_decoding(key, self.completed_steps + 1);
                joined.push(key);
            }
            self.imported.pop_front();
        }
        joined
    }

    /// Shares one step's prefill among sequences: lower classes first, begun ones first within a class.
    fn choose_prefills(&mut self, at: MonotonicTime) -> Vec<(SequenceKey, u32)> {
        let mut budget = self.limits.prefill_chunk_tokens;
        let mut takers = Vec::new();
        let mut blocked = false;
        for class in 0..CLASSES {
            self.drop_cancelled(class);
            for key in &self.prefilling[class] {
                give(&self.table, *key, &mut budget, &mut takers);
            }
            // A class that waits for memory must not be overtaken for ever by smaller calls of a later class.
            while budget > 0 && !blocked {
                let Some(key) = self.waiting[class].front().copied() else {
                    break;
                };
                if self.table.get(key).is_some() {
                    if !self.start(at, key) {
                        blocked = true;
                        break;
                    }
                    self.prefilling[class].push_back(key);
                    give(&self.table, key, &mut budget, &mut takers);
                }
                self.waiting[class].pop_front();
            }
        }
        takers
    }

    fn drop_cancelled(&mut self, class: usize) {
        let table = &self.table;
        self.prefilling[class].retain(|key| table.get(*key).is_some());
    }

    /// Takes a sequence into the batch if there is a place and memory for it.
    fn start(&mut self, at: MonotonicTime, key: SequenceKey) -> bool {
        let Some(sequence) = self.table.get_mut(key) else {
            return false;
        };
        let longest = sequence.longest_tokens();
        let full = self.started >= self.limits.active_sequences;
        if full || self.reserved_tokens + longest > self.limits.cache_tokens {
            return false;
        }
        if !sequence.work.imported {
            let held = self.cache.touch(&sequence.work.prompt_blocks) as u64 * BLOCK;
            // The last prompt token is always computed, since the first output token follows from it.
            let cached = held.min(u64::from(sequence.work.prompt_tokens.max(1)) - 1) as u32;
            sequence.cached_tokens = cached;
            sequence.prefill_left -= cached;
            self.queued_prefill_tokens -= u64::from(cached);
        }
        let reserved = longest - u64::from(sequence.cached_tokens);
        sequence.reserved_tokens = reserved;
        sequence.progress = Progress::Prefilling;
        self.reserved_tokens += reserved;
        self.started += 1;
        self.shrink_cache(at);
        true
    }

    /// Evicts cached blocks until they fit beside the running sequences.
    fn shrink_cache(&mut self, at: MonotonicTime) {
        let allowed = self.limits.cache_tokens.saturating_sub(self.reserved_tokens) / BLOCK;
        let excess = (self.cache.len() as u64).saturating_sub(allowed);
        if excess == 0 {
            return;
        }
        let blocks = self.cache.evict(excess as usize);
        self.cache_changes.push((at, KvChange::Removed { blocks }));
    }

    /// Steps that can follow one another with the same batch; at least one.
    fn steps_alike(&mut self, takers: &[(SequenceKey, u32)], nothing_joined: bool) -> u64 {
        if !nothing_joined {
            return 1;
        }
        let prefill = self.prefill_steps(takers);
        let decode = self.steps_to_next_finish();
        prefill.min(decode).max(1)
    }

    /// Steps until the shares of the prefill change.
    fn prefill_steps(&self, takers: &[(SequenceKey, u32)]) -> u64 {
        match takers {
            [] => u64::MAX,
            [(key, tokens)] if *tokens == self.limits.prefill_chunk_tokens => {
                let left = self.table.get(*key).map_or(0, |sequence| sequence.prefill_left);
                u64::from(left / tokens)
            }
            _ => 1,
        }
    }

    fn steps_to_next_finish(&mut self) -> u64 {
        while let Some(Reverse((step, key))) = self.finishing.peek().copied() {
            if self.table.get(key).is_some() {
                return step.saturating_sub(self.completed_steps);
            }
            self.finishing.pop();
        }
        u64::MAX
    }
}

/// Gives a sequence its share of what remains of a step's prefill.
fn give(table: &SequenceTable, key: SequenceKey, budget: &mut u32, takers: &mut Vec<(SequenceKey, u32)>) {
    let left = table.get(key).map_or(0, |sequence| sequence.prefill_left);
    let share = left.min(*budget);
    if share > 0 {
        *budget -= share;
        takers.push((key, share));
    }
}
