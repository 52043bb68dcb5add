//! What engines said of themselves in their answers, as the router knows it.

use super::engine::{EngineStage, EngineState};
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::engine::EngineRefusalReason;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::routing::slow_start::SlowStart;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Why no request is sent to an engine, also where another node chose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepting {
    /// It drains, by its own answers or by the list.
    Draining,
    /// It asked this node to back off, for so long still.
    BackedOff {
        /// Time until it takes requests again.
        remaining: Duration,
    },
}

impl NotAccepting {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
            Self::BackedOff { .. } => "backed_off",
        }
    }

    /// Time for which it lasts, as far as is known.
    pub fn remaining(self) -> Option<Duration> {
        match self {
            Self::Draining => None,
            Self::BackedOff { remaining } => Some(remaining),
        }
    }
}

impl EngineState {
    /// Time until this node may send there again; zero where the engine asked for no backoff, or its end has passed.
    pub fn remaining_backoff(&self, now: MonotonicTime) -> Duration {
        self.backoff_end.map_or(Duration::ZERO, |end| end.since(now))
    }

    /// Whether a request that this node sends may go there as far as a backoff is concerned, by a number drawn for both: none
    /// before its end, and few at first after it.
    pub(super) fn backoff_admits(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> bool {
        let Some(end) = self.backoff_end.filter(|_| query.from_this_node) else {
            return true;
        };
        now >= end
            && (query.last_resort || SlowStart::begin(end).admits(query.draw ^ self.handle.number(), now))
    }
}

impl PoolRouter {
    /// Notes that an engine drains; whether that is new. Its capacity counts as gone at once.
    pub fn on_draining(&mut self, engine: SubjectHandle) -> bool {
        if !self.signals.note_draining(engine) {
            return false;
        }
        if let Some(state) = self.state_by_handle(engine) {
            state.engine.leaving = true;
        }
        self.withdraw(engine);
        true
    }

    /// Notes that an engine has refused another node for want of room.
    pub fn on_refused_at_peer(
        &mut self,
        engine: SubjectHandle,
        reason: EngineRefusalReason,
        now: MonotonicTime,
    ) {
        if let Some(state) = self.state_by_handle(engine) {
            state.health.on_refusal(reason, now);
        }
    }

    /// Notes that an engine wants no requests from this node for a time; the end of its backoff.
    pub fn on_backoff_requested(
        &mut self,
        engine: &EngineId,
        backoff: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        let end = self
            .signals
            .note_backoff(SubjectHandle::of_engine(engine), backoff, now);
        if let Some(state) = self.engines.get_mut(engine) {
            state.backoff_end = Some(end);
        }
        end
    }

    /// Engines that this node backs off from, for a placer that chooses for it; at most so many.
    pub fn backed_off(&self, most: usize, now: MonotonicTime) -> Vec<SubjectHandle> {
        self.signals.backed_off(now).take(most).collect()
    }

    /// Time until every stage that a query needs has an engine that accepts it, where none does for the backoffs and the rate
    /// limits of its engines; absent where there is no such engine.
    pub fn time_until_accepted(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> Option<Duration> {
        let stages = match query.prompt {
            Some(_) => &[EngineStage::Prefill, EngineStage::Decode][..],
            None => &[EngineStage::Whole],
        };
        let waits = stages
            .iter()
            .filter_map(|stage| self.stage_accepts_in(*stage, query, now));
        waits.max().filter(|wait| !wait.is_zero())
    }

    fn stage_accepts_in(
        &self,
        stage: EngineStage,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> Option<Duration> {
        let engines = self.engines.values().filter(|state| {
            state.engine.stage == stage && state.engine.pool == *query.pool && state.takes_work(now, true)
        });
        let waits = engines.map(|state| {
            let slot = state.slot_wait(now);
            let slot = if slot <= query.slot_max_wait {
                Duration::ZERO
            } else {
                slot
            };
            state.remaining_backoff(now).max(slot)
        });
        waits.min()
    }

    /// Why a request must not leave this node for an engine now; absent where it may. An engine that is not in use is judged
    /// by what it said of itself alone.
    pub fn not_accepting(&self, engine: &EngineId, now: MonotonicTime) -> Option<NotAccepting> {
        let state = self.engine(engine);
        let handle = self.handle_of(engine);
        let drains = state.is_some_and(EngineState::is_about_to_leave) || self.signals.is_draining(handle);
        if drains {
            return Some(NotAccepting::Draining);
        }
        self.backoff_remaining(handle, now)
            .map(|remaining| NotAccepting::BackedOff { remaining })
    }

    /// Time for which an engine still wants no requests from this node; absent where it takes them.
    pub fn backoff_remaining(&self, engine: SubjectHandle, now: MonotonicTime) -> Option<Duration> {
        let end = self.signals.backoff_end(engine).filter(|end| *end > now)?;
        Some(end.since(now))
    }
}
