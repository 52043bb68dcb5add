//! Rate limits reported by engines, and their effect on the choice of an engine.

use super::engine::{EngineStage, EngineState};
use super::router::PoolRouter;
use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::{LimitChange, LimitNotice, RateLimit, ResponseLimit};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time for which a node keeps notifying its peers of a limit after it received an answer with that limit.
const OWN_LIMIT_NOTICE_DURATION: Duration = Duration::from_secs(2);

/// Time constant of the exponential decay of the request rate.
const REQUEST_RATE_TIME_CONSTANT: Duration = Duration::from_secs(5);

/// Exponentially decaying number of requests sent to the engines of one pool and stage.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentRate {
    requests: f64,
    updated_at: MonotonicTime,
}

impl SentRate {
    pub(super) fn on_sent(&mut self, now: MonotonicTime) {
        self.requests = self.decayed_requests(now) + 1.0;
        self.updated_at = now;
    }

    fn decayed_requests(&self, now: MonotonicTime) -> f64 {
        self.requests
            * (-now.since(self.updated_at).as_secs_f64() / REQUEST_RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn per_second(&self, now: MonotonicTime) -> f64 {
        self.decayed_requests(now) / REQUEST_RATE_TIME_CONSTANT.as_secs_f64()
    }
}

impl EngineState {
    /// The last known rate limit of the engine.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.limit.limit()
    }

    /// Time until the rate limit allows another request.
    pub fn slot_wait(&self, now: MonotonicTime) -> Duration {
        self.limit.slot_wait(now)
    }

    pub(super) fn has_rate_limit_slot(&self, max_wait: Duration, now: MonotonicTime) -> bool {
        self.slot_wait(now) <= max_wait
    }

    /// Notice of the limit for other nodes; absent if no limit is to be published.
    pub fn limit_notice(&self, now: MonotonicTime) -> Option<LimitNotice> {
        let (limit, age) = self.limit.advertised(now)?;
        Some(LimitNotice {
            engine: self.handle,
            limit,
            age_millis: millis(age),
            slot_wait_millis: millis(self.slot_wait(now)),
        })
    }
}

impl PoolRouter {
    /// Updates the limit of an engine from its answer to a request sent at `sent_at`.
    pub fn on_response_limit(
        &mut self,
        engine: &EngineId,
        response_limit: &ResponseLimit,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> LimitChange {
        let state = self.engines.get_mut(engine);
        state.map_or(LimitChange::Unchanged, |state| {
            state.limit.on_response(response_limit, sent_at, now)
        })
    }

    /// Applies a limit notice from another node. Returns the engine if the notice changed its known limit.
    pub fn on_limit_notice(&mut self, notice: &LimitNotice, now: MonotonicTime) -> Option<&EngineState> {
        let state = self.state_of(notice.engine)?;
        let age = Duration::from_millis(u64::from(notice.age_millis));
        let change = state.limit.on_notice(notice.limit, now - age);
        let wait = Duration::from_millis(u64::from(notice.slot_wait_millis));
        if wait > state.slot_wait(now) {
            state.limit.record_slot_wait(wait, now);
        }
        (change == LimitChange::Changed).then_some(&*state)
    }

    /// Records the time until the next request slot of an engine.
    pub fn record_slot_wait(&mut self, engine: SubjectHandle, wait: Duration, now: MonotonicTime) {
        if let Some(state) = self.state_of(engine) {
            state.limit.record_slot_wait(wait, now);
        }
    }

    /// Listed engines with a known rate limit.
    pub fn rate_limited_engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .filter(|state| state.is_listed() && state.rate_limit().is_some())
    }

    /// Limit notices for other nodes: for all listed engines; if `observed_here`, only for limits that this node
    /// recently received in an answer.
    pub fn limit_notices(&self, observed_here: bool, now: MonotonicTime) -> Vec<LimitNotice> {
        let selected = self
            .engines
            .values()
            .filter(|state| state.is_listed())
            .filter(|state| {
                !observed_here || state.limit.is_confirmed_locally(OWN_LIMIT_NOTICE_DURATION, now)
            });
        selected.filter_map(|state| state.limit_notice(now)).collect()
    }

    /// Counts a sent request in the request rate of its pool and stage.
    pub(super) fn record_sent_request(&mut self, pool: &PoolId, stage: EngineStage, now: MonotonicTime) {
        let key = (pool.clone(), stage);
        self.sent_rates.entry(key).or_default().on_sent(now);
    }

    /// Ratio of an engine's rate limit to its expected request rate, at most one. The expected rate is the request rate
    /// of all nodes to the pool and stage of the engine, divided by the number of active engines there.
    pub(super) fn share_within_limit(&self, state: &EngineState, now: MonotonicTime) -> f64 {
        let Some(limit) = state.rate_limit() else {
            return 1.0;
        };
        let stage = state.engine.stage;
        let pool = &state.engine.pool;
        let rate = self.sent_rates.get(&(pool.clone(), stage));
        let own_rate = rate.map_or(0.0, |rate| rate.per_second(now));
        let same_stage = self
            .engines
            .values()
            .filter(|other| other.engine.pool == *pool && other.engine.stage == stage && other.is_active());
        let rate_per_engine =
            own_rate * self.demand.total_to_own_ratio(now) / same_stage.count().max(1) as f64;
        if rate_per_engine <= 0.0 {
            return 1.0;
        }
        (limit.requests_per_second() / rate_per_engine).min(1.0)
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
