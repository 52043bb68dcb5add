//! Pauses between tries, spread at random so that callers of one broken engine don't return together.

use rand::{Rng, RngCore};
use std::time::Duration;

/// Bounds of the pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest pause before the first retry.
    pub base: Duration,
    /// Longest pause before any retry.
    pub ceiling: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(10),
            ceiling: Duration::from_millis(500),
        }
    }
}

impl Backoff {
    /// Pause after `tried` tries: uniform between zero and `base * 2^(tried - 1)`, at most the ceiling.
    pub fn pause(&self, tried: u32, random: &mut dyn RngCore) -> Duration {
        let doublings = tried.saturating_sub(1).min(16);
        let bound = (self.base * (1u32 << doublings)).min(self.ceiling);
        let micros = u64::try_from(bound.as_micros()).unwrap_or(u64::MAX);
        Duration::from_micros(random.random_range(0..=micros))
    }
}
