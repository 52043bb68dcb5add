//! What a node tells of the duties that one node at a time has: JSON on its metrics address.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Path on the metrics address.
pub const DUTIES_PATH: &str = "/duties";

/// A node's duties as it sees them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DutiesView {
    /// The node.
    pub node: String,
    /// Token under which it holds the lease; absent while another does.
    pub token: Option<u64>,
    /// Usage of tenants; absent where it is not counted.
    pub usage: Option<UsageView>,
    /// Pools whose engines are paid by the second, as they were last planned here.
    pub plans: Vec<PlanView>,
}

/// Usage of tenants as a node has heard of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageView {
    /// Length of a window, in seconds.
    pub window_seconds: f64,
    /// Reports that lie in the store and that the platform has not confirmed to this node.
    pub unconfirmed: usize,
    /// Every window up to this one was confirmed to this node or given up.
    pub confirmed_through: Option<u64>,
    /// The last windows, the newest last.
    pub windows: Vec<WindowView>,
}

/// One window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WindowView {
    /// Its number: it began so many lengths after the start of 1970.
    pub window: u64,
    /// Nodes that are heard and have not told all of it.
    pub missing: Vec<String>,
    /// Requests that began in it, by tenant.
    pub counts: BTreeMap<String, u64>,
}

/// The engines that are wanted of a pool, and why.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlanView {
    /// The pool.
    pub pool: String,
    /// Engines that the highest demand of late keeps busy.
    pub load: f64,
    /// By zone.
    pub zones: Vec<ZonePlanView>,
}

/// The engines that are wanted in a zone, and those that run and stay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZonePlanView {
    /// The zone.
    pub zone: String,
    /// On-demand engines wanted.
    pub on_demand_wanted: u32,
    /// On-demand engines that run.
    pub on_demand_running: u32,
    /// Spot engines wanted.
    pub spot_wanted: u32,
    /// Spot engines that run.
    pub spot_running: u32,
    /// Whether the zone had no spot engines to give when it was last asked, or took its own back.
    pub without_spot: bool,
}
