//! Which other node relays connections to engines that a node does not reach itself.
//!
//! A few nodes are asked, the nearest first and in random order, and answer with an offer. Of the offers the one with the lowest
//! cost is taken:
//!
//! ```text
//! cost = (tunnels open there + tunnels opened from here since the offer) / capacity + DISTANCE_COST * distance
//! distance = 0 in the node's zone, 1 in its region, 2 elsewhere
//! ```

use crate::membership::subject::{SubjectHandle, mix};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Cost of one step of distance, in parts of a relay's capacity.
const DISTANCE_COST: f64 = 0.4;

/// Time for which an offer holds.
const OFFER_LIFETIME: Duration = Duration::from_millis(1_000);

/// Time for which a node is passed over that failed to relay or gave no answer, unless there is no other.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_500);

/// What a node offers to one that asks whether it relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOffer {
    /// Whether it knows the engine and reaches it, as far as it knows.
    pub reaches_engine: bool,
    /// Whether it reaches any engine.
    pub reaches_any: bool,
    /// Tunnels open there.
    pub open: u16,
    /// Maximum number of tunnels; zero where it takes none.
    pub capacity: u16,
}

impl RelayOffer {
    fn is_acceptable(&self) -> bool {
        self.reaches_engine && self.reaches_any && self.open < self.capacity
    }
}

/// Another node that may relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPeer {
    /// The node.
    pub node: SubjectHandle,
    /// Distance: 0 in the same zone, 1 in the same region, 2 elsewhere.
    pub distance: u8,
}

#[derive(Clone, Debug, Default)]
struct RelayRecord {
    offer: Option<(RelayOffer, MonotonicTime)>,
    /// Tunnels opened from here since the offer.
    opened: u16,
    paused_until: MonotonicTime,
}

/// What a node knows of those that may relay for it.
#[derive(Clone, Debug, Default)]
pub struct RelayDirectory {
    records: BTreeMap<SubjectHandle, RelayRecord>,
}

impl RelayDirectory {
    /// Takes a node's offer.
    pub fn on_offer(&mut self, node: SubjectHandle, offer: RelayOffer, now: MonotonicTime) {
        let record = self.records.entry(node).or_default();
        record.offer = Some((offer, now));
        record.opened = 0;
        if offer.is_acceptable() {
            record.paused_until = now;
        }
    }

    /// Records that a tunnel through a node was opened.
    pub fn on_opened(&mut self, node: SubjectHandle) {
        let record = self.records.entry(node).or_default();
        record.opened = record.opened.saturating_add(1);
    }

    /// Records that a node failed to relay, or that its tunnel broke.
    pub fn on_failed(&mut self, node: SubjectHandle, now: MonotonicTime) {
        let record = self.records.entry(node).or_default();
        record.offer = None;
        record.paused_until = now + FAILURE_PAUSE;
    }

    /// Nodes to ask for an offer, at most `count`: nearest first, in an order that `draw` decides among equals; those that failed
    /// a short time ago come last.
    pub fn to_ask(
        &self,
        peers: &[RelayPeer],
        count: usize,
        draw: u64,
        now: MonotonicTime,
    ) -> Vec<SubjectHandle> {
        let rank = |peer: &RelayPeer| {
            let is_paused = self
                .records
                .get(&peer.node)
                .is_some_and(|record| record.paused_until > now);
            let order = peer
                .node
                .0
                .iter()
                .fold(draw, |hash, byte| mix(hash ^ u64::from(*byte)));
            (is_paused, peer.distance, order)
        };
        let mut ranked: Vec<&RelayPeer> = peers.iter().collect();
        ranked.sort_by_key(|peer| rank(peer));
        ranked.iter().take(count).map(|peer| peer.node).collect()
    }

    /// The node with the lowest cost among those whose offer holds, without `excluded`.
    pub fn best(
        &self,
        peers: &[RelayPeer],
        excluded: &[SubjectHandle],
        now: MonotonicTime,
    ) -> Option<SubjectHandle> {
        let candidates = peers.iter().filter(|peer| !excluded.contains(&peer.node));
        let costs = candidates.filter_map(|peer| {
            let record = self.records.get(&peer.node)?;
            let (offer, at) = record.offer?;
            let holds = offer.is_acceptable() && now.since(at) <= OFFER_LIFETIME;
            let open = offer.open.saturating_add(record.opened);
            let load = f64::from(open) / f64::from(offer.capacity.max(1));
            holds.then(|| (load + DISTANCE_COST * f64::from(peer.distance), peer.node))
        });
        let cheapest = costs.min_by(|one, other| one.0.total_cmp(&other.0));
        cheapest.map(|(_, node)| node)
    }
}
