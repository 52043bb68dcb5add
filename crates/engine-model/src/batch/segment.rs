//! Steps of a batch that are alike.

use crate::sequence::SequenceKey;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Steps that are alike, one after another.
#[derive(Debug)]
pub(super) struct Segment {
    pub start: MonotonicTime,
    pub step_micros: u64,
    pub planned: u64,
    pub applied: u64,
    /// Prompt tokens that each prefilling sequence gains in a step.
    pub takers: Vec<(SequenceKey, u32)>,
    /// Imported sequences whose first token comes at the end of the first step.
    pub joined: Vec<SequenceKey>,
    /// Sequences that decode.
    pub decoding: u32,
}

impl Segment {
    pub fn end(&self) -> MonotonicTime {
        self.start + Duration::from_micros(self.step_micros * self.planned)
    }

    /// Whole steps that have passed, at most the planned ones.
    pub fn passed(&self, now: MonotonicTime) -> u64 {
        let micros = now.0.saturating_sub(self.start.0);
        (micros / self.step_micros).min(self.planned)
    }
}
