//! The rate limits that engines name, and what they leave of an engine.

use super::engine::{EngineStage, EngineState};
use super::router::PoolRouter;
use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::rate_limit::{LimitChange, LimitNotice, RateLimit, ResponseLimit};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time for which a node goes on sending of a limit that an answer to it has named.
const OWN_LIMIT_NOTICE_DURATION: Duration = Duration::from_secs(2);

/// Time in which a change of the rate of requests shows by two thirds.
const RATE_WINDOW: Duration = Duration::from_secs(5);

/// Requests that were sent to engines of one pool and stage, fading.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SentRate {
    requests: f64,
    at: MonotonicTime,
}

impl SentRate {
    pub(super) fn on_sent(&mut self, now: MonotonicTime) {
        self.requests = self.requests_now(now) + 1.0;
        self.at = now;
    }

    fn requests_now(&self, now: MonotonicTime) -> f64 {
        self.requests * (-now.since(self.at).as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp()
    }

    fn per_second(&self, now: MonotonicTime) -> f64 {
        self.requests_now(now) / RATE_WINDOW.as_secs_f64()
    }
}

impl EngineState {
    /// The rate limit that it names, as far as is known.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.limit.limit()
    }

    /// Least time until a request may be sent there for its rate limit.
    pub fn slot_wait(&self, now: MonotonicTime) -> Duration {
        self.limit.slot_wait(now)
    }

    pub(super) fn has_slot(&self, max_wait: Duration, now: MonotonicTime) -> bool {
        self.slot_wait(now) <= max_wait
    }

    /// Its limit as other nodes are told; absent where there is nothing to tell.
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
    /// Takes what the answer to a request sent at `sent_at` says of its engine's limit.
    pub fn on_answered_limit(
        &mut self,
        engine: &EngineId,
        said: &ResponseLimit,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> LimitChange {
        let state = self.engines.get_mut(engine);
        state.map_or(LimitChange::Unchanged, |state| {
            state.limit.on_answer(said, sent_at, now)
        })
    }

    /// Takes another node's notice of a limit; the engine, where the notice has changed what is believed of it.
    pub fn on_limit_notice(&mut self, notice: &LimitNotice, now: MonotonicTime) -> Option<&EngineState> {
        let state = self.state_by_handle(notice.engine)?;
        let age = Duration::from_millis(u64::from(notice.age_millis));
        let change = state.limit.on_notice(notice.limit, now - age);
        let wait = Duration::from_millis(u64::from(notice.slot_wait_millis));
        if wait > state.slot_wait(now) {
            state.limit.note_slot(wait, now);
        }
        (change == LimitChange::Changed).then_some(&*state)
    }

    /// Notes how long the next slot of an engine is away.
    pub fn note_slot(&mut self, engine: SubjectHandle, wait: Duration, now: MonotonicTime) {
        if let Some(state) = self.state_by_handle(engine) {
            state.limit.note_slot(wait, now);
        }
    }

    /// Engines that name a limit and are listed.
    pub fn rate_limited_engines(&self) -> impl Iterator<Item = &EngineState> {
        self.engines
            .values()
            .filter(|state| state.is_listed() && state.rate_limit().is_some())
    }

    /// What other nodes are told of limits; of those that an answer to this node named, or of all.
    pub fn limit_notices(&self, observed_here: bool, now: MonotonicTime) -> Vec<LimitNotice> {
        let named = self
            .engines
            .values()
            .filter(|state| state.is_listed())
            .filter(|state| {
                !observed_here || state.limit.is_confirmed_locally(OWN_LIMIT_NOTICE_DURATION, now)
            });
        named.filter_map(|state| state.limit_notice(now)).collect()
    }

    /// Counts a request that is sent to an engine.
    pub(super) fn count_sent(&mut self, pool: &PoolId, stage: EngineStage, now: MonotonicTime) {
        let key = (pool.clone(), stage);
        self.sent_rates.entry(key).or_default().on_sent(now);
    }

    /// Part of what falls to an engine, of the requests of all nodes to engines of its stage, that its limit lets through.
    pub(super) fn share_within_limit(&self, state: &EngineState, now: MonotonicTime) -> f64 {
        let Some(limit) = state.rate_limit() else {
            return 1.0;
        };
        let stage = state.engine.stage;
        let pool = &state.engine.pool;
        let rate = self.sent_rates.get(&(pool.clone(), stage));
        let own = rate.map_or(0.0, |rate| rate.per_second(now));
        let alike = self
            .engines
            .values()
            .filter(|other| other.engine.pool == *pool && other.engine.stage == stage && other.stays());
        let falls_to_one = own * self.demand.total_to_own_ratio(now) / alike.count().max(1) as f64;
        if falls_to_one <= 0.0 {
            return 1.0;
        }
        (limit.requests_per_second() / falls_to_one).min(1.0)
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
