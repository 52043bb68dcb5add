//! Effect of engine signals, such as drain and backoff, on routing.

use super::engine::{EngineStage, EngineState};
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::engine::EngineRefusalReason;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::routing::slow_start::SlowStart;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Reason why this node sends no request to an engine, even if another node selected the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepting {
    /// The engine drains, according to its responses or to the engine list.
    Draining,
    /// The engine requested a backoff from this node that has not ended.
    BackedOff {
        /// Time until the backoff ends.
        remaining: Duration,
    },
}

impl NotAccepting {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::BackedOff { .. } => "backed_off",
        }
    }

    /// Remaining time of a backoff; `None` for a drain, which has no known end.
    pub fn remaining(self) -> Option<Duration> {
        match self {
            Self::Draining => None,
            Self::BackedOff { remaining } => Some(remaining),
        }
    }
}

impl EngineState {
    /// Remaining time of the engine's backoff; zero if the engine requested none or it has ended.
    pub fn remaining_backoff(&self, now: MonotonicTime) -> Duration {
        self.backoff_end.map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Whether the engine's backoff allows a query. Before the end of the backoff, no query of this node is allowed.
    /// After it, a growing share is, selected by the query's random draw and the engine's handle, or all if
    /// `last_resort` is set. Queries of other nodes are always allowed.
    pub(super) fn backoff_admits(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let Some(end) = self.backoff_end.filter(|_| query.from_this_node) else {
            return true;
        };
        now >= end
            && (query.last_resort || SlowStart::begin(end).admits(query.draw ^ self.handle.number(), now))
    }
}

impl PoolRouter {
    /// Records that an engine drains, and returns whether that is new. Its capacity is removed at once.
    pub fn on_draining(&mut self, engine: SubjectHandle) -> bool {
        if !self.signals.record_draining(engine) {
            return false;
        }
        if let Some(state) = self.state_of(engine) {
            state.engine.leaving = true;
        }
        self.remove_from_group(engine);
        true
    }

    /// Records a peer's report that an engine refused a request.
    pub fn on_refused_at_peer(
        &mut self,
        engine: SubjectHandle,
        reason: EngineRefusalReason,
        now: MonotonicTime,
    ) {
        if let Some(state) = self.state_of(engine) {
            state.health.on_refusal(reason, now);
        }
    }

    /// Records that an engine requested a backoff from this node, and returns when the backoff ends.
    pub fn on_backoff_requested(
        &mut self,
        engine: &EngineId,
        backoff: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let end = self
            .signals
            .record_backoff(SubjectHandle::of_engine(engine), backoff, now);
        if let Some(state) = self.engines.get_mut(engine) {
            state.backoff_end = Some(end);
        }
        end
    }

    /// Up to `max_engines` engines that have requested a backoff from this node, to be excluded by a placer that
    /// selects engines for this node.
    pub fn backed_off(&self, max_engines: usize, now: MonotonicTime) -> Vec<SubjectHandle> {
        self.signals.backed_off(now).take(max_engines).collect()
    }

    /// Time until every stage that a query needs has an engine whose backoff and rate limit admit the query; `None`
    /// if all stages accept it now or have no usable engine.
    pub fn time_until_accepted(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<Duration> {
        let stages = match query.prompt {
            Some(_) => &[EngineStage::Prefill, EngineStage::Decode][..],
            None => &[EngineStage::Whole],
        };
        let waits = stages
            .iter()
            .filter_map(|stage| self.time_until_stage_accepts(*stage, query, now));
        waits.max().filter(|wait| !wait.is_zero())
    }

    fn time_until_stage_accepts(
        &self,
        stage: EngineStage,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let engines = self.engines.values().filter(|state| {
            state.engine.stage == stage && state.engine.pool == *query.pool && state.takes_work(now, true)
        });
        let waits = engines.map(|state| {
            let slot_wait = state.slot_wait(now);
            let slot_wait = if slot_wait <= query.slot_max_wait {
                Duration::ZERO
            } else {
                slot_wait
            };
            state.remaining_backoff(now).max(slot_wait)
        });
        waits.min()
    }

    /// Reason why this node must not send a request to an engine now; `None` if it may. For an engine that the router
    /// does not hold, only its own signals count.
    pub fn not_accepting(&self, engine: &EngineId, now: MonotonicTime) -> Option<NotAccepting> {
        let state = self.engine(engine);
        let handle = self.handle_of(engine);
        let is_draining = state.is_some_and(EngineState::is_draining) || self.signals.is_draining(handle);
        if is_draining {
            return Some(NotAccepting::Draining);
        }
        self.backoff_remaining(handle, now)
            .map(|remaining| NotAccepting::BackedOff { remaining })
    }

    /// Remaining time of the backoff that an engine requested from this node; `None` if there is none or it has ended.
    pub fn backoff_remaining(&self, engine: SubjectHandle, now: MonotonicTime) -> Option<Duration> {
        let end = self.signals.backoff_end(engine).filter(|end| *end > now)?;
        Some(end.since(now))
    }
}
