//! Choice of the node that owns the slots of an engine, and the slot schedules of an owner.

use super::limit::RateLimit;
use super::slots::{Slot, SlotSchedule};
use crate::membership::rendezvous;
use crate::membership::subject::{SubjectHandle, mix};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum fraction of all nodes that an owner must reach to use the whole limit. The owners of other partitions then share at
/// most the rest of the nodes, so the total stays below 1.5 times the limit.
pub(super) const MIN_FULL_LIMIT_QUORUM: f64 = 0.65;

/// Time without slot requests after which the schedule of an engine is removed.
const SCHEDULE_RETENTION: Duration = Duration::from_secs(60);

/// Wait that is returned while the owner does not know the number of nodes yet.
const NO_SHARE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Owner of an engine's slots; `None` if there are no candidates.
pub fn owner_of(engine: SubjectHandle, candidates: &[SubjectHandle]) -> Option<SubjectHandle> {
    rendezvous::choose(engine, candidates, 1).pop()
}

/// The owner of an engine's slots, and those that take them over from it in this order; at most `count`.
pub fn owner_and_successors(
    engine: SubjectHandle,
    candidates: &[SubjectHandle],
    count: usize,
) -> Vec<SubjectHandle> {
    rendezvous::choose(engine, candidates, count)
}

/// Share of a rate limit that an owner may use. `reached` is the number of nodes that the owner reaches, and `nodes` the number
/// of all nodes. Both include the owner and count only nodes that support rate limits.
pub fn limit_share(reached: u32, nodes: u32) -> f64 {
    quorum_share(reached, nodes, MIN_FULL_LIMIT_QUORUM)
}

/// Share of a limit that an owner may use: the whole limit if it reaches at least the fraction `quorum` of all nodes.
pub fn quorum_share(reached: u32, nodes: u32, quorum: f64) -> f64 {
    let share = (f64::from(reached) / f64::from(nodes.max(1))).min(1.0);
    if share >= quorum { 1.0 } else { share }
}

/// Slot schedules of the engines whose slots one node owns.
#[derive(Clone, Debug, Default)]
pub struct SlotOwner {
    schedules: BTreeMap<SubjectHandle, (SlotSchedule, MonotonicTime)>,
}

impl SlotOwner {
    /// Reserves a slot at an engine. `own` is this node, and `share` the share of the limit that it may use; if it is zero, no
    /// slot is granted.
    pub fn reserve(
        &mut self,
        own: SubjectHandle,
        engine: SubjectHandle,
        limit: RateLimit,
        share: f64,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Slot {
        self.schedules
            .retain(|_, (_, last_request_at)| now.since(*last_request_at) < SCHEDULE_RETENTION);
        if share <= 0.0 {
            return Slot::NotInTime(NO_SHARE_RETRY_INTERVAL);
        }
        let rate = limit.send_rate() * share;
        let (schedule, last_request_at) = self
            .schedules
            .entry(engine)
            .or_insert_with(|| (SlotSchedule::new(rate, slot_phase(own, engine), now), now));
        *last_request_at = now;
        schedule.reserve(rate, share >= 1.0, max_wait, now)
    }

    /// Number of engines with recent slot requests.
    pub fn engine_count(&self) -> usize {
        self.schedules.len()
    }
}

/// Offset of an owner's slots within the interval between slots, as a fraction.
fn slot_phase(own: SubjectHandle, engine: SubjectHandle) -> f64 {
    mix(own.number() ^ mix(engine.number())) as f64 / u64::MAX as f64
}
