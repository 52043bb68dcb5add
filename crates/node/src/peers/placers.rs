//! Which nodes choose engines, as this node sees it now.

use super::{FAR_PLACER_SILENCE, Known, Peer, Peers};
use crate::ports::NodeEntry;
use shelfjunction_core::identity::{NodeId, RegionId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placer_set::{self, Candidate, PlacerSet, PlacingReason};
use shelfjunction_core::placing::regional::RegionalPlacers;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::Topology;
use shelfjunction_threads::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a look at who places holds: placers speak every few hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Who chooses engines in this fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placing {
    /// Each node for itself.
    Each,
    /// Some for all, in each region those of the region.
    Placers(RegionalPlacers),
}

/// Whether this node takes part in what a few nodes of a large fleet do for all, and every node of a small one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Every node does.
    Shared,
    /// It is one of the few that do.
    Placer,
    /// Others do.
    Off,
    /// The store has not listed the nodes yet.
    NotKnown,
}

impl Placing {
    /// Whether a node takes part in what a few nodes do for all: placing, watching the store, ordering.
    pub(super) fn shares_duty(&self, node: SubjectHandle) -> bool {
        match self {
            Self::Each => true,
            Self::Placers(placers) => placers.includes(node),
        }
    }
}

/// Logs when this node begins or stops to place requests for its region.
fn log_region_placer(known: &mut Known, topology: &Topology, reason: PlacingReason, now: MonotonicTime) {
    let Some(region) = topology.own_region() else {
        return;
    };
    let before = known.region_placed_for.as_ref();
    let has_changed = if reason.places() {
        before != Some(region)
    } else {
        before.is_some()
    };
    if !has_changed {
        return;
    }
    let near = known.peers.values().filter(|peer| peer.is_near(topology));
    let others = near.filter(|peer| peer.places_now(now)).count();
    let vacant_millis = known
        .vacant_since
        .map_or(0, |since| now.since(since).as_millis() as u64);
    log::info!(
        region = region.as_str(),
        places = reason.places(),
        why = reason.name(),
        other_placers = others,
        vacant_millis;
        "region_placer_changed"
    );
    known.region_placed_for = reason.places().then(|| region.clone());
}

impl Peers {
    /// Who chooses engines now, as of a moment ago: in a large fleet it takes a look at each node.
    pub(crate) fn placing(&self, now: MonotonicTime) -> Placing {
        let mut looked = lock(&self.looked);
        if let Some((at, placing)) = looked.as_ref()
            && now.since(*at) < LOOK_AGAIN
        {
            return placing.clone();
        }
        let placing = self.look_who_places(now);
        *looked = Some((now, placing.clone()));
        placing
    }

    fn look_who_places(&self, now: MonotonicTime) -> Placing {
        let mut known = lock(&self.known);
        if known.nodes() as usize <= self.placing.alone_up_to {
            return Placing::Each;
        }
        let topology = self.topology();
        let reason = self.placing_reason(&mut known, &topology, now);
        log_region_placer(&mut known, &topology, reason, now);
        let own = reason.places().then_some(self.own);
        let is_complete = known.is_complete;
        let silence = known.placer_silence();
        let alive = known.peers.values().filter(|peer| {
            // Placers of other regions speak seldom.
            let silence = if peer.is_near(&topology) {
                silence
            } else {
                FAR_PLACER_SILENCE
            };
            peer.may_place(is_complete, silence, now)
        });
        let alive = alive.map(|peer| (peer.candidate(), peer.region(&topology)));
        let alive = alive.chain(own.map(|own| (own, topology.own_region())));
        Placing::Placers(RegionalPlacers::select(alive, &topology, &self.placing))
    }

    /// Whether this node takes one of the places of its region, and why; one that comes far behind in the line leaves them to others
    /// as long as it hears any.
    fn placing_reason(&self, known: &mut Known, topology: &Topology, now: MonotonicTime) -> PlacingReason {
        let count = self.placing.placers_per_region(topology);
        let mut near = known.peers.values().filter(|peer| peer.is_near(topology));
        let hears_any = near.any(|peer| peer.heard_lately(now));
        if !known.is_complete {
            return PlacingReason::ListNotRead;
        }
        if !known.in_line && hears_any {
            return PlacingReason::NoCandidate;
        }
        let near = known.peers.values().filter(|peer| peer.is_near(topology));
        if near.filter(|peer| peer.places_now(now)).count() >= count {
            known.vacant_since = None;
        } else {
            known.vacant_since.get_or_insert(now);
        }
        let vacant_for = known
            .vacant_since
            .map_or(Duration::ZERO, |since| now.since(since));
        let near = known.peers.values().filter(|peer| peer.is_near(topology));
        let others = near.map(|peer| (peer.candidate(), peer.presence(now)));
        placer_set::placing_reason(self.own, others, count, vacant_for)
    }

    /// Whether no placer was heard for a while, so that this node has to look for others itself.
    pub(super) fn hears_no_placer(&self, now: MonotonicTime) -> bool {
        let topology = self.topology();
        let known = lock(&self.known);
        let mut near = known.peers.values().filter(|peer| peer.is_near(&topology));
        known.nodes() as usize > self.placing.alone_up_to && !near.any(|peer| peer.heard_lately(now))
    }

    /// Addresses of the nodes that this placer tells often: those of its region in line for a place, those to which it is near,
    /// and those whose build takes no sparse words; of other regions the placers.
    pub(crate) fn notified_often(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let Placing::Placers(placers) = self.placing(now) else {
            return self.addresses(now);
        };
        let topology = self.topology();
        let known = lock(&self.known);
        let near = known.peers.values().filter(|peer| peer.is_near(&topology));
        let mut candidates: Vec<Candidate> = near.map(Peer::candidate).collect();
        candidates.push(self.own);
        let line = PlacerSet::with_standbys(&candidates, self.placing.placers_per_region(&topology));
        let often = known.peers.values().filter(|peer| {
            if !peer.is_near(&topology) {
                return placers.includes(peer.handle);
            }
            !peer.accepts_sparse_reports
                || line.includes(peer.handle)
                || placers.home().is_primary_contact(self.own.node, peer.handle)
        });
        often.map(|peer| peer.address).collect()
    }

    /// Whether this node has to know all others, of which some are known.
    pub(super) fn may_become_placer(&self, some: &[NodeEntry]) -> bool {
        let topology = self.topology();
        let own_region = topology.own_region();
        let near = some.iter().filter(|entry| {
            let zone = entry.zone.as_ref();
            own_region.is_none_or(|own| zone.is_none_or(|zone| topology.contains(own, zone)))
        });
        let others = near.map(NodeEntry::candidate);
        let others: Vec<Candidate> = others.filter(|other| other.node != self.own.node).collect();
        placer_set::may_become_placer(self.own, &others, self.placing.placers_per_region(&topology))
    }

    /// Whether this node chooses engines for others, or each node for itself.
    pub(crate) fn is_placer(&self, now: MonotonicTime) -> bool {
        match self.placing(now) {
            Placing::Each => true,
            Placing::Placers(placers) => placers.includes(self.own.node),
        }
    }

    /// Whether this node takes part in what is done for all.
    pub(crate) fn duty(&self, now: MonotonicTime) -> Duty {
        if !lock(&self.known).listed {
            return Duty::NotKnown;
        }
        match self.placing(now) {
            Placing::Each => Duty::Shared,
            Placing::Placers(placers) if placers.includes(self.own.node) => Duty::Placer,
            Placing::Placers(_) => Duty::Off,
        }
    }

    /// This node's short name.
    pub(crate) fn own_handle(&self) -> SubjectHandle {
        self.own.node
    }

    /// Thousandths of a processor core that this node may use.
    pub(super) fn own_processor(&self) -> u32 {
        self.own.processor_thousandths
    }

    /// Where the node with a short name hears others.
    pub(crate) fn address_of(&self, node: SubjectHandle) -> Option<SocketAddr> {
        let known = lock(&self.known);
        let mut peers = known.peers.values();
        peers.find(|peer| peer.handle == node).map(|peer| peer.address)
    }

    /// Addresses of the nodes that are told of the load of engines: the other placers of the region in a large fleet, or
    /// everybody in a small one.
    pub(crate) fn told_of_load(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        match self.placing(now) {
            Placing::Each => self.addresses(now),
            Placing::Placers(placers) => self.addresses_among(|node| placers.home().includes(node)),
        }
    }

    /// Addresses of the nodes to which this placer passes on what is new at once: those of its region, and the placers of other
    /// regions, which pass it on there.
    pub(crate) fn told_of_news(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let topology = self.topology();
        let Placing::Placers(placers) = self.placing(now) else {
            return self.addresses(now);
        };
        let known = lock(&self.known);
        let told = known.peers.values().filter(|peer| {
            peer.is_near(&topology) || !peer.accepts_sparse_reports || placers.includes(peer.handle)
        });
        told.map(|peer| peer.address).collect()
    }

    /// Where each of the other nodes hears others, by its short name.
    pub(crate) fn addresses_by_handle(&self) -> BTreeMap<SubjectHandle, SocketAddr> {
        let known = lock(&self.known);
        let peers = known.peers.values();
        peers.map(|peer| (peer.handle, peer.address)).collect()
    }

    /// The other nodes that were ever heard, and the time since.
    pub(crate) fn heard_ago(&self, now: MonotonicTime) -> Vec<(NodeId, Duration)> {
        let known = lock(&self.known);
        let heard = known.peers.iter().filter(|(_, peer)| peer.last_message.is_some());
        heard
            .map(|(node, peer)| (node.clone(), now.since(peer.known_at)))
            .collect()
    }

    /// Addresses of the nodes that are told of work: the other placers in a large fleet, or everybody in a small one.
    pub(crate) fn told(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        match self.placing(now) {
            Placing::Each => self.addresses(now),
            Placing::Placers(placers) => self.addresses_among(|node| placers.includes(node)),
        }
    }

    /// Nodes of other regions; those whose region is not known lie in every region and are not among them.
    pub(crate) fn nodes_elsewhere(&self, region: &RegionId) -> BTreeSet<NodeId> {
        let topology = self.topology();
        let known = lock(&self.known);
        let elsewhere = known
            .peers
            .iter()
            .filter(|(_, peer)| peer.region(&topology).is_some_and(|other| other != region));
        elsewhere.map(|(node, _)| node.clone()).collect()
    }

    /// Number of nodes of a region that report its demand while all of them live.
    pub(crate) fn usual_reporters(&self, region: &RegionId) -> usize {
        let topology = self.topology();
        let known = lock(&self.known);
        let nodes = known
            .peers
            .values()
            .filter(|peer| peer.region(&topology) == Some(region));
        nodes
            .count()
            .min(self.placing.placers_per_region(&topology))
            .max(1)
    }

    /// Addresses of the nodes of other regions that are told the demand on this one: the lease holder, or all on duty while it is
    /// not heard.
    pub(crate) fn told_of_demand(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let topology = self.topology();
        let placing = self.placing(now);
        let known = lock(&self.known);
        let mut holders = known
            .peers
            .values()
            .filter(|peer| peer.holds_lease && peer.spoke_just_now(now))
            .peekable();
        if holders.peek().is_some() {
            let distant = holders.filter(|peer| !peer.is_near(&topology));
            return distant.map(|peer| peer.address).collect();
        }
        let on_duty = known
            .peers
            .values()
            .filter(|peer| placing.shares_duty(peer.handle) && !peer.is_near(&topology));
        on_duty.map(|peer| peer.address).collect()
    }

    fn addresses_among(&self, includes: impl Fn(SubjectHandle) -> bool) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let placers = known.peers.values().filter(|peer| includes(peer.handle));
        placers.map(|peer| peer.address).collect()
    }

    /// Names of the other nodes on duty that place for this node's region; all nodes on duty in a deployment that is not regional.
    pub(crate) fn on_duty_in_region(&self, now: MonotonicTime) -> Vec<NodeId> {
        let placing = self.placing(now);
        let known = lock(&self.known);
        let on_duty = known.peers.iter().filter(|(_, peer)| match &placing {
            Placing::Each => true,
            Placing::Placers(placers) => placers.home().includes(peer.handle),
        });
        on_duty.map(|(node, _)| node.clone()).collect()
    }

    /// The other nodes on duty that may take the lease: they said a short time ago that the store answers them, or have
    /// only just been listed and have had no time to say anything.
    pub(crate) fn lease_candidates(&self, now: MonotonicTime) -> Vec<SubjectHandle> {
        let placing = self.placing(now);
        let known = lock(&self.known);
        let alive = known.peers.values().filter(|peer| peer.is_alive(now));
        let on_duty = alive.filter(|peer| placing.shares_duty(peer.handle));
        on_duty
            .filter(|peer| peer.store_answers || peer.last_message.is_none())
            .map(|peer| peer.handle)
            .collect()
    }

    /// Whether another node said a moment ago that it holds the lease.
    pub(crate) fn another_holds_lease(&self, now: MonotonicTime) -> bool {
        let known = lock(&self.known);
        let mut fresh = known.peers.values().filter(|peer| peer.spoke_just_now(now));
        fresh.any(|peer| peer.holds_lease)
    }
}
