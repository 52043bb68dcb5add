//! What engines said of themselves in their answers, as the router knows it.

use super::router::PoolRouter;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

impl PoolRouter {
    /// Notes that an engine has said that it drains; whether that is new.
    pub fn on_draining_announced(&mut self, engine: &EngineId) -> bool {
        self.signals.note_draining(SubjectHandle::of_engine(engine))
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
}
