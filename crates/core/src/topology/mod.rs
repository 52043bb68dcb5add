//! Zones, the regions that contain them, and the distance between two zones.
//!
//! Network delay and KV cache transfer time depend on whether two zones share a region. A deployment that names zones of fewer than
//! two regions is not regional: everything that depends on regions is off, and decisions are the same as without this module.
//!
//! A zone that the settings do not name lies in every region. Its engines and nodes therefore stay usable while the settings of
//! nodes differ, for example while a zone is being added.

mod round_trips;

pub use round_trips::{DISTANT_WAIT_FACTOR, RoundTrips};

use crate::identity::{RegionId, ZoneId};
use crate::membership::subject::{SubjectHandle, mix};
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of the topology, from the section `topology`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TopologySettings {
    /// Region of each zone; empty if the deployment names no regions.
    pub zones: BTreeMap<ZoneId, RegionId>,
}

impl TopologySettings {
    /// All invalid settings, given the zone of the node.
    pub fn validate(&self, own_zone: &ZoneId) -> Vec<FieldError> {
        let unnamed = self.zones.iter().filter(|(zone, region)| {
            zone.as_str().is_empty()
                || region.as_str().is_empty()
                || region.as_str().contains(char::is_whitespace)
        });
        let mut errors: Vec<FieldError> = unnamed
            .map(|(zone, region)| FieldError {
                field: format!("topology.zones.{zone}"),
                value: region.to_string(),
                allowed: "a zone and a region, neither empty, the region without white space".to_owned(),
            })
            .collect();
        if !self.zones.is_empty() && !self.zones.contains_key(own_zone) {
            errors.push(FieldError {
                field: "topology.zones".to_owned(),
                value: format!("no entry for {own_zone}"),
                allowed: "an entry for the zone of this node".to_owned(),
            });
        }
        errors
    }
}

/// Distance between two zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Distance {
    /// The same zone.
    SameZone,
    /// Two zones of one region, or of a deployment that is not regional.
    SameRegion,
    /// Zones of two regions.
    OtherRegion,
}

/// Zones and regions of a deployment as one node knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    own_region: Option<RegionId>,
    zones: BTreeMap<ZoneId, RegionId>,
    regions: BTreeSet<RegionId>,
    digest: u64,
}

impl Topology {
    /// The topology of a node in `own_zone`.
    pub fn new(own_zone: &ZoneId, settings: &TopologySettings) -> Self {
        Self {
            own_region: settings.zones.get(own_zone).cloned(),
            zones: settings.zones.clone(),
            regions: settings.zones.values().cloned().collect(),
            digest: digest_of(&settings.zones),
        }
    }

    /// Digest of the mapping of zones to regions. Two nodes with the same digest place every zone in the same region.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether the deployment spans two regions or more and the node knows its own.
    pub fn is_regional(&self) -> bool {
        self.regions.len() > 1 && self.own_region.is_some()
    }

    /// Region of the node; absent in a deployment that is not regional.
    pub fn own_region(&self) -> Option<&RegionId> {
        self.own_region.as_ref().filter(|_| self.is_regional())
    }

    /// All regions of a regional deployment, ordered by name; empty otherwise.
    pub fn regions(&self) -> impl Iterator<Item = &RegionId> {
        self.regions.iter().filter(|_| self.is_regional())
    }

    /// Number of regions; one in a deployment that is not regional.
    pub fn region_count(&self) -> usize {
        if self.is_regional() { self.regions.len() } else { 1 }
    }

    /// Region of a zone; absent if the settings do not name the zone or the deployment is not regional.
    pub fn region_of(&self, zone: &ZoneId) -> Option<&RegionId> {
        self.zones.get(zone).filter(|_| self.is_regional())
    }

    /// Whether a zone lies in a region. A zone that the settings do not name lies in every region.
    pub fn contains(&self, region: &RegionId, zone: &ZoneId) -> bool {
        self.region_of(zone).is_none_or(|own| own == region)
    }

    /// Distance between two zones.
    pub fn distance(&self, zone: &ZoneId, other: &ZoneId) -> Distance {
        if zone == other {
            return Distance::SameZone;
        }
        match (self.region_of(zone), self.region_of(other)) {
            (Some(region), Some(other_region)) if region != other_region => Distance::OtherRegion,
            _ => Distance::SameRegion,
        }
    }
}

fn digest_of(zones: &BTreeMap<ZoneId, RegionId>) -> u64 {
    zones.iter().fold(0, |digest, (zone, region)| {
        let zone = SubjectHandle::of_text("zone", zone.as_str()).number();
        let region = SubjectHandle::of_text("region", region.as_str()).number();
        mix(mix(digest ^ zone) ^ region)
    })
}
