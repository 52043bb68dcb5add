//! The nodes that keep to engines' rate limits, as this one has heard them: those that may keep slots, and how many there are.

use super::{Peer, Peers, Placing};
use shelfjunction_core::identity::{NodeId, RegionId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::regional_owner::{OwnerCandidate, Reach, candidates_for};
use shelfjunction_core::rate_limit::slot_owner::limit_share;
use shelfjunction_core::routing::pool::PeerLoadSlice;
use shelfjunction_core::tenancy::rate_contacts::RateContacts;
use shelfjunction_core::tenancy::rate_owner::{RegionReach, rate_share, regional_rate_share};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::Topology;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::time::Duration;

/// What another node said of rate limits; older builds know nothing of them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LimitSpeaker {
    /// Start of the process that speaks of them; absent where none does.
    start: Option<u64>,
    /// Whether it leaves its slots to others.
    leaves: bool,
}

/// The nodes among which tenants' rates are divided, this one included.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateCensus {
    /// Nodes that this one reaches.
    pub(crate) reached: u32,
    /// All nodes.
    pub(crate) nodes: u32,
}

impl LimitSpeaker {
    /// Takes what a word of its work says.
    pub(super) fn hear_slice(&mut self, start: u64, slice: PeerLoadSlice) {
        if slice.reports_rate_limits() {
            self.hear(start, self.leaves && self.start == Some(start));
        }
    }

    fn hear(&mut self, start: u64, leaves: bool) {
        self.start = Some(start);
        self.leaves = leaves;
    }

    fn speaks(&self, start: u64) -> bool {
        self.start == Some(start)
    }
}

impl Peer {
    /// Whether it is alive and keeps to limits.
    fn keeps_to_limits(&self, silence: Duration, now: MonotonicTime) -> bool {
        let speaks = self
            .last_message
            .is_some_and(|(start, _)| self.limits.speaks(start));
        speaks && now.since(self.known_at) < silence
    }
}

impl Peers {
    /// Notes that a node speaks of limits, and whether it keeps slots; true where that was not known of this start of it.
    pub(crate) fn note_speaks_of_limits(&self, node: &NodeId, start: u64, owns_slots: bool) -> bool {
        let mut known = lock(&self.known);
        let Some(peer) = known.peers.get_mut(node) else {
            return false;
        };
        let is_new = !peer.limits.speaks(start);
        peer.limits.hear(start, !owns_slots);
        is_new
    }

    /// The nodes that may keep slots: the placers of a large fleet, everybody in a small one; this one too if `own_keeps`.
    pub(crate) fn slot_keepers(&self, own_keeps: bool, now: MonotonicTime) -> Vec<SubjectHandle> {
        let keepers = self.slot_keepers_heard(own_keeps, now);
        keepers.into_iter().map(|(node, _)| node).collect()
    }

    /// The same with the time at which each was heard last.
    pub(crate) fn slot_keepers_heard(
        &self,
        own_keeps: bool,
        now: MonotonicTime,
    ) -> Vec<(SubjectHandle, MonotonicTime)> {
        let placing = self.placing(now);
        let silence = self.silence(&placing);
        let own = own_keeps && placing.shares_duty(self.own.node);
        let known = lock(&self.known);
        let others = known.peers.values().filter(|peer| {
            placing.shares_duty(peer.handle) && peer.keeps_to_limits(silence, now) && !peer.limits.leaves
        });
        let others = others.map(|peer| (peer.handle, peer.known_at));
        others.chain(own.then_some((self.own.node, now))).collect()
    }

    /// Nodes that were not heard for half of the time after which they may be gone; none if this node does not keep slots.
    pub(crate) fn silent_nodes(&self, now: MonotonicTime) -> Vec<SubjectHandle> {
        let placing = self.placing(now);
        if !placing.shares_duty(self.own.node) {
            return Vec::new();
        }
        let silence = self.silence(&placing) / 2;
        let known = lock(&self.known);
        let silent = known
            .peers
            .values()
            .filter(|peer| now.since(peer.known_at) >= silence);
        silent.map(|peer| peer.handle).collect()
    }

    /// The nodes that may own the slots of an engine: those of its region if there are any.
    pub(crate) fn slot_owners(
        &self,
        region: Option<&RegionId>,
        own_keeps: bool,
        now: MonotonicTime,
    ) -> Vec<SubjectHandle> {
        let keepers = self.slot_keepers(own_keeps, now);
        if region.is_none() {
            return keepers;
        }
        let topology = self.topology();
        let known = lock(&self.known);
        let regions: BTreeMap<SubjectHandle, &RegionId> = known
            .peers
            .values()
            .filter_map(|peer| Some((peer.handle, peer.owner_region(&topology)?)))
            .chain(topology.own_region().map(|region| (self.own.node, region)))
            .collect();
        let candidates: Vec<OwnerCandidate> = keepers
            .into_iter()
            .map(|node| OwnerCandidate {
                node,
                region: regions.get(&node).copied().cloned(),
            })
            .collect();
        candidates_for(region, &candidates)
    }

    /// The part of an engine's limit that this node has where it keeps its slots; nothing while the nodes are not known.
    pub(crate) fn part_of_limits(&self, region: Option<&RegionId>, now: MonotonicTime) -> f64 {
        match region {
            Some(region) => self.regional_part_of_limits(region, now),
            None => self.share_of_limits(limit_share, now),
        }
    }

    fn regional_part_of_limits(&self, region: &RegionId, now: MonotonicTime) -> f64 {
        let topology = self.topology();
        let placing = self.placing(now);
        let silence = self.silence(&placing);
        let known = lock(&self.known);
        if !known.knows_number() {
            return 0.0;
        }
        let mut reach = Reach::default();
        reach.add(topology.own_region(), region, true);
        for peer in known.peers.values() {
            let is_reached = peer.keeps_to_limits(silence, now);
            // Of a node that is not reached only its entry in the list is known.
            let of_peer = if is_reached {
                peer.owner_region(&topology)
            } else {
                peer.region(&topology)
            };
            reach.add(of_peer, region, is_reached);
        }
        reach.unknown.nodes += known.nodes() - known.nodes_known_itself();
        reach.limit_share()
    }

    /// The part of tenants' rates that this node has where it owns their buckets; nothing while the nodes are not known.
    pub(crate) fn part_of_tenant_rates(&self, contacts: &RateContacts, now: MonotonicTime) -> f64 {
        let Some(census) = self.rate_census(contacts, now) else {
            return 0.0;
        };
        let topology = self.topology();
        match topology.own_region() {
            Some(home) => self.regional_part_of_tenant_rates(home, &topology, census, contacts, now),
            None => rate_share(census.reached, census.nodes),
        }
    }

    fn regional_part_of_tenant_rates(
        &self,
        home: &RegionId,
        topology: &Topology,
        census: RateCensus,
        contacts: &RateContacts,
        now: MonotonicTime,
    ) -> f64 {
        let silence = self.silence(&self.placing(now));
        let known = lock(&self.known);
        let mut regions: BTreeMap<Option<&RegionId>, RegionReach> = BTreeMap::new();
        let present = known
            .peers
            .values()
            .filter(|peer| !contacts.has_ended(peer.handle, peer.known_at));
        for peer in present {
            let region = regions.entry(peer.region(topology)).or_default();
            region.nodes += 1;
            region.reached += u32::from(peer.keeps_to_limits(silence, now));
        }
        let own = regions.entry(Some(home)).or_default();
        own.nodes += 1;
        own.reached += 1;
        // Nodes that only others have told of; their region is not known.
        let counted: u32 = regions.values().map(|region| region.nodes).sum();
        regions.entry(None).or_default().nodes += census.nodes.saturating_sub(counted);
        let own = regions.remove(&Some(home)).unwrap_or_default();
        let others: Vec<RegionReach> = regions.into_values().collect();
        regional_rate_share(own, &others)
    }

    /// How many nodes there are and how many of them this one reaches; absent while they are not known. Nodes that have ended do
    /// not count.
    pub(crate) fn rate_census(&self, contacts: &RateContacts, now: MonotonicTime) -> Option<RateCensus> {
        let placing = self.placing(now);
        let silence = self.silence(&placing);
        let known = lock(&self.known);
        if !known.knows_number() {
            return None;
        }
        let (ended, present): (Vec<&Peer>, Vec<&Peer>) = known
            .peers
            .values()
            .partition(|peer| contacts.has_ended(peer.handle, peer.known_at));
        let forgotten =
            contacts.ended_and_forgotten(|node| known.peers.values().any(|peer| peer.handle == node));
        let told = present.iter().map(|peer| peer.told_nodes).max().unwrap_or(0);
        let told = told.saturating_sub((ended.len() + forgotten) as u32);
        let nodes = told.max(present.len() as u32 + 1);
        let reached = present.iter().filter(|peer| peer.keeps_to_limits(silence, now));
        Some(RateCensus {
            reached: reached.count() as u32 + 1,
            nodes,
        })
    }

    fn share_of_limits(&self, share: fn(u32, u32) -> f64, now: MonotonicTime) -> f64 {
        let placing = self.placing(now);
        let silence = self.silence(&placing);
        let known = lock(&self.known);
        if !known.knows_number() {
            return 0.0;
        }
        let reached = known
            .peers
            .values()
            .filter(|peer| peer.keeps_to_limits(silence, now));
        share(reached.count() as u32 + 1, known.nodes())
    }

    /// Silence after which a node may be gone.
    fn silence(&self, placing: &Placing) -> Duration {
        self.silences(placing).alive
    }
}
