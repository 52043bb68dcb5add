//! The slots of one engine, as its owner gives them out: the generic cell rate algorithm.

use super::max_wait;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Slots that an engine which was idle has besides the next one, where its owner has the whole limit.
const SAVED: u32 = 2;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Slot {
    /// After so long.
    After(Duration),
    /// Not within its longest wait; the next slot comes after so long.
    NotInTime(Duration),
}

/// Slots of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    next: MonotonicTime,
}

impl SlotSchedule {
    /// Nothing is saved up: whoever kept the slots before may have given out one a moment ago. `phase` is a fraction of the
    /// first interval, so that the slots of owners that don't reach each other don't fall together.
    pub fn begin(rate: f64, phase: f64, now: MonotonicTime) -> Self {
        Self {
            next: now + interval(rate).mul_f64(phase),
        }
    }

    /// Asks for a slot within a time. `whole`: the owner has the whole limit, and not a part that others have too.
    pub fn take(&mut self, rate: f64, whole: bool, max_wait: Duration, now: MonotonicTime) -> Slot {
        let interval = interval(rate);
        self.pass(interval, whole, now);
        let wait = self.next.since(now);
        if wait > max_wait {
            return Slot::NotInTime(wait);
        }
        self.next = self.next + interval;
        Slot::After(wait)
    }

    /// Lets slots lapse that nobody took.
    fn pass(&mut self, interval: Duration, whole: bool, now: MonotonicTime) {
        // Slots were further apart where the limit was lower, or the owner had a smaller part of it.
        self.next = self.next.min(now + interval + max_wait::MAX_SLOT_WAIT);
        if whole {
            self.next = self.next.max(now - interval.saturating_mul(SAVED));
        } else if self.next < now {
            // The phase stays, or idle owners that don't reach each other would all have a slot at once.
            let passed = now.since(self.next).as_secs_f64() / interval.as_secs_f64();
            self.next = self.next + interval.mul_f64(passed.ceil());
        }
    }
}

/// Time between two slots.
fn interval(rate: f64) -> Duration {
    /// Longer than any process lives.
    const LONGEST: f64 = 1e9;
    Duration::from_secs_f64((1.0 / rate.max(f64::MIN_POSITIVE)).min(LONGEST))
}
