//! A sum that fades.

use crate::time::MonotonicTime;
use std::time::Duration;

/// A sum whose parts fade with the time since they were added.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Decayed {
    value: f64,
    at: MonotonicTime,
}

/// What is left of a sum after a time.
pub(super) fn kept(age: Duration, window: Duration) -> f64 {
    (-age.as_secs_f64() / window.as_secs_f64()).exp()
}

impl Decayed {
    pub(super) fn value(&self, window: Duration, now: MonotonicTime) -> f64 {
        self.value * kept(now.since(self.at), window)
    }

    /// Adds an amount; a negative one takes back what was added, never more than there is.
    pub(super) fn add(&mut self, amount: f64, window: Duration, now: MonotonicTime) {
        self.value = (self.value(window, now) + amount).max(0.0);
        self.at = self.at.max(now);
    }
}
