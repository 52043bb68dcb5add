//! How long claims are kept, and which may be deleted.

use super::batcher::ClaimWrite;
use super::row::StoredClaim;
use crate::table::{Row, RowKey, RowVersion};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds on the life of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetentionSettings {
    /// A key is refused or joined for this long after its request was admitted, by the wall clocks of two machines.
    pub keep: Duration,
    /// A row must also have stood unchanged for this long on the deleting gateway's own monotonic clock, so that a
    /// wall clock that jumps deletes nothing that is in use.
    pub observed: Duration,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            keep: Duration::from_secs(24 * 60 * 60),
            observed: Duration::from_secs(10 * 60),
        }
    }
}

/// Watches rows from scan to scan and names those that may go.
#[derive(Clone, Debug, Default)]
pub struct RetentionWatch {
    settings: RetentionSettings,
    seen: BTreeMap<RowKey, (RowVersion, MonotonicTime)>,
}

impl RetentionWatch {
    /// Nothing seen so far.
    pub fn new(settings: RetentionSettings) -> Self {
        Self {
            settings,
            seen: BTreeMap::new(),
        }
    }

    /// Takes one whole scan of the claims and returns the deletions that are due. Rows that can't be understood
    /// are kept, for nobody can tell whether their request ran.
    pub fn on_scan(&mut self, rows: &[Row], now: MonotonicTime, unix_seconds: u64) -> Vec<ClaimWrite> {
        let mut seen = BTreeMap::new();
        let mut due = Vec::new();
        for row in rows {
            let first = match self.seen.get(&row.key) {
                Some((version, first)) if *version == row.version => *first,
                _ => now,
            };
            seen.insert(row.key.clone(), (row.version, first));
            if now.since(first) >= self.settings.observed && self.is_old(row, unix_seconds) {
                due.push(ClaimWrite {
                    key: row.key.clone(),
                    expected: Some(row.version),
                    value: None,
                });
            }
        }
        self.seen = seen;
        due
    }

    fn is_old(&self, row: &Row, unix_seconds: u64) -> bool {
        let claimed = StoredClaim::read(row).content.claimed_unix_seconds();
        claimed.is_some_and(|claimed| unix_seconds.saturating_sub(claimed) > self.settings.keep.as_secs())
    }
}
