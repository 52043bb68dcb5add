//! Byte budgets as token buckets.

use crate::time::MonotonicTime;

/// Bytes that UDP and IPv4 add to each datagram; they are counted against the budget.
pub const HEADER_BYTES: u64 = 28;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A bucket that fills at a steady rate; over any time `t` at most `burst + rate * t` bytes are taken.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_second: u64,
    burst_bytes: u64,
    /// Tokens in millionths of a byte, so that short ticks lose nothing to rounding.
    micro_tokens: u64,
    filled_at: MonotonicTime,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_second: u64, burst_bytes: u64, now: MonotonicTime) -> Self {
        Self {
            bytes_per_second,
            burst_bytes,
            micro_tokens: burst_bytes * MICROS_PER_SECOND,
            filled_at: now,
        }
    }

    /// Bytes that could be taken now.
    pub fn available(&mut self, now: MonotonicTime) -> u64 {
        let elapsed_micros = now.0.saturating_sub(self.filled_at.0);
        let gained = elapsed_micros.saturating_mul(self.bytes_per_second);
        let full = self.burst_bytes * MICROS_PER_SECOND;
        self.micro_tokens = self.micro_tokens.saturating_add(gained).min(full);
        self.filled_at = self.filled_at.max(now);
        self.micro_tokens / MICROS_PER_SECOND
    }

    /// Takes the bytes, or nothing when there are too few.
    pub fn take(&mut self, bytes: u64, now: MonotonicTime) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        self.micro_tokens -= bytes * MICROS_PER_SECOND;
        true
    }

    /// Most bytes the bucket holds.
    pub fn burst_bytes(&self) -> u64 {
        self.burst_bytes
    }
}
