//! Gradual return of load to an engine or network path that was avoided, so that few requests fail if it has not
//! recovered.

use crate::membership::subject::mix;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Fraction of requests that are admitted at the beginning of a slow start. One request in ten shows within a second
/// whether the target responds, and does not affect the callers of the other nine if it doesn't.
const FIRST_PART: f64 = 0.1;

/// Time until all requests are admitted. Admitting all of them at once would build a queue before a response reports
/// it; a second is several response times long.
const SLOW_START_DURATION: Duration = Duration::from_millis(1_000);

/// Slow start of one engine or network path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    since: MonotonicTime,
}

impl SlowStart {
    /// Starts at `now`, which may lie in the future.
    pub fn begin(now: MonotonicTime) -> Self {
        Self { since: now }
    }

    /// Part of the requests that may go there; one when the return is over.
    pub fn admitted_fraction(self, now: MonotonicTime) -> f64 {
        let passed = self.elapsed(now).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        (FIRST_PART + (1.0 - FIRST_PART) * passed).min(1.0)
    }

    /// Time since it began.
    pub fn elapsed(self, now: MonotonicTime) -> Duration {
        now.since(self.since)
    }

    /// Whether all requests are admitted.
    pub fn is_over(self, now: MonotonicTime) -> bool {
        self.elapsed(now) >= SLOW_START_DURATION
    }

    /// Whether a request is admitted; `drawn` is a number specific to the request and its target.
    pub fn admits(self, drawn: u64, now: MonotonicTime) -> bool {
        let fraction = mix(drawn) as f64 / u64::MAX as f64;
        fraction < self.admitted_fraction(now)
    }
}
