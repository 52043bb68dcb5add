//! Load of the engines in use.

use crate::routing::pool::engine::{EngineStage, EngineState};
use crate::routing::pool::router::PoolRouter;
use crate::routing::pool::speed::PrefillSpeed;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Seconds of queued prefill that count as one busy engine. A queue of about this length makes short prompts late.
const PREFILL_SECONDS_PER_BUSY_ENGINE: f64 = 0.5;

/// Load of the engines in use of a group.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupLoad {
    /// Number of engines that the work would keep busy.
    pub(super) busy_engines: f64,
    /// Number of engines in use that take no work now.
    pub(super) unusable: usize,
}

impl EngineState {
    /// Number of engines that the work at this engine would keep busy; above one if requests queue.
    fn busy_engines(&self, prefill_speed: &PrefillSpeed, now: MonotonicTime) -> f64 {
        let work = self.load(now);
        if self.engine.stage != EngineStage::Prefill {
            let slot_share = work.requests / f64::from(self.engine.places.max(1));
            return slot_share.max(work.memory_tokens / self.prefixes.capacity_tokens().max(1.0));
        }
        let tokens = work.all_prompt_tokens();
        if tokens == 0.0 {
            return 0.0;
        }
        (self.prefill_seconds(prefill_speed, tokens, now) / PREFILL_SECONDS_PER_BUSY_ENGINE).max(1.0)
    }

    /// Whether a new request would be served without waiting for other requests.
    pub(super) fn is_idle(&self, now: MonotonicTime) -> bool {
        match self.engine.stage {
            EngineStage::Prefill => self.load(now).all_prompt_tokens() == 0.0,
            EngineStage::Decode | EngineStage::Whole => self.has_free_slot(now),
        }
    }

    /// Whether nothing was sent to this engine and nothing was received from it or about it.
    pub(super) fn has_no_state(&self) -> bool {
        self.in_flight.is_empty()
            && self.peers.is_empty()
            && self.prefixes.is_empty()
            && self.last_answer_at.is_none()
            && self.stage_order.is_none()
            && self.rate_limit().is_none()
    }

    /// Whether the engine has had no work for the hold time and its state may be dropped.
    pub(super) fn is_unused_for(&self, hold: Duration, now: MonotonicTime) -> bool {
        let is_past_hold = |at: Option<MonotonicTime>| at.is_none_or(|at| now.since(at) >= hold);
        self.load(now).requests == 0.0
            && self.ordered_stage(now).is_none()
            // The rate limit that the engine reported would be lost with its state.
            && self.rate_limit().is_none()
            && is_past_hold(self.last_answer_at)
            && is_past_hold(self.prefixes.latest_use())
    }
}

impl PoolRouter {
    pub(super) fn states_of_group(&self, index: usize) -> impl Iterator<Item = &EngineState> {
        let handles = self.working_set.groups[index].in_use.iter();
        handles.filter_map(|handle| self.engines.get(self.engine_ids.get(handle)?))
    }

    pub(super) fn load_of_group(&self, index: usize, now: MonotonicTime) -> GroupLoad {
        let prefill_speed = self.speeds(&self.working_set.groups[index].pool).prefill;
        let mut load = GroupLoad::default();
        for state in self.states_of_group(index) {
            load.busy_engines += state.busy_engines(&prefill_speed, now);
            let takes_all = state.takes_work(now, false)
                && state.rate_limit().is_none()
                && state.remaining_backoff(now).is_zero();
            load.unusable += usize::from(!takes_all);
        }
        load
    }
}
