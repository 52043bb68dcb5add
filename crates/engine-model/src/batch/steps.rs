//! What steps do: prompt tokens computed, output tokens produced, and what is due at the end of a segment.

use super::segment::Segment;
use super::{BLOCK, Batch};
use crate::sequence::{BatchEvent, BatchEventKind, Progress, SequenceKey};
use shelfjunction_core::engine::{KvChange, Phase};
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;

impl Batch {
    /// Runs all steps that end by `now`; imports that end before are not looked at.
    pub(super) fn run_until(&mut self, now: MonotonicTime, events: &mut Vec<BatchEvent>) {
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
        let phase = sequence.work.phase;
        let output_tokens = u64::from(sequence.work.output_tokens);
        self.prefilling[class].retain(|held| *held != key);
        let stored = self.cache.store(&sequence.work.prompt_blocks);
        let moved = (stored.len() as u64 * BLOCK).min(sequence.reserved_tokens);
        sequence.reserved_tokens -= moved;
        self.reserved_tokens -= moved;
        if !stored.is_empty() {
            self.cache_changes
                .push((end, KvChange::Stored { blocks: stored }));
        }
        // Blocks found at the start may have been evicted since; stored again, they take memory that nobody reserved.
        self.shrink_cache(end);
        if phase == Phase::PrefillOnly {
            self.queued_decode_tokens -= output_tokens;
            self.release(key);
            let kind = BatchEventKind::Prefilled;
            events.push(BatchEvent { key, at: end, kind });
            return;
        }
        let kind = BatchEventKind::FirstToken;
        events.push(BatchEvent { key, at: end, kind });
        self.start_decoding(key, self.completed_steps);
    }

    /// Lets a sequence produce output, the first token when `first_step` steps are completed.
    pub(super) fn start_decoding(&mut self, key: SequenceKey, first_step: u64) {
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

    /// Takes a decoding sequence out of the sums.
    pub(super) fn stop_decoding(&mut self, last_step: u64) {
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
}
