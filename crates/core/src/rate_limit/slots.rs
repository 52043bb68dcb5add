//! Slot schedule of one engine, based on the generic cell rate algorithm.

use super::max_wait;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Maximum number of unused slots that are still available later, if the owner uses the whole limit.
const MAX_BURST: u32 = 2;

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// The request may be sent after this time.
    After(Duration),
    /// No slot is free within the maximum wait; the next one is free after this time.
    NotInTime(Duration),
}

/// Time of the next free slot of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    next: MonotonicTime,
}

impl SlotSchedule {
    /// Creates a schedule without unused slots, since a previous owner may have granted one just before. `phase`, a fraction
    /// of the interval, offsets the slots of owners that can't reach each other.
    pub fn new(rate: f64, phase: f64, now: MonotonicTime) -> Self {
        Self {
            next: now + interval(rate).mul_f64(phase),
        }
    }

    /// Reserves the next slot if it is free within `max_wait`. `has_whole_limit` is false if the owner uses only a share of
    /// the limit.
    pub fn reserve(
        &mut self,
        rate: f64,
        has_whole_limit: bool,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Slot {
        let interval = interval(rate);
        self.drop_unused(interval, has_whole_limit, now);
        let wait = self.next.since(now);
        if wait > max_wait {
            return Slot::NotInTime(wait);
        }
        self.next = self.next + interval;
        Slot::After(wait)
    }

    /// Drops unused slots of the past.
    fn drop_unused(&mut self, interval: Duration, has_whole_limit: bool, now: MonotonicTime) {
        // The next slot may be too far away if the rate was lower when it was scheduled.
        self.next = self.next.min(now + interval + max_wait::MAX_SLOT_WAIT);
        if has_whole_limit {
            self.next = self.next.max(now - interval.saturating_mul(MAX_BURST));
        } else if self.next < now {
            // Keeps the phase, since the idle owners of several partitions would otherwise all grant a slot at once.
            let elapsed_intervals = now.since(self.next).as_secs_f64() / interval.as_secs_f64();
            self.next = self.next + interval.mul_f64(elapsed_intervals.ceil());
        }
    }
}

/// Time between two slots.
fn interval(rate: f64) -> Duration {
    /// Upper bound in seconds, which keeps the conversion to `Duration` valid.
    const MAX_INTERVAL_SECONDS: f64 = 1e9;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_INTERVAL_SECONDS))
}
