//! How load returns to what was left alone: step by step, so that what is not yet well again meets few requests.

use crate::membership::subject::mix;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Part of the requests that goes there at once: one in ten shows within a second whether answers come, and costs the
/// callers of the other nine nothing if none do.
const FIRST_PART: f64 = 0.1;

/// Time until all may go there again. An engine that had been dark and is given everything at once has a queue before
/// its first answer tells of it; a second is several answers long.
const RETURNS_WITHIN: Duration = Duration::from_millis(1_000);

/// A return that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    since: MonotonicTime,
}

impl SlowStart {
    /// Begins now.
    pub fn begin(now: MonotonicTime) -> Self {
        Self { since: now }
    }

    /// Part of the requests that may go there; one when the return is over.
    pub fn admitted_fraction(self, now: MonotonicTime) -> f64 {
        let passed = self.elapsed(now).as_secs_f64() / RETURNS_WITHIN.as_secs_f64();
        (FIRST_PART + (1.0 - FIRST_PART) * passed).min(1.0)
    }

    /// Time since it began.
    pub fn elapsed(self, now: MonotonicTime) -> Duration {
        now.since(self.since)
    }

    /// Whether all may go there again.
    pub fn is_complete(self, now: MonotonicTime) -> bool {
        self.elapsed(now) >= RETURNS_WITHIN
    }

    /// Whether a request may go there, by a number drawn for the request and the place.
    pub fn admits(self, drawn: u64, now: MonotonicTime) -> bool {
        let fraction = mix(drawn) as f64 / u64::MAX as f64;
        fraction < self.admitted_fraction(now)
    }
}
