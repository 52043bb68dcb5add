//! Rate limit by token bucket.

use super::config::RateLimit;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Tokens that fill at a rate up to a burst; each call takes one.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    filled_at: MonotonicTime,
}

impl TokenBucket {
    /// A full bucket.
    pub(super) fn full(limit: RateLimit) -> Self {
        Self {
            limit,
            tokens: limit.burst,
            filled_at: MonotonicTime::default(),
        }
    }

    /// Takes one token, or tells how long until there is one.
    pub(super) fn take(&mut self, now: MonotonicTime) -> Result<(), Duration> {
        let passed = now.since(self.filled_at).as_secs_f64();
        let filled = self.tokens + passed * self.limit.calls_per_second;
        self.tokens = filled.min(self.limit.burst);
        self.filled_at = self.filled_at.max(now);
        if self.tokens < 1.0 {
            let missing = 1.0 - self.tokens;
            return Err(Duration::from_secs_f64(missing / self.limit.calls_per_second));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
