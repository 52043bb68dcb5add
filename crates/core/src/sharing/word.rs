//! What nodes tell each other of the use of pools.

use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};

/// Tenants named of one pool; the others are summed up. Each takes 7 to 15 bytes.
pub const MOST_TENANTS: usize = 32;

/// What one tenant used of a pool, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// Admitted to be in time.
    pub used: u32,
    /// Asked for, what was admitted included.
    pub wanted: u32,
}

/// Outcomes of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KindCounts {
    /// Requests whose outcome is known, in hundredths.
    pub known: u32,
    /// Those of them whose first event was in time, in hundredths.
    pub in_time: u32,
}

/// One node's sums about one pool at the moment of the word.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUse {
    /// The pool.
    pub pool: SubjectHandle,
    /// The tenants that used most.
    pub tenants: Vec<(SubjectHandle, TenantUse)>,
    /// All other tenants together.
    pub others: TenantUse,
    /// Kinds of requests, the most urgent first.
    pub kinds: Vec<KindCounts>,
}

/// A node's word of what it admitted; it replaces every earlier word of the node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UseWord {
    /// The sender.
    pub node: SubjectHandle,
    /// Start of the sender's process; a later start has a higher number.
    pub start: u64,
    /// Number of the word since that start.
    pub number: u64,
    /// The sender's own clock; only differences to its other words mean anything.
    pub told_at: MonotonicTime,
    /// The pools of which there is something to tell.
    pub pools: Vec<PoolUse>,
}
