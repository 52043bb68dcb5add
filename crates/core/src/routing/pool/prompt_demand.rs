//! Prompt tokens that had to be read in a second, here and at other nodes.

use crate::identity::NodeId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time in which a change of the demand shows by two thirds.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Age from which another node's word no longer counts.
const PEER_LIFETIME: Duration = Duration::from_secs(3);

/// Exponentially weighted demand; what each node sent decays over the time constant.
#[derive(Clone, Debug, Default)]
pub struct PromptDemand {
    /// Tokens sent, decayed to `updated_at`.
    weighted_tokens: f64,
    updated_at: MonotonicTime,
    first_at: Option<MonotonicTime>,
    peers: BTreeMap<NodeId, (f64, MonotonicTime)>,
}

impl PromptDemand {
    /// Notes a prompt of which so many tokens must be read.
    pub fn on_sent(&mut self, tokens: f64, now: MonotonicTime) {
        self.weighted_tokens = self.decayed(now) + tokens;
        self.updated_at = now;
        if tokens > 0.0 {
            self.first_at.get_or_insert(now);
        }
    }

    /// Takes another node's word.
    pub fn on_peer(&mut self, peer: &NodeId, tokens_per_second: u32, now: MonotonicTime) {
        if tokens_per_second > 0 {
            self.first_at.get_or_insert(now);
        }
        self.peers
            .insert(peer.clone(), (f64::from(tokens_per_second), now));
    }

    /// This node's demand, in tokens per second.
    pub fn own(&self, now: MonotonicTime) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Every node's demand, in tokens per second; absent before any was seen.
    pub fn prompt_tokens_per_second(&self, now: MonotonicTime) -> Option<f64> {
        self.first_at?;
        let fresh = self
            .peers
            .values()
            .filter(|(_, at)| now.since(*at) < PEER_LIFETIME);
        Some(self.own(now) + fresh.map(|(tokens, _)| tokens).sum::<f64>())
    }

    /// Every node's demand as a multiple of this node's own; one where it has none.
    pub fn total_to_own_ratio(&self, now: MonotonicTime) -> f64 {
        let own = self.own(now);
        let all = self.prompt_tokens_per_second(now);
        all.filter(|_| own > 0.0).map_or(1.0, |all| all / own)
    }

    fn decayed(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.weighted_tokens * (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
