//! Usage of tenants: counted by each node that serves them, gathered by a few nodes, and reported once.
//!
//! Usage belongs to windows of true time, one after the other. Each node keeps counters that only rise and tells them
//! again and again ([`counter`]); whoever hears them keeps the highest ([`tally`]), so that lost, late and doubled
//! messages do no harm. Each node tells the holder of the lease and a few replicas; a later holder gets the copies from
//! these ([`replication`]). The holder of the lease writes a window's figures down before it sends them ([`reporter`]), so
//! that a successor sends the very same ones.

pub mod clock;
pub mod config;
pub mod counter;
pub mod figures;
pub mod record;
pub mod replication;
pub mod report_step;
pub mod reporter;
pub mod restores;
pub mod tally;

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Microseconds since the start of 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnixTime(pub u64);

impl UnixTime {
    /// Time passed since an earlier instant; zero where it lies ahead.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant that long before.
    pub fn earlier(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }

    /// The instant that long after.
    pub fn later(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }
}

/// Number of a window: window `k` begins `k` times its length after the start of 1970.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowNumber(pub u64);

impl WindowNumber {
    /// The window of an instant.
    pub fn of(at: UnixTime, length: Duration) -> Self {
        Self(at.0 / micros(length).max(1))
    }

    /// Its first instant.
    pub fn begin(self, length: Duration) -> UnixTime {
        UnixTime(self.0.saturating_mul(micros(length)))
    }

    /// The first instant behind it.
    pub fn end(self, length: Duration) -> UnixTime {
        Self(self.0.saturating_add(1)).begin(length)
    }
}

impl fmt::Display for WindowNumber {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
