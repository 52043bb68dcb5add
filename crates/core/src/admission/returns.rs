//! When refused requests should come back, spread so that they do not return together.

use crate::time::MonotonicTime;
use rand::{Rng, RngCore};
use std::time::Duration;

/// Largest random part added to a return, relative to its delay.
const JITTER_PART: f64 = 0.25;

/// Hands out return times no closer together than the refused work can be served.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    next: MonotonicTime,
}

impl ReturnSchedule {
    /// Time to come back: not before `earliest` from now, `spacing` after the last one handed out, with jitter.
    /// Beyond `longest` the schedule starts over, since callers that were sent further away rarely return.
    pub fn hand_out(
        &mut self,
        earliest: Duration,
        spacing: Duration,
        longest: Duration,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Duration {
        let first = now + earliest;
        if self.next < first || self.next > now + longest {
            self.next = first;
        }
        let delay = self.next.since(now);
        self.next = self.next + spacing;
        let jitter = random.random_range(0.0..JITTER_PART);
        delay.mul_f64(1.0 + jitter).min(longest.max(earliest))
    }
}
