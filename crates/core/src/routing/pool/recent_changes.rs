//! The newest changes of the list of engines, as one node tells them to others.
//!
//! Only a node that has a change from the store tells it, for a short time: its messages reach the whole fleet, and
//! one that misses all of them asks the store.

use super::listing::{EngineListing, ListChange};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a change is told.
const TOLD_FOR: Duration = Duration::from_millis(700);

/// Changes of the list between two versions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// A node that reflects less than this version lacks more than these changes.
    pub base: u64,
    /// The changes in order, each with its version.
    pub changes: Vec<(u64, ListChange)>,
}

impl ListUpdate {
    /// Takes the changes into a list that reflects everything before them; returns those that are new.
    pub fn apply_to(self, listing: &mut EngineListing) -> Vec<ListChange> {
        match self.changes.last().map(|(version, _)| *version) {
            Some(last) if listing.reflected_version() >= self.base => listing.apply(self.changes, last),
            _ => Vec::new(),
        }
    }
}

/// The newest changes that the store told this node.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    base: u64,
    changes: VecDeque<(MonotonicTime, u64, ListChange)>,
}

impl RecentChanges {
    /// Notes changes that the store told after version `after`, before they are taken into `listing`.
    ///
    /// The store counts every write, so a node may lack nothing though it reflects a much lower version: what counts is
    /// the version of the last change of the list.
    pub fn note(
        &mut self,
        listing: &EngineListing,
        after: u64,
        changes: &[(u64, ListChange)],
        now: MonotonicTime,
    ) {
        if listing.reflected_version() > after {
            // Another node was faster; what it told is not told again, and these may not follow on what was.
            return self.reset();
        }
        if self.changes.is_empty() {
            self.base = listing.last_change_version();
        }
        for (version, change) in changes {
            self.changes.push_back((now, *version, change.clone()));
        }
    }

    /// Forgets everything: the list has become one that these changes do not lead to.
    pub fn reset(&mut self) {
        self.changes.clear();
    }

    /// What is told to others now: the newest changes, at most so many.
    pub fn told(&mut self, most: usize, now: MonotonicTime) -> ListUpdate {
        let is_old = |at: MonotonicTime| now.since(at) >= TOLD_FOR;
        while self.changes.front().is_some_and(|(at, _, _)| is_old(*at)) {
            self.drop_first();
        }
        while self.changes.len() > most {
            self.drop_first();
        }
        ListUpdate {
            base: self.base,
            changes: self
                .changes
                .iter()
                .map(|(_, version, change)| (*version, change.clone()))
                .collect(),
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, version, _)) = self.changes.pop_front() {
            self.base = version;
        }
    }
}
