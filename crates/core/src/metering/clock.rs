//! True time, as the nodes' clocks together tell it.
//!
//! A node's time of day may jump by seconds. Nodes tell each other theirs; each takes the middle one of those that it
//! has heard lately and its own, so that no minority of wrong clocks moves a count into another window.

use super::UnixTime;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which another node's clock is believed.
const BELIEVED_FOR: Duration = Duration::from_secs(6);

/// Microseconds by which a clock's time of day is ahead of this process's monotonic clock.
#[derive(Clone, Copy, Debug)]
struct Lead {
    micros: i64,
    read_at: MonotonicTime,
}

impl Lead {
    fn of(unix: UnixTime, now: MonotonicTime) -> Self {
        Self {
            micros: unix.0.wrapping_sub(now.0) as i64,
            read_at: now,
        }
    }
}

/// The clocks that a node knows.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    others: BTreeMap<SubjectHandle, Lead>,
}

impl FleetClock {
    /// Takes another node's time of day, as it came in just now.
    pub fn observe(&mut self, node: SubjectHandle, unix: UnixTime, now: MonotonicTime) {
        self.others.insert(node, Lead::of(unix, now));
    }

    /// True time now, where this node's own clock says `own`.
    pub fn unix(&mut self, own: UnixTime, now: MonotonicTime) -> UnixTime {
        self.others
            .retain(|_, lead| now.since(lead.read_at) < BELIEVED_FOR);
        let mut leads: Vec<i64> = self.others.values().map(|lead| lead.micros).collect();
        leads.push(Lead::of(own, now).micros);
        leads.sort_unstable();
        let middle = leads[leads.len() / 2];
        UnixTime(now.0.wrapping_add(middle as u64))
    }
}
