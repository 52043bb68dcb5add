//! Maximum time that a request waits for a slot at a rate-limited engine.
//!
//! Requests with a longer maximum wait get slots that others don't, so the maximum wait decides their priority: retries of
//! refused requests come before first attempts, and urgent kinds before less urgent ones.

use std::time::Duration;

/// Fraction of the remaining time that a request of the most urgent rank waits; rank n waits 1 / (n + 1) of it.
const FIRST_ATTEMPT_FRACTION: f64 = 0.1;

/// Fraction of the remaining time for a retry or a request whose prefill is done.
const RETRY_FRACTION: f64 = 0.25;

/// Upper bound on the wait of any request.
pub const MAX_SLOT_WAIT: Duration = Duration::from_secs(1);

/// Properties of a request that determine its maximum wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFactors {
    /// Rank of the request's kind; zero is the most urgent.
    pub rank: usize,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Whether the caller was refused before, or prefill of the prompt is done.
    pub is_retry_or_prefilled: bool,
    /// Ratio of the tenant's use of the pool to its share; one if the tenant is within its share.
    pub overuse_factor: f64,
}

impl WaitFactors {
    /// Maximum wait for a slot, up to [`MAX_SLOT_WAIT`].
    pub fn max_wait(&self) -> Duration {
        let fraction = if self.is_retry_or_prefilled {
            RETRY_FRACTION
        } else {
            FIRST_ATTEMPT_FRACTION / (1 + self.rank) as f64
        };
        let max_wait = self.remaining.mul_f64(fraction / self.overuse_factor.max(1.0));
        max_wait.min(MAX_SLOT_WAIT)
    }
}
