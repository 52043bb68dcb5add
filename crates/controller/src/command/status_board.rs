//! Statuses that this controller read from the engines itself, newest first known.

use shelfjunction_core::engine::EngineStatus;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Age from which a status says nothing any more.
const OLDEST_STATUS: Duration = Duration::from_secs(10);

/// The newest status of each engine.
///
/// Records of membership come from several watchers, and one that was slow can tell an older status after a newer
/// one. Goals must not go back and forth with that, so they rest on this board alone.
#[derive(Debug, Default)]
pub struct StatusBoard {
    statuses: BTreeMap<EngineId, (MonotonicTime, EngineStatus)>,
}

impl StatusBoard {
    /// Takes in a status that can't be older than `observed_at`; one that may be older than the known one is dropped.
    pub fn note(&mut self, status: &EngineStatus, observed_at: MonotonicTime) {
        let known = self.statuses.get(&status.engine);
        if known.is_none_or(|(known_at, _)| *known_at <= observed_at) {
            let entry = (observed_at, status.clone());
            self.statuses.insert(status.engine.clone(), entry);
        }
    }

    /// The newest status, unless it is too old to count.
    pub fn get(&self, engine: &EngineId, now: MonotonicTime) -> Option<&EngineStatus> {
        let (observed_at, status) = self.statuses.get(engine)?;
        (now.since(*observed_at) <= OLDEST_STATUS).then_some(status)
    }

    /// Forgets engines that are not listed.
    pub fn retain(&mut self, listed: impl Fn(&EngineId) -> bool) {
        self.statuses.retain(|engine, _| listed(engine));
    }
}
