//! When each entry of the platform's list of engines last changed, as far back as is known.
//!
//! A node that knows only the engines in use of others may be handed a list that is older than what it reflects. An engine
//! that it doesn't know may have been put out of use there, or may have left since; the version of the entry's last change
//! decides which.

use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most entries whose last change is remembered: the latest. Some 60 bytes each.
const MOST_REMEMBERED: usize = 4_096;

/// The last changes of entries after some version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownChanges {
    /// Every change after this version is known.
    since: u64,
    /// The version of the last change of each entry that changed since, by the digest of its name.
    last: BTreeMap<SubjectHandle, u64>,
}

impl KnownChanges {
    /// Nothing is known of changes up to a version.
    pub fn complete_since(version: u64) -> Self {
        Self {
            since: version,
            last: BTreeMap::new(),
        }
    }

    /// Notes a change of an entry.
    pub fn note(&mut self, name: &str, version: u64) {
        let last = self.last.entry(digest(name)).or_default();
        *last = version.max(*last);
        self.keep_bounded();
    }

    /// Whether what an entry was at a version is known to be what it is now.
    pub fn is_unchanged_since(&self, name: &str, version: u64) -> bool {
        version >= self.since && self.last.get(&digest(name)).is_none_or(|last| *last <= version)
    }

    /// Adds what another node knows up to a later version than `reflected`, up to which this is known.
    pub fn extend(&mut self, later: &Self, reflected: u64) {
        if later.since > reflected {
            // What changed in between is known to neither.
            *self = later.clone();
            return;
        }
        for (name, version) in &later.last {
            let last = self.last.entry(*name).or_default();
            *last = (*last).max(*version);
        }
        self.keep_bounded();
    }

    /// The latest changes, of at most so many entries.
    pub fn latest(&self, most: usize) -> Self {
        let mut latest = self.clone();
        latest.drop_earliest(most);
        latest
    }

    /// Drops a quarter at once, since dropping looks at all.
    fn keep_bounded(&mut self) {
        if self.last.len() > MOST_REMEMBERED {
            self.drop_earliest(MOST_REMEMBERED * 3 / 4);
        }
    }

    fn drop_earliest(&mut self, most: usize) {
        if self.last.len() <= most {
            return;
        }
        let mut versions: Vec<u64> = self.last.values().copied().collect();
        versions.sort_unstable();
        self.since = versions[versions.len() - most - 1];
        self.last.retain(|_, version| *version > self.since);
    }
}

fn digest(name: &str) -> SubjectHandle {
    SubjectHandle::of_text("engine", name)
}
