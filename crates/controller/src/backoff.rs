//! Waits that grow with failures and are spread at random, so that many nodes never ask at once.

use rand::Rng;
use std::time::Duration;

/// Share of the wait that is drawn at random.
const JITTER: f64 = 0.5;

/// Wait before the next try of something that repeats.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    interval: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Waits `interval` after a success, and up to `longest` after failures.
    pub fn new(interval: Duration, longest: Duration) -> Self {
        Self {
            interval,
            longest: longest.max(interval),
            failures: 0,
        }
    }

    /// The wait after a success.
    pub fn succeeded(&mut self) -> Duration {
        self.failures = 0;
        spread(self.interval)
    }

    /// The wait after a failure: doubled with each one in a row.
    pub fn failed(&mut self) -> Duration {
        self.failures = self.failures.saturating_add(1);
        let factor = 2_u32.saturating_pow(self.failures.min(16));
        spread(self.interval.saturating_mul(factor).min(self.longest))
    }
}

/// Draws a wait between half of `duration` and the whole.
pub fn spread(duration: Duration) -> Duration {
    duration.mul_f64(1.0 - JITTER * rand::rng().random::<f64>())
}
