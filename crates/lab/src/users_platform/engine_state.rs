//! What a stand-in engine is told, and remembers.

use super::engine_records::{ArrivalRecord, BackoffRecord, LimitRecord, OrderRecord, RunRecord};
use super::engine_settings::EngineFault;
use std::collections::{BTreeSet, VecDeque};
use std::num::NonZeroU64;
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) stage: Option<&'static str>,
    pub(super) faults: VecDeque<EngineFault>,
    pub(super) refuses_most: bool,
    /// One answer in so many has neither a length nor chunks and ends with its connection; none does if absent.
    pub(super) unframed_answers: Option<NonZeroU64>,
    pub(super) answers_drawn: u64,
    pub(super) refusals_drawn: u64,
    pub(super) limits: Vec<LimitRecord>,
    /// When it began to say that it drains.
    pub(super) draining_since: Option<Instant>,
    /// Time without requests that each refusal asks for, while it refuses everything.
    pub(super) backoff: Option<Duration>,
    pub(super) backoffs: Vec<BackoffRecord>,
    pub(super) arrivals: Vec<ArrivalRecord>,
    pub(super) runs: Vec<RunRecord>,
    pub(super) prompts: Vec<RunRecord>,
    pub(super) handles: BTreeSet<String>,
    pub(super) next_handle: u64,
    pub(super) sequence: u64,
    pub(super) fence: u64,
    pub(super) orders: Vec<OrderRecord>,
}

impl State {
    /// The rate limit that is named now.
    pub(super) fn limit(&self) -> Option<f64> {
        let last = self.limits.last().filter(|named| named.until.is_none());
        last.map(|named| named.requests_per_second)
    }

    /// Whether the next answer ends with its connection.
    pub(super) fn next_is_unframed(&mut self) -> bool {
        self.answers_drawn += 1;
        self.unframed_answers
            .is_some_and(|one_in| self.answers_drawn.is_multiple_of(one_in.get()))
    }

    /// How the next request is treated.
    pub(super) fn next_fault(&mut self) -> Option<EngineFault> {
        if self.refuses_most {
            self.refusals_drawn += 1;
            if self.refusals_drawn % 5 < 3 {
                return Some(EngineFault::Refuse);
            }
        }
        self.faults.pop_front()
    }
}
