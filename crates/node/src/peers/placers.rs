//! Which nodes choose engines, as this node sees it now.

use super::{Known, Peer, Peers};
use crate::ports::NodeEntry;
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placer_set::{self, Candidate, PlacerSet};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a look at who places holds: placers speak every few hundred milliseconds.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Who chooses engines in this fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Placing {
    /// Each node for itself.
    Each,
    /// Some for all.
    Placers(PlacerSet),
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
        let is_complete = known.is_complete;
        let silence = known.placer_silence();
        let others = known.peers.values();
        let others = others.filter(|peer| peer.may_place(is_complete, silence, now));
        let mut alive: Vec<Candidate> = others.map(Peer::candidate).collect();
        if self.should_place(&mut known, now) {
            alive.push(self.own);
        }
        Placing::Placers(PlacerSet::select(&alive, self.placing.placers))
    }

    /// Whether this node takes one of the places; one that comes far behind in the line leaves them to others as long as
    /// it hears any.
    fn should_place(&self, known: &mut Known, now: MonotonicTime) -> bool {
        let hears_any = known.peers.values().any(|peer| peer.heard_lately(now));
        if !known.is_complete || (!known.in_line && hears_any) {
            return false;
        }
        let placing = known.peers.values().filter(|peer| peer.places_now(now));
        if placing.count() >= self.placing.placers {
            known.vacant_since = None;
        } else {
            known.vacant_since.get_or_insert(now);
        }
        let vacant_for = known
            .vacant_since
            .map_or(Duration::ZERO, |since| now.since(since));
        let others = known
            .peers
            .values()
            .map(|peer| (peer.candidate(), peer.presence(now)));
        placer_set::should_place(self.own, others, self.placing.placers, vacant_for)
    }

    /// Whether no placer was heard for a while, so that this node has to look for others itself.
    pub(super) fn hears_no_placer(&self, now: MonotonicTime) -> bool {
        let known = lock(&self.known);
        known.nodes() as usize > self.placing.alone_up_to
            && !known.peers.values().any(|peer| peer.heard_lately(now))
    }

    /// Addresses of the nodes that this placer tells often: those in line for a place, those to which it is near, and
    /// those whose build takes no sparse words.
    pub(crate) fn notified_often(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let Placing::Placers(placers) = self.placing(now) else {
            return self.addresses(now);
        };
        let known = lock(&self.known);
        let mut candidates: Vec<Candidate> = known.peers.values().map(Peer::candidate).collect();
        candidates.push(self.own);
        let line = PlacerSet::with_standbys(&candidates, self.placing.placers);
        let often = known.peers.values().filter(|peer| {
            !peer.accepts_sparse_reports
                || line.includes(peer.handle)
                || placers.is_primary_contact(self.own.node, peer.handle)
        });
        often.map(|peer| peer.address).collect()
    }

    /// Whether this node has to know all others, of which some are known.
    pub(super) fn may_become_placer(&self, some: &[NodeEntry]) -> bool {
        let others = some.iter().map(NodeEntry::candidate);
        let others: Vec<Candidate> = others.filter(|other| other.node != self.own.node).collect();
        placer_set::may_become_placer(self.own, &others, self.placing.placers)
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
            Placing::Placers(placers) => self.addresses_among(&placers),
        }
    }

    fn addresses_among(&self, placers: &PlacerSet) -> Vec<SocketAddr> {
        let known = lock(&self.known);
        let placers = known.peers.values().filter(|peer| placers.includes(peer.handle));
        placers.map(|peer| peer.address).collect()
    }

    /// Names of the other nodes on duty: the placers of a large fleet, everybody in a small one.
    pub(crate) fn on_duty(&self, now: MonotonicTime) -> Vec<NodeId> {
        let placing = self.placing(now);
        let known = lock(&self.known);
        let on_duty = known
            .peers
            .iter()
            .filter(|(_, peer)| placing.shares_duty(peer.handle));
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
