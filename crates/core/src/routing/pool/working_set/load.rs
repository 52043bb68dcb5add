//! What the engines in use have to do.

use crate::routing::pool::engine::{EngineStage, EngineState};
use crate::routing::pool::prefill_speed::PrefillSpeed;
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Seconds of reading ahead that count as one busy engine: callers of short prompts are late after about as much.
const QUEUE_OF_ONE: f64 = 0.5;

/// What the engines in use of a group have to do.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupLoad {
    /// Engines that the work would keep busy.
    pub(super) busy: f64,
    /// Engines that take no work now.
    pub(super) unusable: usize,
}

impl EngineState {
    /// Engines that the work here would keep busy.
    fn busy(&self, line: &PrefillSpeed, now: MonotonicTime) -> f64 {
        let work = self.load(now);
        if self.engine.stage != EngineStage::Prefill {
            let places = work.requests / f64::from(self.engine.places.max(1));
            return places.max(work.memory_tokens / self.prefixes.capacity_tokens().max(1.0));
        }
        let tokens = work.all_prompt_tokens();
        if tokens == 0.0 {
            return 0.0;
        }
        (self.prefill_seconds(line, tokens, now) / QUEUE_OF_ONE).max(1.0)
    }

    /// Whether a request that comes now would wait for no other.
    pub(super) fn is_idle(&self, now: MonotonicTime) -> bool {
        match self.engine.stage {
            EngineStage::Prefill => self.load(now).all_prompt_tokens() == 0.0,
            EngineStage::Decode | EngineStage::Whole => self.has_free_slot(now),
        }
    }

    /// Whether nothing was ever sent here or heard from here.
    pub(super) fn is_untouched(&self) -> bool {
        self.in_flight.is_empty()
            && self.peers.is_empty()
            && self.prefixes.is_empty()
            && self.last_answer_at.is_none()
            && self.stage_order.is_none()
            && self.rate_limit().is_none()
    }

    /// Whether there was no work here for so long.
    pub(super) fn is_unused_for(&self, hold: Duration, now: MonotonicTime) -> bool {
        let is_long_ago = |at: Option<MonotonicTime>| at.is_none_or(|at| now.since(at) >= hold);
        self.load(now).requests == 0.0
            && self.ordered_stage(now).is_none()
            // What it named would be forgotten.
            && self.rate_limit().is_none()
            && is_long_ago(self.last_answer_at)
            && is_long_ago(self.prefixes.latest_use())
    }
}

impl PoolRouter {
    pub(super) fn states_of_group(&self, number: usize) -> impl Iterator<Item = &EngineState> {
        let handles = self.working_set.groups[number].in_use.iter();
        handles.filter_map(|handle| self.engines.get(self.engine_of.get(handle)?))
    }

    pub(super) fn load_of_group(&self, number: usize, now: MonotonicTime) -> GroupLoad {
        let line = self.speeds(&self.working_set.groups[number].pool).prefill;
        let mut load = GroupLoad::default();
        for state in self.states_of_group(number) {
            load.busy += state.busy(&line, now);
            let takes_all = state.takes_work(now, false)
                && state.rate_limit().is_none()
                && state.remaining_backoff(now).is_zero();
            load.unusable += usize::from(!takes_all);
        }
        load
    }
}
