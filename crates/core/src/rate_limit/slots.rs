//! Slot schedule of one engine, based on the generic cell rate algorithm.

use super::max_wait;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Maximum number of slots left unused in the past that can still be reserved. Applies only to an owner that may use the whole
/// limit; other owners keep no unused slots.
const MAX_BURST_SLOTS: u32 = 2;

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
    next_slot_at: MonotonicTime,
}

impl SlotSchedule {
    /// Creates a schedule that has no unused slots from the past, because a previous owner may have granted them already. The
    /// first slot is free after `phase`, a fraction of the interval that differs between the owners of separate partitions.
    pub fn new(rate: f64, phase: f64, now: MonotonicTime) -> Self {
        Self {
            next_slot_at: now + slot_interval(rate).mul_f64(phase),
        }
    }

    /// Reserves the next slot if it is free within `max_wait`. `has_whole_limit` is false if the owner may use only a
    /// share of the limit.
    pub fn reserve(
        &mut self,
        rate: f64,
        has_whole_limit: bool,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Slot {
        let interval = slot_interval(rate);
        self.discard_unused_slots(interval, has_whole_limit, now);
        let wait = self.next_slot_at.since(now);
        if wait > max_wait {
            return Slot::NotInTime(wait);
        }
        self.next_slot_at = self.next_slot_at + interval;
        Slot::After(wait)
    }

    /// Discards unused slots that lie too far in the past.
    fn discard_unused_slots(&mut self, interval: Duration, has_whole_limit: bool, now: MonotonicTime) {
        // The next slot may be too far away if the rate was lower when it was scheduled.
        self.next_slot_at = self.next_slot_at.min(now + interval + max_wait::MAX_SLOT_WAIT);
        if has_whole_limit {
            self.next_slot_at = self
                .next_slot_at
                .max(now - interval.saturating_mul(MAX_BURST_SLOTS));
        } else if self.next_slot_at < now {
            // Keeps the phase, since the idle owners of several partitions would otherwise all grant a slot at once.
            let elapsed_intervals = now.since(self.next_slot_at).as_secs_f64() / interval.as_secs_f64();
            self.next_slot_at = self.next_slot_at + interval.mul_f64(elapsed_intervals.ceil());
        }
    }
}

/// Time between two slots.
fn slot_interval(rate: f64) -> Duration {
    /// Maximum interval in seconds, which keeps the conversion to `Duration` valid.
    const MAX_INTERVAL_SECONDS: f64 = 1e9;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).min(MAX_INTERVAL_SECONDS))
}
