//! Versions at which the entries of the platform's list of engines last changed.
//!
//! A node that knows only the engines in use may receive a snapshot from a peer that is older than its own list. An
//! engine in that snapshot that is unknown here was either put back into the reserve or removed since; the version of
//! the entry's last change tells which.

use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of entries whose last change is kept; the latest are kept. An entry takes about 60 bytes.
const MAX_CHANGED_ENTRIES: usize = 4_096;

/// The last changes of entries after some version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownChanges {
    /// All changes after this version are known.
    since: u64,
    /// Version of the last change of each entry that changed after `since`, by the digest of its name.
    last: BTreeMap<SubjectHandle, u64>,
}

impl KnownChanges {
    /// An empty history, complete for changes after the given version.
    pub fn complete_since(version: u64) -> Self {
        Self {
            since: version,
            last: BTreeMap::new(),
        }
    }

    /// Records a change of an entry; a version older than the recorded one has no effect.
    pub fn record(&mut self, name: &str, version: u64) {
        let last = self.last.entry(digest(name)).or_default();
        *last = version.max(*last);
        self.enforce_max_entries();
    }

    /// Whether the entry is known not to have changed after the given version.
    pub fn is_unchanged_since(&self, name: &str, version: u64) -> bool {
        version >= self.since && self.last.get(&digest(name)).is_none_or(|last| *last <= version)
    }

    /// Merges the history of a peer, which reaches a later version than this one; this one is complete up to
    /// `covered_version`.
    pub fn extend(&mut self, later: &Self, covered_version: u64) {
        if later.since > covered_version {
            // Changes between the two histories are unknown to both nodes.
            *self = later.clone();
            return;
        }
        for (name, version) in &later.last {
            let last = self.last.entry(*name).or_default();
            *last = (*last).max(*version);
        }
        self.enforce_max_entries();
    }

    /// The latest changes of at most `max_entries` entries.
    pub fn latest(&self, max_entries: usize) -> Self {
        let mut latest = self.clone();
        latest.evict_earliest(max_entries);
        latest
    }

    /// Evicts a quarter of the entries once the limit is exceeded, since each eviction scans all entries.
    fn enforce_max_entries(&mut self) {
        if self.last.len() > MAX_CHANGED_ENTRIES {
            self.evict_earliest(MAX_CHANGED_ENTRIES * 3 / 4);
        }
    }

    fn evict_earliest(&mut self, max_entries: usize) {
        if self.last.len() <= max_entries {
            return;
        }
        let mut versions: Vec<u64> = self.last.values().copied().collect();
        versions.sort_unstable();
        self.since = versions[versions.len() - max_entries - 1];
        self.last.retain(|_, version| *version > self.since);
    }
}

fn digest(name: &str) -> SubjectHandle {
    SubjectHandle::of_text("engine", name)
}
