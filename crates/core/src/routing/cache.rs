//! What is believed of an engine's prefix cache, from events that come late and with gaps.

use crate::engine::{KvChange, KvEvent};
use std::collections::HashSet;

/// Blocks that an engine is believed to hold.
#[derive(Clone, Debug, Default)]
pub struct CacheEstimate {
    incarnation: u64,
    last_sequence: Option<u64>,
    blocks: HashSet<u64>,
}

impl CacheEstimate {
    /// Applies events of one start of the engine; a gap or a restart drops what was believed before it.
    pub fn apply(&mut self, incarnation: u64, events: &[KvEvent]) {
        if incarnation < self.incarnation {
            return;
        }
        self.restart_at(incarnation);
        for event in events {
            self.apply_event(event);
        }
    }

    /// Drops everything when the engine has started anew.
    pub fn restart_at(&mut self, incarnation: u64) {
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.last_sequence = None;
            self.blocks.clear();
        }
    }

    /// Number of leading blocks of a prompt that are held. Engines drop blocks of a prefix from one of its ends, so
    /// once the first block is held the boundary is found by bisection.
    pub fn overlap(&self, prompt_blocks: &[u64]) -> usize {
        let first_held = prompt_blocks
            .first()
            .is_some_and(|block| self.blocks.contains(block));
        if !first_held {
            return 0;
        }
        prompt_blocks.partition_point(|block| self.blocks.contains(block))
    }

    /// Number of blocks believed to be held.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is believed to be held.
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
