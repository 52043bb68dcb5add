//! The engines that drain, and those that asked this node to back off.

use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Most draining engines that are remembered, the latest: twice the engines of the largest fleet, 16 bytes each.
const MOST_DRAINING: usize = 20_000;

/// Longest backoff that is believed; an engine that wants more says so again.
pub const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// What engines said of themselves, by start of the engine. Independent of the list of engines: an entry that is behind, or
/// comes back, revokes nothing that the engine itself has said.
#[derive(Clone, Debug, Default)]
pub struct SignalRegister {
    draining: BTreeSet<SubjectHandle>,
    /// Draining engines, the first one noted in front.
    draining_order: VecDeque<SubjectHandle>,
    backoffs: BTreeMap<SubjectHandle, MonotonicTime>,
}

impl SignalRegister {
    /// Notes that an engine drains, which no start of an engine takes back; whether that is new.
    pub fn note_draining(&mut self, engine: SubjectHandle) -> bool {
        if !self.draining.insert(engine) {
            return false;
        }
        self.draining_order.push_back(engine);
        if self.draining_order.len() > MOST_DRAINING
            && let Some(first) = self.draining_order.pop_front()
        {
            self.draining.remove(&first);
        }
        true
    }

    /// Whether an engine is known to drain.
    pub fn is_draining(&self, engine: SubjectHandle) -> bool {
        self.draining.contains(&engine)
    }

    /// Notes that an engine wants no requests for a time; returns the end of its backoff. A shorter time takes nothing off
    /// a longer one that it asked for before.
    pub fn note_backoff(
        &mut self,
        engine: SubjectHandle,
        backoff: Duration,
        now: MonotonicTime,
    ) -> MonotonicTime {
        self.backoffs.retain(|_, until| *until > now);
        let asked = now + backoff.min(MAX_BACKOFF);
        let until = self.backoffs.entry(engine).or_insert(asked);
        *until = (*until).max(asked);
        *until
    }

    /// When an engine's backoff ends, or has ended a short time ago; absent where it asked for none.
    pub fn backoff_end(&self, engine: SubjectHandle) -> Option<MonotonicTime> {
        self.backoffs.get(&engine).copied()
    }

    /// Engines that are backed off from now.
    pub fn backed_off(&self, now: MonotonicTime) -> impl Iterator<Item = SubjectHandle> {
        let in_force = self.backoffs.iter().filter(move |(_, until)| **until > now);
        in_force.map(|(engine, _)| *engine)
    }
}
