//! Recent changes of the engine list, which a node publishes to its peers.
//!
//! Only a node that received a change from the store publishes it, and only for a short time. Its messages reach the
//! whole fleet; a node that misses all of them reads the changes from the store.

use super::listing::{EngineListing, ListChange};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a change is published after its receipt.
const PUBLISH_DURATION: Duration = Duration::from_millis(700);

/// Consecutive changes of the engine list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListUpdate {
    /// Version that a node's list must reflect for the changes to apply without a gap.
    pub base: u64,
    /// Changes in ascending order, each with its store version.
    pub changes: Vec<(u64, ListChange)>,
}

impl ListUpdate {
    /// Applies the changes to a list and returns those that were new to it; applies none if the list lacks earlier
    /// changes.
    pub fn apply_to(self, listing: &mut EngineListing) -> Vec<ListChange> {
        match self.changes.last().map(|(version, _)| *version) {
            Some(last) if listing.applied_version() >= self.base => listing.apply(self.changes, last),
            _ => Vec::new(),
        }
    }
}

/// Recent changes that this node received from the store.
#[derive(Clone, Debug, Default)]
pub struct RecentChanges {
    base: u64,
    changes: VecDeque<(MonotonicTime, u64, ListChange)>,
}

impl RecentChanges {
    /// Records changes that the store returned for versions above `after`, before they are applied to `listing`.
    ///
    /// The store increments its version on every write, including writes that do not change the engine list. So the
    /// base of the update is the version of the last change of the list, which a complete list always reflects.
    pub fn record(
        &mut self,
        listing: &EngineListing,
        after: u64,
        changes: &[(u64, ListChange)],
        now: MonotonicTime,
    ) {
        if listing.applied_version() > after {
            // A peer has already published some of these changes, so they may not be contiguous with those recorded
            // here.
            return self.reset();
        }
        if self.changes.is_empty() {
            self.base = listing.last_change_version();
        }
        for (version, change) in changes {
            self.changes.push_back((now, *version, change.clone()));
        }
    }

    /// Discards all changes; called when the list is replaced and the changes no longer lead up to it.
    pub fn reset(&mut self) {
        self.changes.clear();
    }

    /// Returns up to `max_changes` of the newest unexpired changes, and discards all others.
    pub fn publishable(&mut self, max_changes: usize, now: MonotonicTime) -> ListUpdate {
        let is_expired = |at: MonotonicTime| now.since(at) >= PUBLISH_DURATION;
        while self.changes.front().is_some_and(|(at, _, _)| is_expired(*at)) {
            self.drop_oldest();
        }
        while self.changes.len() > max_changes {
            self.drop_oldest();
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

    fn drop_oldest(&mut self) {
        if let Some((_, version, _)) = self.changes.pop_front() {
            self.base = version;
        }
    }
}
