//! Brings engines of the reserve into use before a request is rejected, late or left without an engine.

use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::admission::{Admission, AdmissionDecision, PoolAdmission, RequestTiming};
use crate::routing::pool::choice::PoolRoute;
use crate::routing::pool::engine::{EngineStage, PoolEngine};
use crate::routing::pool::query::PoolQuery;
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;

/// Fraction by which a group grows in one step.
const GROUP_GROWTH_FRACTION: f64 = 0.25;

/// Maximum number of engines that are brought into use at once to continue a stream.
const MAX_ENGINES_PER_STREAM: usize = 4;

/// Maximum number of growth steps per request. Five steps about triple the engines in use.
const MAX_GROWTH_STEPS_PER_REQUEST: usize = 5;

impl PoolRouter {
    /// Like [`Self::admit`], but brings engines of the reserve into use if the request would otherwise be rejected,
    /// late or without an engine.
    pub fn admit_or_grow(
        &mut self,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let is_acceptable = |decision: &AdmissionDecision| {
            decision.admission == Admission::InTime && decision.route != PoolRoute::Nowhere
        };
        self.decide_with_growth(query, now, is_acceptable, |router| {
            router.admit(query, timing, settings, now)
        })
    }

    /// Like [`Self::choose`], but brings engines of the reserve into use if no engine in use can take the request.
    pub fn choose_or_grow(&mut self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        let is_acceptable = |route: &PoolRoute| *route != PoolRoute::Nowhere;
        self.decide_with_growth(query, now, is_acceptable, |router| router.choose(query, now))
    }

    /// Like [`Self::choose_decode`], but brings engines of the reserve into use if no engine in use can take the request.
    /// Absent if none of the reserve can either.
    pub fn choose_decode_or_grow(
        &mut self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        self.decide_with_growth(query, now, Option::is_some, |router| {
            router.choose_decode(query, source, now)
        })
    }

    /// Repeats a decision with more engines in use until it is acceptable or no further engine can be brought into use.
    fn decide_with_growth<Decision>(
        &mut self,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
        is_acceptable: impl Fn(&Decision) -> bool,
        decide: impl Fn(&Self) -> Decision,
    ) -> Decision {
        self.update_working_set(now);
        let mut decision = decide(self);
        if !is_acceptable(&decision) && self.bring_continuing_engines_into_use(query) {
            decision = decide(self);
        }
        for _ in 0..MAX_GROWTH_STEPS_PER_REQUEST {
            if is_acceptable(&decision) || !self.grow(query.pool, now) {
                break;
            }
            decision = decide(self);
        }
        decision
    }

    /// Brings engines of the reserve into use that may continue the stream of the request. Groups grow by load, which says nothing of
    /// software versions. Returns whether there were any.
    fn bring_continuing_engines_into_use(&mut self, query: &PoolQuery<'_>) -> bool {
        let Some(origin) = query.origin else {
            return false;
        };
        let suitable = self.reserve().filter(|engine| {
            engine.pool == *query.pool && !query.excluded.contains(&engine.id) && origin.allows_engine(engine)
        });
        let handles: Vec<SubjectHandle> = suitable
            .take(MAX_ENGINES_PER_STREAM)
            .map(|engine| SubjectHandle::of_engine(&engine.id))
            .collect();
        for handle in &handles {
            self.bring_into_use(*handle);
        }
        !handles.is_empty()
    }

    /// Grows the groups of each stage without an idle engine in use. Returns whether any engine was brought into use.
    fn grow(&mut self, pool: &PoolId, now: MonotonicTime) -> bool {
        let mut grown = false;
        for stage in [EngineStage::Whole, EngineStage::Prefill, EngineStage::Decode] {
            let groups = self.working_set.groups.iter().enumerate();
            let stage_groups: Vec<usize> = groups
                .filter(|(_, group)| group.stage == stage && group.pool == *pool)
                .map(|(index, _)| index)
                .collect();
            if stage_groups.iter().any(|index| self.has_idle_engine(*index, now)) {
                continue;
            }
            for index in stage_groups {
                let group = &mut self.working_set.groups[index];
                let before = group.in_use.len();
                group.wanted = (before as f64 * (1.0 + GROUP_GROWTH_FRACTION))
                    .ceil()
                    .max(group.wanted)
                    + 1.0;
                self.refill(index);
                grown |= self.working_set.groups[index].in_use.len() > before;
            }
        }
        grown
    }

    fn has_idle_engine(&self, index: usize, now: MonotonicTime) -> bool {
        let mut states = self.states_of_group(index);
        states.any(|state| {
            state.takes_work(now, false)
                && state.is_idle(now)
                && state.slot_wait(now).is_zero()
                && state.remaining_backoff(now).is_zero()
        })
    }
}
