//! What a node tells of requests under which engines crashed: JSON on its metrics address.

use serde::{Deserialize, Serialize};

/// Path on the metrics address; with a fingerprint behind it, `DELETE` lifts that request's quarantine.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// Requests against which a crash counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineView {
    /// The node.
    pub node: String,
    /// The requests.
    pub requests: Vec<SuspectView>,
}

/// One request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectView {
    /// Digest of what it asks for, in hexadecimal.
    pub fingerprint: String,
    /// Its route.
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
