//! The process's monotonic clock, read only at the edges and handed to the decisions.

use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::BootInstant;

/// Reads time since the process's clock was started; goes on while the process is stopped by a signal and while the machine is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: BootInstant,
}

impl MonotonicClock {
    /// Starts at zero now.
    pub fn start() -> Self {
        Self {
            start: BootInstant::now(),
        }
    }

    /// The present instant.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::default() + self.start.elapsed()
    }
}
