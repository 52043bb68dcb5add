//! Regions as a node tells them: JSON on its metrics address.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path on the metrics address.
pub const REGIONS_PATH: &str = "/regions";

/// The regions of a deployment as one node knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionsView {
    /// The node.
    pub node: String,
    /// Its region; absent if the deployment is not regional.
    pub home: Option<String>,
    /// The regions that the settings name, ordered by name; empty if the deployment is not regional.
    pub regions: Vec<RegionView>,
    /// Other nodes whose region is not known: they have not named their zone, or the settings do not.
    pub nodes_without_region: usize,
    /// Zones of engines and nodes that the settings do not name.
    pub unnamed_zones: Vec<String>,
}

/// One region.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RegionView {
    /// Its name.
    pub region: String,
    /// Other nodes known in it.
    pub nodes_known: usize,
    /// Of them those heard a short time ago.
    pub nodes_heard: usize,
    /// Nodes that place requests for it, as this node believes; empty if each node places its own.
    pub placers: Vec<String>,
    /// Whether this node is one of them.
    pub is_placer: bool,
    /// Engines in use that take work, by stage.
    pub engines: BTreeMap<String, usize>,
    /// Mean measured round trip to its nodes, in milliseconds; absent before the first measurement.
    pub round_trip_millis: Option<f64>,
    /// Seconds since the last measurement.
    pub round_trip_age_seconds: Option<f64>,
    /// Times that this node's requests were placed on engines there.
    pub placements: u64,
    /// Seconds until its cordon lifts itself; absent if it is not cordoned.
    pub cordoned_seconds: Option<u64>,
    /// Whether the cordon is forced.
    pub cordoned_by_force: bool,
}
