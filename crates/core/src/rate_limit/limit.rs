//! A limit as an engine names it.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Units of a limit in one request a second.
const UNITS: f64 = 1_000.0;

/// Rate at which an engine is tried that takes less, in requests a second: nobody would learn otherwise that it takes more.
const LEAST_RATE: f64 = 0.1;

/// Requests a second that an engine takes from all nodes together; kept in thousandths, so that limits can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    thousandths: u32,
}

impl RateLimit {
    /// A limit of so many requests a second; absent where that is no rate.
    pub fn new(requests_per_second: f64) -> Option<Self> {
        (requests_per_second.is_finite() && requests_per_second >= 0.0).then_some(Self {
            thousandths: (requests_per_second * UNITS) as u32,
        })
    }

    /// Requests a second.
    pub fn requests_per_second(self) -> f64 {
        f64::from(self.thousandths) / UNITS
    }

    /// Requests a second that are sent there.
    pub fn sent_per_second(self) -> f64 {
        self.requests_per_second().max(LEAST_RATE)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.requests_per_second())
    }
}
