//! Who owns the slots of an engine, and what an owner knows of the engines whose slots it owns.

use super::limit::RateLimit;
use super::slots::{Slot, SlotSchedule};
use crate::membership::rendezvous;
use crate::membership::subject::{SubjectHandle, mix};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of all nodes from which on an owner that reaches so many has the whole limit. Others that reach each other and not it are
/// fewer, and have at most the rest besides: together less than half as much again as the engine named.
const FULL_FROM: f64 = 0.65;

/// Time after which the slots of an engine that nobody asked for are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time after which an owner is asked again that does not know how many nodes there are.
const NO_PART: Duration = Duration::from_millis(500);

/// The owner of an engine's slots, of those that may be; absent where there is none.
pub fn owner_of(engine: SubjectHandle, candidates: &[SubjectHandle]) -> Option<SubjectHandle> {
    rendezvous::choose(engine, candidates, 1).pop()
}

/// The part of a limit that an owner has which reaches so many of all nodes, itself included, that keep to limits as well.
pub fn limit_share(heard: u32, nodes: u32) -> f64 {
    let part = (f64::from(heard) / f64::from(nodes.max(1))).min(1.0);
    if part >= FULL_FROM { 1.0 } else { part }
}

/// The slots that one node keeps.
#[derive(Clone, Debug, Default)]
pub struct SlotOwner {
    schedules: BTreeMap<SubjectHandle, (SlotSchedule, MonotonicTime)>,
}

impl SlotOwner {
    /// Asks for a slot at an engine, from the part of its limit that `own`, this node, has. There is none while it has no part.
    pub fn take(
        &mut self,
        own: SubjectHandle,
        engine: SubjectHandle,
        limit: RateLimit,
        part: f64,
        max_wait: Duration,
        now: MonotonicTime,
    ) -> Slot {
        self.schedules
            .retain(|_, (_, asked_at)| now.since(*asked_at) < FORGET_AFTER);
        if part <= 0.0 {
            return Slot::NotInTime(NO_PART);
        }
        let rate = limit.sent_per_second() * part;
        let (schedule, asked_at) = self
            .schedules
            .entry(engine)
            .or_insert_with(|| (SlotSchedule::begin(rate, phase(own, engine), now), now));
        *asked_at = now;
        schedule.take(rate, part >= 1.0, max_wait, now)
    }

    /// Engines whose slots were asked for of late.
    pub fn engine_count(&self) -> usize {
        self.schedules.len()
    }
}

/// Where in an interval an owner's slots fall, as a fraction.
fn phase(own: SubjectHandle, engine: SubjectHandle) -> f64 {
    mix(own.number() ^ mix(engine.number())) as f64 / u64::MAX as f64
}
