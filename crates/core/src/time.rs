//! Time as the decisions see it: an instant handed in by the caller, never read from a clock here.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds on one process's own clock, which only rises and goes on while the machine is suspended; never compared between
/// processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// The instant that many milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Time passed since `earlier`; zero when `earlier` lies in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant that long before this one; absent when it lies before the clock's start.
    pub fn earlier(self, duration: Duration) -> Option<Self> {
        let micros = u64::try_from(duration.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Self)
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}
