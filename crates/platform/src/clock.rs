//! The process's monotonic clock, read only at the edges and handed to the decisions.

use shelfjunction_core::time::MonotonicTime;
use std::time::Instant;

/// Reads time since the process's clock was started; goes on while the process is stopped by a signal.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts at zero now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + self.start.elapsed()
    }
}
