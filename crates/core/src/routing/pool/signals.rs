//! What engines said of themselves in their answers, as the router knows it.

use super::engine::EngineState;
use super::router::PoolRouter;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Why no request is sent to an engine, whoever chose it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepting {
    /// It drains, by its own answers or by the list.
    Draining,
}

impl NotAccepting {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Draining => "draining",
        }
    }
}

impl PoolRouter {
    /// Notes that an engine drains; whether that is new. Its capacity counts as gone at once.
    pub fn on_draining(&mut self, engine: SubjectHandle) -> bool {
        if !self.signals.note_draining(engine) {
            return false;
        }
        if let Some(state) = self.state_of(engine) {
            state.engine.leaving = true;
        }
        self.withdraw(engine);
        true
    }

    /// Notes that an engine wants no requests from this node for a time; the end of its backoff.
    pub fn on_backoff_asked(
        &mut self,
        engine: &EngineId,
        backoff: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        self.signals
            .note_backoff(SubjectHandle::of_engine(engine), backoff, now)
    }

    /// Why a request must not leave for an engine now; absent where it may. An engine that is not in use is judged by what it
    /// said of itself alone.
    pub fn not_accepting(&self, engine: &EngineId) -> Option<NotAccepting> {
        let state = self.engine(engine);
        let drains = state.is_some_and(EngineState::is_about_to_leave)
            || self.signals.is_draining(SubjectHandle::of_engine(engine));
        drains.then_some(NotAccepting::Draining)
    }
}
