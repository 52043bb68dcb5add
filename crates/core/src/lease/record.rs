//! Rows of the lease.

use crate::identity::{FencingToken, NodeId, ZoneId};
use crate::table::{RowKey, RowVersion};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Name of one attempt to write the lease row; no two attempts of any process share it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptName {
    /// Start of the process that made the attempt, drawn at random.
    pub process: u64,
    /// Number of the attempt since that start.
    pub number: u64,
}

/// Value of `lease/{zone}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease.
    pub holder: NodeId,
    /// Raised by each taking; names the era of the store in which it was made.
    pub token: FencingToken,
    /// The attempt that wrote this value.
    pub attempt: AttemptName,
    /// How long a challenger must see this version unchanged before it may take the lease, in milliseconds.
    pub duration_millis: u64,
    /// Whether the holder gave the lease up of its own accord; anyone may take it at once.
    pub released: bool,
}

/// Value of `epoch/{zone}` and `epoch/{zone}/{era}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochRow {
    /// Token of the last taking.
    pub token: FencingToken,
}

/// The right to order a zone's engines, until an instant on the holder's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Token of this taking.
    pub token: FencingToken,
    /// Version of `epoch/{zone}`, which every order's transaction checks.
    pub epoch_version: RowVersion,
    /// Nothing is ordered from this instant on; the margin is taken off already.
    pub not_after: MonotonicTime,
}

/// Key of a zone's lease row.
pub fn lease_key(zone: &ZoneId) -> RowKey {
    RowKey(format!("lease/{zone}"))
}

/// Key of a zone's epoch row.
pub fn epoch_key(zone: &ZoneId) -> RowKey {
    RowKey(format!("epoch/{zone}"))
}

/// Key of the row that keeps the highest token of one era of the store. Only processes that know the era write it, so no late write of an
/// earlier era puts an older value there.
pub fn era_epoch_key(zone: &ZoneId, era: u64) -> RowKey {
    RowKey(format!("epoch/{zone}/{era}"))
}
