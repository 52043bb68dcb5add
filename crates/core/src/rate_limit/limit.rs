//! Rate limit of an engine.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Internal units per request per second.
const UNITS_PER_REQUEST_PER_SECOND: f64 = 1_000.0;

/// Minimum rate at which requests are sent, in requests per second. A later increase of the limit is detected only in the
/// response to a request.
const MIN_SEND_RATE: f64 = 0.1;

/// Requests per second that an engine accepts from all nodes together, stored in thousandths so that limits can be compared
/// exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit {
    thousandths: u32,
}

impl RateLimit {
    /// Creates a limit; `None` if the rate is negative or not finite.
    pub fn new(requests_per_second: f64) -> Option<Self> {
        (requests_per_second.is_finite() && requests_per_second >= 0.0).then_some(Self {
            thousandths: (requests_per_second * UNITS_PER_REQUEST_PER_SECOND) as u32,
        })
    }

    /// The limit as named by the engine, in requests per second.
    pub fn requests_per_second(self) -> f64 {
        f64::from(self.thousandths) / UNITS_PER_REQUEST_PER_SECOND
    }

    /// Rate at which requests may be sent: the limit, but at least the minimum rate.
    pub fn send_rate(self) -> f64 {
        self.requests_per_second().max(MIN_SEND_RATE)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.requests_per_second())
    }
}
