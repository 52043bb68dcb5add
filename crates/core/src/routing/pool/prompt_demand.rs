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
    /// Whether this node itself has sent prompts that need prefill.
    has_sent: bool,
    peers: BTreeMap<NodeId, PeerDemand>,
}

/// The last report of a peer.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    tokens_per_second: f64,
    reported_at: MonotonicTime,
    /// Whether any report of the peer was above zero.
    has_reported_any: bool,
}

impl PeerDemand {
    fn is_fresh(&self, now: MonotonicTime) -> bool {
        now.since(self.reported_at) < PEER_REPORT_TTL
    }
}

impl PromptDemand {
    /// Records a request of this node with the number of its prompt tokens that need prefill.
    pub fn on_sent(&mut self, tokens: f64, now: MonotonicTime) {
        self.weighted_tokens = self.decayed(now) + tokens;
        self.updated_at = now;
        if tokens > 0.0 {
            self.has_sent = true;
            self.first_demand_at.get_or_insert(now);
        }
    }

    /// Takes back prompt tokens that were counted at `counted_at` and are not prefilled here.
    pub fn withdraw(&mut self, tokens: f64, counted_at: MonotonicTime, now: MonotonicTime) {
        let remaining = tokens * decay(now.since(counted_at));
        self.weighted_tokens = (self.decayed(now) - remaining).max(0.0);
        self.updated_at = now;
    }

    /// Sum of the tokens that this node has sent, decayed until `now`.
    pub fn counted_tokens(&self, now: MonotonicTime) -> f64 {
        self.decayed(now)
    }

    /// Records the demand that a peer reports.
    pub fn on_peer(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        if tokens_per_second > 0 {
            self.first_demand_at.get_or_insert(now);
        }
        let before = self.peers.get(peer);
        let demand = PeerDemand {
            tokens_per_second: f64::from(tokens_per_second),
            reported_at: now,
            has_reported_any: tokens_per_second > 0 || before.is_some_and(|before| before.has_reported_any),
        };
        self.peers.insert(peer.clone(), demand);
    }

    /// Demand of this node, in tokens per second.
    pub fn own(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Demand of all nodes, in tokens per second; absent before the first request or report with demand.
    pub fn prompt_tokens_per_second(&self, now: MonotonicTime) -> Option<f64> {
        self.first_demand_at?;
        let fresh = self.peers.values().filter(|demand| demand.is_fresh(now));
        Some(self.own(now) + fresh.map(|demand| demand.tokens_per_second).sum::<f64>())
    }

    /// Demand of this node and of the peers for which `is_counted` returns true; absent before the first request or report with
    /// demand among them.
    pub fn prompt_tokens_per_second_of(
        &self,
        is_counted: impl Fn(&NodeId) -> bool,
        now: MonotonicTime,
    ) -> Option<f64> {
        let counted = self.peers.iter().filter(|(peer, _)| is_counted(peer));
        let counted: Vec<&PeerDemand> = counted.map(|(_, demand)| demand).collect();
        if !self.has_sent && !counted.iter().any(|demand| demand.has_reported_any) {
            return None;
        }
        let fresh = counted.iter().filter(|demand| demand.is_fresh(now));
        Some(self.own(now) + fresh.map(|demand| demand.tokens_per_second).sum::<f64>())
    }

    /// Ratio of the demand of all nodes to that of this node; one if this node has none.
    pub fn total_to_own_ratio(&self, now: MonotonicTime) -> f64 {
        let own = self.own(now);
        let total = self.prompt_tokens_per_second(now);
        total.filter(|_| own > 0.0).map_or(1.0, |total| total / own)
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        self.weighted_tokens * decay(now.since(self.updated_at))
    }
}

/// Share of counted tokens that is left after a time.
fn decay(age: Duration) -> f64 {
    (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
