//! Demand for prefill in tokens per second, of this node and of its peers.

use crate::identity::NodeId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant of the exponential moving average.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Age from which a peer's report is ignored.
const PEER_REPORT_TTL: Duration = Duration::from_secs(3);

/// Exponentially weighted demand of this node, and the demand that peers report.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand {
    /// Exponentially decayed sum of sent tokens, as of `updated_at`.
    weighted_tokens: f64,
    updated_at: MonotonicTime,
    first_demand_at: Option<MonotonicTime>,
    peers: BTreeMap<NodeId, (f64, MonotonicTime)>,
}

impl PromptDemand {
    /// Records a request of this node with the number of its prompt tokens that need prefill.
    pub fn on_sent(&mut self, tokens: f64, now: MonotonicTime) {
        self.weighted_tokens = self.decayed(now) + tokens;
        self.updated_at = now;
        if tokens > 0.0 {
            self.first_demand_at.get_or_insert(now);
        }
    }

    /// Records the demand that a peer reports.
    pub fn on_peer(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        if tokens_per_second > 0 {
            self.first_demand_at.get_or_insert(now);
        }
        self.peers
            .insert(peer.clone(), (f64::from(tokens_per_second), now));
    }

    /// Demand of this node, in tokens per second.
    pub fn own(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Demand of all nodes, in tokens per second; absent before the first request or report with demand.
    pub fn prompt_tokens_per_second(&self, now: MonotonicTime) -> Option<f64> {
        self.first_demand_at?;
        let fresh = self
            .peers
            .values()
            .filter(|(_, at)| now.since(*at) < PEER_REPORT_TTL);
        Some(self.own(now) + fresh.map(|(tokens, _)| tokens).sum::<f64>())
    }

    /// Ratio of the demand of all nodes to that of this node; one if this node has none.
    pub fn total_to_own_ratio(&self, now: MonotonicTime) -> f64 {
        let own = self.own(now);
        let total = self.prompt_tokens_per_second(now);
        total.filter(|_| own > 0.0).map_or(1.0, |total| total / own)
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weighted_tokens * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
