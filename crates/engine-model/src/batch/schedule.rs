//! Which sequences share the next steps, and how long these take.

use super::segment::Segment;
use super::{BLOCK, Batch, CLASSES, FULL_SPEED};
use crate::sequence::{Progress, SequenceKey, SequenceTable};
use shelfjunction_core::engine::KvChange;
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;

impl Batch {
    /// Chooses the next steps; absent when there is nothing to run.
    pub(super) fn form(&mut self, at: MonotonicTime) -> Option<Segment> {
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
    pub(super) fn shrink_cache(&mut self, at: MonotonicTime) {
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
