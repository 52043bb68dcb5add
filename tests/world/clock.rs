//! A process's own monotonic clock over virtual time: it starts anywhere and may stop.

use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// One process's clock.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// What the clock shows ahead of virtual time.
    offset: Duration,
    /// Virtual time that has passed while the clock stood.
    lost: Duration,
    stopped_at: Option<MonotonicTime>,
    ever_stopped: bool,
}

impl ProcessClock {
    /// A running clock.
    pub fn new(offset: Duration) -> Self {
        Self {
            offset,
            lost: Duration::ZERO,
            stopped_at: None,
            ever_stopped: false,
        }
    }

    /// What the clock shows.
    pub fn read(&self, now: MonotonicTime) -> MonotonicTime {
        let seen = self.stopped_at.unwrap_or(now);
        seen + self.offset - self.lost
    }

    /// Stops the clock, as when a whole machine is frozen.
    pub fn stop(&mut self, now: MonotonicTime) {
        self.ever_stopped = true;
        self.stopped_at.get_or_insert(now);
    }

    /// Lets the clock go on from where it stood.
    pub fn resume(&mut self, now: MonotonicTime) {
        if let Some(stopped_at) = self.stopped_at.take() {
            self.lost += now.since(stopped_at);
        }
    }

    /// Whether the clock has ever stood.
    pub fn ever_stopped(&self) -> bool {
        self.ever_stopped
    }
}
