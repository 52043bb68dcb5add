//! Requests that engines have answered lately: a crash beside one of them was not its doing.
//!
//! Without it what many callers ask alike, such as one path without a body, would be charged by each of them, and after three
//! crashes of any cause all of them would be refused.

use super::Fingerprint;
use crate::time::MonotonicTime;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;

/// Time for which an answer vouches for a request. What begins to crash engines after a change of their software is charged after
/// so long.
const VOUCHING_PERIOD: Duration = Duration::from_secs(60);

/// Most requests that are remembered, of some 60 bytes each; the one that was answered longest ago gives way.
const MAX_REQUESTS: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// Requests that engines have answered with success.
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

    /// Whether one has a short time ago.
    pub fn vouches_for(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> bool {
        let answered_at = self.answered_at.peek(fingerprint);
        answered_at.is_some_and(|at| now.since(*at) < VOUCHING_PERIOD)
    }
}
