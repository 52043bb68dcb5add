//! The lease's row as it was read or written, and what a restore of the store makes of it.

use super::record::LeaseRow;
use crate::identity::FencingToken;
use crate::table::{Row, RowVersion, StorePosition};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Tokens of one era of the store; those of era `e` begin at `e * TOKENS_PER_ERA`, so tokens of era zero are as builds without eras have
/// them.
pub const TOKENS_PER_ERA: u64 = 1 << 20;

/// The row as last read or written.
#[derive(Clone, Debug)]
pub(super) struct Observed {
    pub(super) version: RowVersion,
    pub(super) row: LeaseRow,
    /// First instant at which this version was seen.
    pub(super) since: MonotonicTime,
}

impl Observed {
    /// The row that a read gave; absent where it can't be understood.
    pub(super) fn parse(row: &Row, since: MonotonicTime) -> Option<Self> {
        let lease = serde_json::from_str(&row.value).ok()?;
        Some(Self {
            version: row.version,
            row: lease,
            since,
        })
    }

    /// Era of the store in which this version was seen.
    pub(super) fn era(&self) -> u64 {
        StorePosition::era_of(self.version.0)
    }

    /// Whether the taking that the row tells of belongs to an earlier era than the one in which the row was seen: the copy that was
    /// restored has it, or it was written late. Later takings may be missing from it, so it proves nothing about who holds the lease.
    pub(super) fn is_outdated(&self) -> bool {
        self.row.token.0 / TOKENS_PER_ERA < self.era()
    }

    /// When a holder that wrote this version has stopped, unless it has renewed it.
    pub(super) fn lapses_at(&self) -> MonotonicTime {
        self.since + Duration::from_millis(self.row.duration_millis)
    }
}

/// The token of the next taking: above all that are known, and above all of earlier eras whether they are known or not.
pub(super) fn next_token(highest: FencingToken, era: u64) -> FencingToken {
    FencingToken((highest.0 + 1).max(era * TOKENS_PER_ERA))
}
