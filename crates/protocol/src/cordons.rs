//! Cordons and engines as a node tells them: JSON on its metrics address.

use serde::{Deserialize, Serialize};

/// Path on the metrics address: `GET` tells the cordons, `POST` adds one; `DELETE` with a target behind it lifts one.
pub const CORDONS_PATH: &str = "/cordons";

/// Path on the metrics address that tells what is known of each engine.
pub const ENGINES_PATH: &str = "/engines";

/// A cordon that is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CordonRequest {
    /// `engine/NAME`, `zone/POOL/ZONE` or `region/REGION`.
    pub target: String,
    /// Who asks.
    pub by: String,
    /// Time after which it lifts itself.
    pub seconds: u64,
    /// Whether it holds although too few engines are left, and where no other engine can take a request.
    #[serde(default)]
    pub force: bool,
}

/// The cordons that a node has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonsView {
    /// The node.
    pub node: String,
    /// Version of the set.
    pub version: u64,
    /// Other nodes that this one has heard of late.
    pub nodes_heard: usize,
    /// Of them those that told that they have this version.
    pub nodes_alike: usize,
    /// Those in force.
    pub cordons: Vec<CordonView>,
}

/// One cordon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonView {
    /// `engine/NAME`, `zone/POOL/ZONE` or `region/REGION`.
    pub target: String,
    /// Who asked for it.
    pub by: String,
    /// Seconds since it was taken.
    pub since_seconds: u64,
    /// Seconds until it lifts itself.
    pub left_seconds: u64,
    /// Whether the engines get nothing even where no other can take a request.
    pub forced: bool,
}

/// The engines that a node knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EnginesView {
    /// The node.
    pub node: String,
    /// The engines, by name.
    pub engines: Vec<EngineView>,
}

/// One engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// Its name.
    pub engine: String,
    /// Number of its start; zero where the platform doesn't tell.
    pub start: u64,
    /// Its pool.
    pub pool: String,
    /// Its zone.
    pub zone: String,
    /// `whole`, `prefill` or `decode`.
    pub stage: String,
    /// Factor by which work takes longer there than at a usual engine of its pool, as counted now.
    pub work_factor: f64,
    /// Requests believed to be there, over all nodes.
    pub requests: u64,
    /// Of them those whose output runs or is about to.
    pub outputs: u64,
    /// Requests that waited there when it last told; absent where it has told nothing of late.
    pub waiting: Option<u32>,
    /// Prompt tokens believed to be read there still.
    pub prompt_tokens: u64,
    /// Why it gets no new work, such as `paused` or `cordoned`; absent where it does.
    pub left_alone: Option<String>,
    /// Seconds until that ends by itself, where that is known.
    pub left_alone_seconds: Option<f64>,
}
