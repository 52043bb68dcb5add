//! Which nodes are asked for a tenant's bucket, in which order, and what a node that is asked may grant.
//!
//! The nodes that may own buckets are ordered by rendezvous hashing of the tenant. The first is the owner; if it is silent, those
//! that would take the bucket over are asked in turn. Nodes that have ended ([`super::rate_contacts`]) are left out, so that any
//! number of them may end at once without a refusal.

use crate::membership::subject::SubjectHandle;
use crate::rate_limit::slot_owner::owner_and_successors;

/// Nodes that may be asked for one tenant and have not ended: the owner, and those that would take its bucket over.
pub const MAX_ASKED: usize = 8;

/// A node to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// The node.
    pub node: SubjectHandle,
    /// Whether another node would own the bucket if it had not ended or fallen silent.
    pub as_deputy: bool,
}

/// What a node is for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateRole {
    /// It owns the bucket.
    Owner,
    /// It may grant from its reserve in place of the owner.
    Deputy {
        /// The owner.
        owner: SubjectHandle,
    },
    /// Neither.
    Other {
        /// The owner.
        owner: SubjectHandle,
    },
}

/// The nodes to ask, in this order. `candidates` are all nodes that may own buckets.
pub fn ask_order(
    tenant: SubjectHandle,
    candidates: &[SubjectHandle],
    has_ended: impl Fn(SubjectHandle) -> bool,
) -> Vec<Asked> {
    let ranked = owner_and_successors(tenant, candidates, candidates.len());
    let nodes = ranked.iter().enumerate().map(|(rank, node)| Asked {
        node: *node,
        as_deputy: rank > 0,
    });
    nodes
        .filter(|asked| !has_ended(asked.node))
        .take(MAX_ASKED)
        .collect()
}

/// What a node is for a tenant; `candidates` are the nodes that may own buckets and have not ended. Without any other, it owns the
/// bucket itself.
pub fn role_of(own: SubjectHandle, tenant: SubjectHandle, candidates: &[SubjectHandle]) -> RateRole {
    let ranked = owner_and_successors(tenant, candidates, MAX_ASKED);
    match ranked.first() {
        None => RateRole::Owner,
        Some(owner) if *owner == own => RateRole::Owner,
        Some(owner) if ranked.contains(&own) => RateRole::Deputy { owner: *owner },
        Some(owner) => RateRole::Other { owner: *owner },
    }
}
