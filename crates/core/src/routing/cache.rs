//! Estimate of an engine's prefix cache, built from cache events that may arrive late or with gaps.

use crate::engine::{KvChange, KvEvent};
use std::collections::HashSet;

/// Estimated set of blocks in an engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimate {
    incarnation: u64,
    last_sequence: Option<u64>,
    blocks: HashSet<u64>,
}

impl CacheEstimate {
    /// Applies the events of one incarnation of the engine. A gap in the sequence numbers or a newer incarnation clears the
    /// estimate; events of an older incarnation are ignored.
    pub fn apply(&mut self, incarnation: u64, events: &[KvEvent]) {
        if incarnation < self.incarnation {
            return;
        }
        self.clear_if_newer(incarnation);
        for event in events {
            self.apply_event(event);
        }
    }

    /// Clears the estimate when `incarnation` is newer than the known one.
    pub fn clear_if_newer(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.last_sequence = None;
            self.blocks.clear();
        }
    }

    /// Number of leading blocks of a prompt that are cached. Uses bisection, which assumes that engines evict the blocks of
    /// a prefix from its end.
    pub fn overlap(&self, prompt_blocks: &[u64]) -> usize {
        let first_cached = prompt_blocks
            .first()
            .is_some_and(|block| self.blocks.contains(block));
        if !first_cached {
            return 0;
        }
        prompt_blocks.partition_point(|block| self.blocks.contains(block))
    }

    /// Number of blocks estimated to be cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is estimated to be cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn apply_event(&mut self, event: &KvEvent) {
        if self.last_sequence.is_some_and(|last| event.sequence <= last) {
            return;
        }
        let gap = self.last_sequence.is_some_and(|last| event.sequence != last + 1);
        if gap {
            self.blocks.clear();
        }
        self.last_sequence = Some(event.sequence);
        match &event.change {
            KvChange::Stored { blocks } => self.blocks.extend(blocks),
            KvChange::Removed { blocks } => self.remove(blocks),
            KvChange::Cleared => self.blocks.clear(),
        }
    }

    fn remove(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.blocks.remove(block);
        }
    }
}
