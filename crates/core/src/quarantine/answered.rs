//! Requests and parts of prompts that engines have answered lately: a crash beside one of them was hardly its doing.
//!
//! Without it what many callers ask alike, such as one path without a body, would be charged by each of them, and after three
//! crashes of any cause all of them would be refused. A request is not charged at all for a time; a part is, since every crash
//! needs an explanation, and its answer counts in the [attribution](super::attribution).

use super::Fingerprint;
use crate::time::MonotonicTime;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;

/// Time for which an answer vouches for a request. What begins to crash engines after a change of their software is charged after
/// so long.
pub(super) const VOUCHING_PERIOD: Duration = Duration::from_secs(60);

/// Most requests that are remembered, of some 60 bytes each; the one that was answered longest ago gives way.
const MAX_REQUESTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Requests and parts that engines have answered with success.
#[derive(Clone, Debug)]
pub struct RecentlyAnswered {
    answered_at: LruCache<Fingerprint, MonotonicTime>,
}

impl Default for RecentlyAnswered {
    fn default() -> Self {
        Self {
            answered_at: LruCache::new(MAX_REQUESTS),
        }
    }
}

impl RecentlyAnswered {
    /// An engine has answered a request with success.
    pub fn note(&mut self, fingerprint: Fingerprint, now: MonotonicTime) {
        self.answered_at.put(fingerprint, now);
    }

    /// When one has last.
    pub fn last(&self, fingerprint: &Fingerprint) -> Option<MonotonicTime> {
        self.answered_at.peek(fingerprint).copied()
    }

    /// Whether one has a short time ago.
    pub fn vouches_for(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> bool {
        let answered_at = self.answered_at.peek(fingerprint);
        answered_at.is_some_and(|at| now.since(*at) < VOUCHING_PERIOD)
    }
}
