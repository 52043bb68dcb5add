//! The weight store's one queue of loads.

use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Loads that pass one after another at a limited speed.
#[derive(Clone, Debug)]
pub(super) struct WeightQueue {
    bytes_per_second: u64,
    busy_until: MonotonicTime,
}

impl WeightQueue {
    /// An idle queue.
    pub(super) fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            busy_until: MonotonicTime::default(),
        }
    }

    /// Time until a load could begin.
    pub(super) fn wait(&self, now: MonotonicTime) -> Duration {
        self.busy_until.since(now)
    }

    /// Joins the queue; gives the time until the load is complete.
    pub(super) fn join(&mut self, bytes: u64, now: MonotonicTime) -> Duration {
        let transfer = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        self.busy_until = self.busy_until.max(now) + transfer;
        self.wait(now)
    }
}
