//! Owners of request slots in a regional deployment: nodes of the engine's region.
//!
//! A node knows the region of another node only if that node has announced the same mapping of zones to regions from its present
//! start. All other nodes may own slots in any region, so every node that could take itself for the owner is a candidate at all
//! other nodes. Two nodes that hear each other therefore never both take themselves for the owner, also while their settings
//! differ or one of them runs an earlier build.
//!
//! The share of the limit that an owner may use follows the nodes that it reaches. In a fleet of regions a node of the engine's
//! region weighs more than one of another region:
//!
//! ```text
//! nodes inside   nodes of the region, and nodes of unknown region
//! nodes outside  nodes of other regions, and nodes of unknown region
//! weight         = QUORUM * reached inside / inside + (1 - QUORUM) * reached outside / outside
//! share          = 1 if weight >= QUORUM, else weight
//! ```
//!
//! The weights of all nodes add up to one, so at most one side of a partition has the whole limit and the others at most 1 - QUORUM
//! of it, as in a deployment that is not regional. A region that is cut off as a whole keeps the whole limits of its engines. If all
//! nodes of a region are lost, other regions use 1 - QUORUM of the limits of its engines until the lost nodes are forgotten.

use super::slot_owner::{MIN_FULL_LIMIT_QUORUM, quorum_share};
use crate::identity::RegionId;
use crate::membership::subject::SubjectHandle;

/// A node that may own slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// The node.
    pub node: SubjectHandle,
    /// Its region; absent if it is not known, so that the node may own slots in every region.
    pub region: Option<RegionId>,
}

/// The nodes among which the owner of the slots of an engine is chosen. Without a known candidate in the engine's region these are
/// all, as for an engine whose region is not known.
pub fn candidates_for(region: Option<&RegionId>, candidates: &[OwnerCandidate]) -> Vec<SubjectHandle> {
    let has_region = |candidate: &&OwnerCandidate| region.is_some() && candidate.region.as_ref() == region;
    let is_regional = candidates.iter().any(|candidate| has_region(&candidate));
    let eligible = candidates
        .iter()
        .filter(|candidate| !is_regional || candidate.region.is_none() || has_region(candidate));
    eligible.map(|candidate| candidate.node).collect()
}

/// Nodes of one kind, and how many of them an owner reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeCount {
    /// Nodes that the owner reaches.
    pub reached: u32,
    /// All nodes.
    pub nodes: u32,
}

impl NodeCount {
    /// Counts a node.
    pub fn add(&mut self, is_reached: bool) {
        self.nodes += 1;
        self.reached += u32::from(is_reached);
    }

    fn with(self, other: Self) -> Self {
        Self {
            reached: self.reached + other.reached,
            nodes: self.nodes + other.nodes,
        }
    }

    fn part(self) -> f64 {
        f64::from(self.reached) / f64::from(self.nodes.max(1))
    }
}

/// The nodes that an owner of an engine's slots reaches, itself included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reach {
    /// Nodes of the engine's region.
    pub inside: NodeCount,
    /// Nodes of other regions.
    pub outside: NodeCount,
    /// Nodes whose region is not known.
    pub unknown: NodeCount,
}

impl Reach {
    /// Counts a node by its region and that of the engine.
    pub fn add(&mut self, region: Option<&RegionId>, engine_region: &RegionId, is_reached: bool) {
        let count = match region {
            Some(region) if region == engine_region => &mut self.inside,
            Some(_) => &mut self.outside,
            None => &mut self.unknown,
        };
        count.add(is_reached);
    }

    /// Share of the limit of an engine that an owner may use.
    pub fn limit_share(&self) -> f64 {
        let all = self.inside.with(self.outside).with(self.unknown);
        if self.inside.nodes == 0 || self.outside.nodes == 0 {
            return quorum_share(all.reached, all.nodes, MIN_FULL_LIMIT_QUORUM);
        }
        let inside = self.inside.with(self.unknown).part();
        let outside = self.outside.with(self.unknown).part();
        let weight = MIN_FULL_LIMIT_QUORUM * inside + (1.0 - MIN_FULL_LIMIT_QUORUM) * outside;
        if weight >= MIN_FULL_LIMIT_QUORUM {
            1.0
        } else {
            weight
        }
    }
}
