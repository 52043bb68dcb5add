//! Limit on a rate, with a bounded burst.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Token bucket of one tenant; classes below interactive leave a reserve in it.
#[derive(Clone, Debug)]
pub struct RateBucket {
    level: f64,
    filled_at: MonotonicTime,
}

impl RateBucket {
    /// A full bucket.
    pub fn full(capacity: f64, now: MonotonicTime) -> Self {
        Self {
            level: capacity,
            filled_at: now,
        }
    }

    /// Takes one request, or tells when there would be one; `reserve` stays untouched.
    pub fn take(
        &mut self,
        rate: f64,
        capacity: f64,
        reserve: f64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.fill(rate, capacity, now);
        let missing = 1.0 + reserve - self.level;
        if missing <= 0.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / rate))
    }

    /// Takes an amount if the bucket holds `required`, or returns the time until it will. Requiring less than the amount may leave a debt.
    pub fn charge(
        &mut self,
        amount: f64,
        required: f64,
        rate: f64,
        capacity: f64,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.fill(rate, capacity, now);
        if self.level >= required {
            self.level -= amount;
            return Ok(());
        }
        let missing = (required - self.level) / rate;
        Err(Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX))
    }

    /// Gives an amount back that was charged.
    pub fn refund(&mut self, amount: f64, capacity: f64) {
        self.level = (self.level + amount).min(capacity);
    }

    fn fill(&mut self, rate: f64, capacity: f64, now: MonotonicTime) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + passed * rate).min(capacity);
        self.filled_at = self.filled_at.max(now);
    }

    /// Gives a request back that was refused for another cause.
    pub fn give_back(&mut self, capacity: f64) {
        self.refund(1.0, capacity);
    }
}
