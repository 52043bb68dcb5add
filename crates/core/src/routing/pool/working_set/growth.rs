//! Draws upon the reserve before a request is refused, served late or sent nowhere.

use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::routing::pool::admission::{Admission, AdmissionDecision, PoolAdmission, RequestTiming};
use crate::routing::pool::choice::PoolRoute;
use crate::routing::pool::engine::{EngineStage, PoolEngine};
use crate::routing::pool::query::PoolQuery;
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;

/// Part by which groups grow where a request would be refused or late otherwise.
const GROWTH: f64 = 0.25;

/// Times that the reserve is drawn upon for one request: five growths by a quarter treble the engines in use.
const MOST_GROWTHS: usize = 5;

impl PoolRouter {
    /// Like [`Self::admit`]; a request is refused, served late or sent nowhere only if no engine of the reserve would
    /// stand idle meanwhile.
    pub fn admit_or_grow(
        &mut self,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let is_well = |decision: &AdmissionDecision| {
            decision.admission == Admission::InTime && decision.route != PoolRoute::Nowhere
        };
        self.growing(query.pool, now, is_well, |router| {
            router.admit(query, timing, settings, now)
        })
    }

    /// Like [`Self::choose`]; there is nowhere to go only where the reserve has nothing either.
    pub fn choose_or_grow(&mut self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        let is_well = |route: &PoolRoute| *route != PoolRoute::Nowhere;
        self.growing(query.pool, now, is_well, |router| router.choose(query, now))
    }

    /// Like [`Self::choose_output`]; absent only where the reserve has nothing either.
    pub fn choose_output_or_grow(
        &mut self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        self.growing(query.pool, now, Option::is_some, |router| {
            router.choose_output(query, source, now)
        })
    }

    /// Decides, and decides again with more engines in use until it is well or there are none to take.
    fn growing<Decision>(
        &mut self,
        pool: &PoolId,
        now: MonotonicTime,
        is_well: impl Fn(&Decision) -> bool,
        decide: impl Fn(&Self) -> Decision,
    ) -> Decision {
        self.update_working_set(now);
        let mut decision = decide(self);
        for _ in 0..MOST_GROWTHS {
            if is_well(&decision) || !self.grow(pool, now) {
                break;
            }
            decision = decide(self);
        }
        decision
    }

    /// Draws upon the reserve of each stage of which no engine in use stands idle; whether there was one to take.
    fn grow(&mut self, pool: &PoolId, now: MonotonicTime) -> bool {
        let mut grown = false;
        for stage in [EngineStage::Whole, EngineStage::Prefill, EngineStage::Decode] {
            let groups = self.working_set.groups.iter().enumerate();
            let of_stage: Vec<usize> = groups
                .filter(|(_, group)| group.stage == stage && group.pool == *pool)
                .map(|(number, _)| number)
                .collect();
            if of_stage.iter().any(|number| self.has_idle(*number, now)) {
                continue;
            }
            for number in of_stage {
                let group = &mut self.working_set.groups[number];
                let before = group.in_use.len();
                group.wanted = (before as f64 * (1.0 + GROWTH)).ceil().max(group.wanted) + 1.0;
                self.refill(number);
                grown |= self.working_set.groups[number].in_use.len() > before;
            }
        }
        grown
    }

    fn has_idle(&self, number: usize, now: MonotonicTime) -> bool {
        let mut states = self.states_of_group(number);
        states.any(|state| {
            state.takes_work(now, false)
                && state.is_idle(now)
                && state.slot_wait(now).is_zero()
                && state.remaining_backoff(now).is_zero()
        })
    }
}
