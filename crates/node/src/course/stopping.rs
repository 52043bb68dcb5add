//! What a request makes of it that the process stops.

use super::driver::Driver;
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::request::event::Event;
use shelfjunction_threads::lock;

impl Driver<'_> {
    /// Ends the request's time while an answer can still be handed out, where the process stops before that time is over.
    pub(super) fn heed_stop(&mut self) {
        let end = self.context.requests_end_at();
        if let Some(end) = end.filter(|end| *end < self.deadline) {
            self.deadline = end;
            self.ends_with_process = true;
            self.keep = false;
        }
    }

    /// Whether the answer that begins now leaves its connection open. While the process stops it does not: resting connections are
    /// closed then, and the caller's next call would be lost.
    pub(super) fn leaves_open(&mut self) -> bool {
        self.keep &= !self.context.state.is_stopping();
        self.keep
    }

    /// What becomes of a dispatch instead that would wait in its engine's queue, where the stop cuts the request's time: nobody knows how
    /// long that lasts, and a request that was not sent can be refused as not run, and is served elsewhere at once.
    pub(super) fn withheld_from_queue(&mut self, engine: &EngineId, attempt: &AttemptId) -> Option<Event> {
        if !self.ends_with_process {
            return None;
        }
        let now = self.context.now();
        let (requests, places) = lock(&self.context.router)
            .engine(engine)
            .map(|state| (state.load(now).requests, state.engine.places))?;
        if places == 0 || requests < f64::from(places) {
            return None;
        }
        log::info!(
            request = self.call.request.as_str(),
            engine = engine.as_str(),
            requests = requests as u64,
            places;
            "not_queued_stopping"
        );
        self.last_not_sent = true;
        Some(Event::NotSent {
            attempt: attempt.clone(),
        })
    }

    /// Why the request's time is over.
    pub(super) fn time_over(&self) -> Event {
        if self.ends_with_process {
            Event::NodeStopping
        } else {
            Event::DeadlineReached
        }
    }
}
