//! Placers of each region.
//!
//! Each region has placers, standbys and takeover of its own, chosen from the nodes of the region as [`super::placer_set`] chooses
//! them from a fleet. In a deployment that is not regional the home region is the whole fleet.

use super::config::PlacingSettings;
use super::placer_set::{Candidate, PlacerSet};
use crate::identity::RegionId;
use crate::membership::subject::SubjectHandle;
use crate::topology::Topology;
use std::collections::BTreeMap;

/// Fewest placers of a region, so that one is left when another fails.
const MIN_PLACERS_PER_REGION: usize = 2;

impl PlacingSettings {
    /// Number of placers in each region; all placers in a deployment that is not regional.
    pub fn placers_per_region(&self, topology: &Topology) -> usize {
        if !topology.is_regional() {
            return self.placers;
        }
        self.placers
            .div_ceil(topology.region_count())
            .max(MIN_PLACERS_PER_REGION)
    }
}

/// The placers of every region as one node sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionalPlacers {
    home: PlacerSet,
    distant: BTreeMap<RegionId, PlacerSet>,
}

impl RegionalPlacers {
    /// Selects the placers of every region from live candidates. A candidate whose region is not known counts as one of the home
    /// region.
    pub fn select<'a>(
        alive: impl Iterator<Item = (Candidate, Option<&'a RegionId>)>,
        topology: &Topology,
        settings: &PlacingSettings,
    ) -> Self {
        let (mut home, mut distant) = (Vec::new(), BTreeMap::<RegionId, Vec<Candidate>>::new());
        for (candidate, region) in alive {
            match region.filter(|region| topology.own_region().is_some_and(|own| own != *region)) {
                Some(region) => distant.entry(region.clone()).or_default().push(candidate),
                None => home.push(candidate),
            }
        }
        let count = settings.placers_per_region(topology);
        let distant = distant.into_iter();
        Self {
            home: PlacerSet::select(&home, count),
            distant: distant
                .map(|(region, candidates)| (region, PlacerSet::select(&candidates, count)))
                .collect(),
        }
    }

    /// Placers of the node's own region; of the whole fleet in a deployment that is not regional.
    pub fn home(&self) -> &PlacerSet {
        &self.home
    }

    /// Placers of the other regions.
    pub fn distant(&self) -> &BTreeMap<RegionId, PlacerSet> {
        &self.distant
    }

    /// Region of a placer of another region; absent for other nodes.
    pub fn distant_region_of(&self, node: SubjectHandle) -> Option<&RegionId> {
        let mut regions = self.distant.iter();
        regions
            .find(|(_, placers)| placers.includes(node))
            .map(|(region, _)| region)
    }

    /// Whether a node places requests in any region.
    pub fn includes(&self, node: SubjectHandle) -> bool {
        self.home.includes(node) || self.distant_region_of(node).is_some()
    }
}
