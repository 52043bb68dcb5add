//! Maximum time that a request waits for a slot at a rate-limited engine.
//!
//! A longer maximum wait gives a request a better chance of a slot. Retries of refused requests therefore wait longer than
//! first attempts, and urgent kinds of requests longer than less urgent ones.

use std::time::Duration;

/// Maximum wait of a first attempt of the most urgent rank, as a fraction of the time until the deadline. The fraction of
/// rank n is 1 / (n + 1) of this.
const FIRST_ATTEMPT_WAIT_FRACTION: f64 = 0.1;

/// Maximum wait of a retry or of a request whose prefill is done, as a fraction of the time until the deadline.
const RETRY_WAIT_FRACTION: f64 = 0.25;

/// Maximum wait of any request.
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
            RETRY_WAIT_FRACTION
        } else {
            FIRST_ATTEMPT_WAIT_FRACTION / (1 + self.rank) as f64
        };
        let max_wait = self.remaining.mul_f64(fraction / self.overuse_factor.max(1.0));
        max_wait.min(MAX_SLOT_WAIT)
    }
}
