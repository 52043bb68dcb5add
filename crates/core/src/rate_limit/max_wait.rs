//! How long a request waits for its slot at an engine that names a limit.
//!
//! Who waits longer finds a slot where others no longer do, so the longest wait is what keeps the order among requests: one that
//! came back after a refusal goes before the others, and more urgent kinds before lesser ones.

use std::time::Duration;

/// Part of the time left that a request of the most urgent kind waits; the others wait a half, a third and so on.
const FIRST_PART: f64 = 0.1;

/// The same for one whose caller was refused before, or whose prompt an engine has read.
const RETURNED_PART: f64 = 0.25;

/// Longest wait.
pub const MAX_SLOT_WAIT: Duration = Duration::from_secs(1);

/// What of a request decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitFactors {
    /// Rank of its kind; zero is the most urgent.
    pub rank: usize,
    /// Time left.
    pub remaining: Duration,
    /// Whether something would be lost with it: its caller was refused before, or its prompt has been read.
    pub is_retry_or_prefilled: bool,
    /// Factor by which its tenant had more than its share of the pool; one where it had not.
    pub overuse_factor: f64,
}

impl WaitFactors {
    /// The longest wait.
    pub fn max_wait(&self) -> Duration {
        let part = if self.is_retry_or_prefilled {
            RETURNED_PART
        } else {
            FIRST_PART / (1 + self.rank) as f64
        };
        let max_wait = self.remaining.mul_f64(part / self.overuse_factor.max(1.0));
        max_wait.min(MAX_SLOT_WAIT)
    }
}
