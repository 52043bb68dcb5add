//! What a request makes of it that the process stops.

use super::driver::Driver;
use shelfjunction_core::request::event::Event;

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

    /// Why the request's time is over.
    pub(super) fn time_over(&self) -> Event {
        if self.ends_with_process {
            Event::NodeStopping
        } else {
            Event::DeadlineReached
        }
    }
}
