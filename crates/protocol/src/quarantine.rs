//! What a node tells of requests and parts of prompts under which engines crashed: JSON on its metrics address.

use serde::{Deserialize, Serialize};

/// Path on the metrics address; with a fingerprint behind it, `DELETE` lifts that request's or part's quarantine.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Requests and parts against which a crash counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// The node.
    pub node: String,
    /// The requests.
    pub requests: Vec<SuspectView>,
    /// The parts of prompts; absent from nodes of earlier builds.
    #[serde(default)]
    pub parts: Vec<SuspectView>,
}

/// One request, or one part of prompts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectView {
    /// Digest of what it asks for, in hexadecimal; of a part its model's digest and its name.
    pub fingerprint: String,
    /// Name of the part, as callers write it; absent for a request.
    #[serde(default)]
    pub part: Option<String>,
    /// Its route; for a part that of the first request that was charged.
    pub route: String,
    /// Its pool.
    pub pool: String,
    /// Its tenant; absent where callers need no key.
    pub tenant: Option<String>,
    /// `free`, `suspected` or `quarantined`.
    pub standing: String,
    /// Engines that crashed while it was under way there.
    pub crashes: usize,
    /// Seconds until nothing counts against it any more.
    pub counts_for_seconds: u64,
    /// Times that this node has refused it.
    pub refused: u64,
}
