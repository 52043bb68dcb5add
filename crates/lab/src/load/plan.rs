//! What a run of load sends: where, how often, and in which mixes.

use serde::{Deserialize, Serialize};
use shelfjunction_core::service_class::ServiceClass;
use std::net::SocketAddr;
use std::time::Duration;

/// A run of load, with every secret already read.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Gateways, taken in turn.
    pub gateways: Vec<SocketAddr>,
    /// Engines that every second call goes to without a gateway, taken in turn; empty: none.
    pub direct: Vec<SocketAddr>,
    /// How long calls are started.
    pub duration: Duration,
    /// Mean rate of calls over the whole run.
    pub requests_per_second: f64,
    /// Most calls in flight; a call that waits for a sender is late, and its lateness is measured.
    pub senders: usize,
    /// Seed of arrivals and lengths.
    pub seed: u64,
    /// Longest wait for an answer's next part.
    pub part_timeout: Duration,
    /// Kinds of calls.
    pub mixes: Vec<Mix>,
}

/// One kind of call.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    /// Name in the summary.
    pub name: String,
    /// Bearer token of the tenant.
    pub token: String,
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Part of all calls, relative to the other mixes.
    pub share: f64,
    /// Length of prompts.
    pub prompt_tokens: LengthDistribution,
    /// Length of outputs asked for.
    pub output_tokens: LengthDistribution,
    /// Class; absent: the tenant's.
    pub class: Option<ServiceClass>,
    /// Whether each call carries an idempotency key of its own.
    pub keyed: bool,
}

/// Log-normal lengths in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the natural logarithm; zero: every length is the median.
    pub spread: f64,
}

impl LengthDistribution {
    /// The same length always.
    pub fn fixed(tokens: u32) -> Self {
        Self {
            median: f64::from(tokens),
            spread: 0.0,
        }
    }
}
