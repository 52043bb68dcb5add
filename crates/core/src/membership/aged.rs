//! Ages of what is held, and the order of beats.

use super::store::Merged;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Milliseconds in one tenth of a second.
const TENTH_MILLIS: u128 = 100;

/// Difference of age, in tenths of a second, beyond which the younger beat wins whatever its position.
const RECOUNT_TENTHS: u16 = 300;

/// A value with the age it had when it came.
#[derive(Clone, Copy, Debug)]
pub(super) struct Aged<T> {
    pub(super) value: T,
    pub(super) age: Duration,
    pub(super) held_since: MonotonicTime,
}

impl<T> Aged<T> {
    pub(super) fn age(&self, now: MonotonicTime) -> Duration {
        self.age + now.since(self.held_since)
    }

    pub(super) fn age_tenths(&self, now: MonotonicTime) -> u16 {
        u16::try_from(self.age(now).as_millis() / TENTH_MILLIS).unwrap_or(u16::MAX)
    }
}

/// What every kind of beat carries: its position and its age, by which the newer of two is told.
pub(super) trait Beat {
    /// Position among the beats of its subject.
    fn sequence(&self) -> u32;

    /// Age when it was sent, in tenths of a second.
    fn age_tenths(&self) -> u16;
}

/// Puts a beat in the place of the one held, unless that one is as new or newer.
pub(super) fn merge_beat<B: Beat>(held: &mut Option<Aged<B>>, beat: B, now: MonotonicTime) -> Merged {
    if let Some(held) = held {
        let order = beat_order(
            beat.sequence(),
            beat.age_tenths(),
            held.value.sequence(),
            held.age_tenths(now),
        );
        if order != Merged::Newer {
            return order;
        }
    }
    *held = Some(Aged {
        age: tenths(beat.age_tenths()),
        held_since: now,
        value: beat,
    });
    Merged::Newer
}

/// Orders two beats by position, unless one is much older: a new watcher or process may begin to count anew.
fn beat_order(sequence: u32, age_tenths: u16, held_sequence: u32, held_age_tenths: u16) -> Merged {
    if sequence == held_sequence {
        return Merged::Known;
    }
    if age_tenths.saturating_add(RECOUNT_TENTHS) < held_age_tenths {
        return Merged::Newer;
    }
    if held_age_tenths.saturating_add(RECOUNT_TENTHS) < age_tenths || sequence < held_sequence {
        return Merged::Older;
    }
    Merged::Newer
}

/// A duration from its encoding in a beat.
pub(super) fn tenths(tenths: u16) -> Duration {
    Duration::from_millis(u64::from(tenths) * 100)
}

/// Whole milliseconds, the largest number when there are more.
pub(super) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
