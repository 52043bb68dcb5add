//! Giving a claim back under which nothing ran, so that no late copy of its writes can take effect any more.
//!
//! A table that was slow or frozen may carry out a write long after its sender gave it up. The row is therefore not
//! deleted: a released row stays in its place, and every copy of the claim, which checks that there is no row or that
//! the row has an older version, meets a conflict.

use super::batcher::ClaimWrite;
use super::row::{ClaimContent, ReleasedRow, StoredClaim};
use crate::identity::RequestId;
use crate::table::{Row, RowKey, RowVersion};

/// What is known of the last write of the claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimStanding {
    /// It took effect.
    Written {
        /// Version of the row.
        version: RowVersion,
    },
    /// Nobody can tell; it may still take effect.
    InDoubt {
        /// Version that the write checks for; absent: it checks that there is no row.
        checked: Option<RowVersion>,
    },
}

/// A claim to give back; its request is sent nowhere any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The row.
    pub key: RowKey,
    /// The request that held the claim, or was to hold it.
    pub request: RequestId,
    /// Seconds since the Unix epoch when the request was admitted; bounds retention only.
    pub claimed_unix_seconds: u64,
    /// What is known of the row.
    pub standing: ClaimStanding,
}

impl Release {
    /// The write, where it needs no look at the row. Its conflict shows that an earlier copy of it took effect.
    pub fn write_unread(&self) -> Option<ClaimWrite> {
        match self.standing {
            ClaimStanding::Written { version } => Some(self.write(Some(version))),
            ClaimStanding::InDoubt { .. } => None,
        }
    }

    /// The write that follows from a look at the row; on a conflict the row is to be looked at again. Absent where the
    /// claim does not stand and no late copy of it can take effect any more.
    pub fn write_over(&self, found: Option<&Row>) -> Option<ClaimWrite> {
        let version = found.map(|row| row.version);
        // Versions never come back, so a copy that does not pass now never passes again.
        let late_copy_passes =
            matches!(self.standing, ClaimStanding::InDoubt { checked } if checked == version);
        let stands = found.is_some_and(|row| self.is_held(row));
        (late_copy_passes || stands).then(|| self.write(version))
    }

    fn is_held(&self, row: &Row) -> bool {
        matches!(StoredClaim::read(row).content, ClaimContent::Held(claim) if claim.request == self.request)
    }

    fn write(&self, expected: Option<RowVersion>) -> ClaimWrite {
        let row = ReleasedRow {
            released: self.request.clone(),
            claimed_unix_seconds: self.claimed_unix_seconds,
        };
        ClaimWrite {
            key: self.key.clone(),
            expected,
            value: Some(row.text()),
        }
    }
}
