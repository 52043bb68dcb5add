//! One route: which requests it takes, where they go and what may be done with them.

use super::config::PoolId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Name of a route, unique within a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteId(pub String);

impl fmt::Display for RouteId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Whether a request may be run again after an engine may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatRule {
    /// At most one run.
    Never,
    /// Any number of runs; the answer of any one of them will do.
    Always,
    /// Another run may go on behind the last event that the caller has.
    Resumable,
}

/// Part of a route's requests that goes to one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolId,
    /// Weight among the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name.
    pub id: RouteId,
    /// Host that the caller names.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Pools with their weights; never empty.
    pub shares: Vec<PoolShare>,
    /// Whether a run may be repeated.
    pub repeat: RepeatRule,
    /// Whether the answer is a series of events.
    pub events: bool,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub target_latency: Duration,
    /// Longest pause between two events that still keeps an answer in time.
    pub event_gap: Option<Duration>,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Most engines on which one request is run.
    pub maximum_runs: u32,
    /// Whether callers without a tenant's key are served.
    pub anonymous: bool,
}

impl RouteRule {
    /// Whether the route takes a request.
    pub fn takes(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&self.path_prefix)
    }
}
