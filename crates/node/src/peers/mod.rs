//! Nodes tell each other of their work at engines, by datagrams that are never answered and may be lost.
//!
//! Each message says everything that its sender has under way, so a lost one is made good by the next. The store's
//! list of nodes only says whom to tell first; whoever is heard is told too.
//!
//! In a small fleet each node tells all others. In a large one only the placers ([`shelfjunction_core::placing`]) tell
//! each other of work; they tell everybody else that they live, and what the store has confirmed.

mod by_region;
mod catching_up;
mod directory;
mod limit_speakers;
mod placers;
mod receiving;
mod region_sums;
mod sending;
mod sharing;
mod use_words;

pub(crate) use by_region::NodesOfRegion;
pub(crate) use catching_up::{
    SERVERS as SNAPSHOT_SERVERS, catch_up, serve as serve_snapshots, take_engines_in_use, take_from_any,
};
pub(crate) use directory::follow as follow_directory;
pub(crate) use placers::{Duty, Placing};
pub(crate) use receiving::hear;
pub(crate) use sending::{announce_topology, tell};
pub(crate) use shelfjunction_protocol::node_words::{
    Datagram, LivenessAnswer, LivenessQuestion, MOST_SUSPECTS, UsageMessage,
};

use crate::config::NodeConfig;
use limit_speakers::LimitSpeaker;
use shelfjunction_core::identity::{NodeId, RegionId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::config::PlacingSettings;
use shelfjunction_core::placing::placer_set::{Candidate, CandidateStatus};
use shelfjunction_core::reachability::relay::RelayPeer;
use shelfjunction_core::retry::census::KnownPeer;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::Topology;
use shelfjunction_protocol::topology_messages::TopologyAnnouncement;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Time after which a node that is neither listed nor heard is forgotten.
const SILENT_PEER_LIFETIME: Duration = Duration::from_secs(40);

/// Silence after which a placer no longer counts as alive; it speaks at least three times in between.
const PLACER_SILENCE: Duration = Duration::from_millis(1_800);

/// The same towards a node that far placers tell seldom: one that is asked and gives no answer is passed over meanwhile.
const FAR_PLACER_SILENCE: Duration = Duration::from_secs(9);

/// Silence after which a node no longer counts as alive.
const HEARD_LATELY: Duration = Duration::from_millis(3_500);

/// What a node announced of its topology.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AnnouncedTopology {
    start: u64,
    digest: u64,
    zone: ZoneId,
}

/// What is known of one other node.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// When it was last heard; when it was first listed where it never was.
    known_at: MonotonicTime,
    /// When the store listed it last.
    listed_at: MonotonicTime,
    /// Start and number of the last message heard.
    last_message: Option<(u64, u64)>,
    /// Whether the store answered it when it spoke last.
    store_answers: bool,
    /// Whether it held the lease when it spoke last.
    holds_lease: bool,
    /// Whether it held itself for a placer when it spoke last.
    places: bool,
    /// Whether far placers may tell it seldom.
    accepts_sparse_reports: bool,
    /// What it said of rate limits.
    limits: LimitSpeaker,
    /// Thousandths of a processor core that it may use.
    processor_thousandths: u32,
    /// Nodes that it knew itself when it spoke last: one that started early may have read a short list.
    told_nodes: u32,
    /// Version of the operators' cordons that it has.
    cordons: u64,
    /// Its zone; absent until the list or the node itself has named it.
    zone: Option<ZoneId>,
    /// What it announced of its topology.
    topology: Option<AnnouncedTopology>,
    /// What it told of the budgets for repeats.
    sharing: KnownPeer,
    handle: SubjectHandle,
}

impl Peer {
    fn new(node: &NodeId, address: SocketAddr, now: MonotonicTime) -> Self {
        Self {
            address,
            known_at: now,
            listed_at: now,
            last_message: None,
            store_answers: false,
            holds_lease: false,
            places: false,
            accepts_sparse_reports: false,
            limits: LimitSpeaker::default(),
            processor_thousandths: 0,
            told_nodes: 0,
            cordons: 0,
            zone: None,
            topology: None,
            sharing: KnownPeer::listed(now),
            handle: SubjectHandle::of_text("node", node.as_str()),
        }
    }

    fn heard_lately(&self, now: MonotonicTime) -> bool {
        self.last_message.is_some() && now.since(self.known_at) < HEARD_LATELY
    }

    /// Whether it has spoken lately, or has only just become known.
    fn is_alive(&self, now: MonotonicTime) -> bool {
        now.since(self.known_at) < HEARD_LATELY
    }

    fn spoke_just_now(&self, now: MonotonicTime) -> bool {
        self.last_message.is_some() && now.since(self.known_at) < PLACER_SILENCE
    }

    /// Whether it may be a placer: one that says so, or, where all nodes are known, one that has had no time yet to say
    /// anything.
    fn may_place(&self, all_known: bool, silence: Duration, now: MonotonicTime) -> bool {
        let is_fresh = now.since(self.known_at) < silence;
        is_fresh && (self.places || (all_known && self.last_message.is_none()))
    }

    /// Whether it said a short time ago that it places.
    fn places_now(&self, now: MonotonicTime) -> bool {
        self.places && self.spoke_just_now(now)
    }

    /// What speaks for and against it as one that may place.
    fn presence(&self, now: MonotonicTime) -> CandidateStatus {
        if self.places_now(now) {
            CandidateStatus::Active
        } else if self.places {
            CandidateStatus::Unresponsive
        } else {
            CandidateStatus::Listed
        }
    }

    /// Its region; absent where the zone is not known or the settings do not name it.
    fn region<'t>(&self, topology: &'t Topology) -> Option<&'t RegionId> {
        topology.region_of(self.zone.as_ref()?)
    }

    /// The region in which it owns request slots; absent unless its present start has announced the topology of this node, since
    /// it may choose owners in another way.
    fn owner_region<'t>(&self, topology: &'t Topology) -> Option<&'t RegionId> {
        let announced = self.topology.as_ref()?;
        let start = self.last_message.map(|(start, _)| start);
        let agrees = start == Some(announced.start) && announced.digest == topology.digest();
        topology.region_of(&announced.zone).filter(|_| agrees)
    }

    /// Whether it lies in this node's region; a node whose region is not known does.
    fn is_near(&self, topology: &Topology) -> bool {
        match (self.region(topology), topology.own_region()) {
            (Some(region), Some(own)) => region == own,
            _ => true,
        }
    }

    /// Takes its zone; whether that was not known.
    fn set_zone(&mut self, node: &NodeId, zone: ZoneId) -> bool {
        if self.zone.as_ref() == Some(&zone) {
            return false;
        }
        log::info!(peer = node.as_str(), zone = zone.as_str(); "peer_zone_learned");
        self.zone = Some(zone);
        true
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            node: self.handle,
            processor_thousandths: self.processor_thousandths,
        }
    }
}

/// The other nodes.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: Arc<UdpSocket>,
    own: Candidate,
    own_name: NodeId,
    own_zone: ZoneId,
    placing: PlacingSettings,
    topology: Mutex<Arc<Topology>>,
    /// Whether the deployment is or was regional in the lifetime of the process: others must hear that it is not any more.
    was_regional: AtomicBool,
    /// Length of the window of budgets for repeats.
    budget_window: Duration,
    known: Mutex<Known>,
    /// Who places, as of the last look; locked before `known`.
    looked: Mutex<Option<(MonotonicTime, Placing)>>,
    pending: Mutex<Pending>,
    change: Condvar,
    behind: Mutex<Option<Behind>>,
    fell_behind: Condvar,
}

/// What there is to tell.
#[derive(Debug, Default)]
struct Pending {
    changed: bool,
    /// Whether others must hear of it before they choose engines.
    urgent: bool,
    /// Whether an idle node tells it as well.
    confirmed: bool,
}

/// A peer that knows something newer.
#[derive(Clone, Copy, Debug)]
struct Behind {
    peer: SocketAddr,
    config_version: u64,
    list_version: u64,
    cordons: u64,
}

#[derive(Debug, Default)]
struct Known {
    peers: BTreeMap<NodeId, Peer>,
    listed: bool,
    /// Whether the whole list was read: a node that comes far behind in the line of placers reads a part of it.
    is_complete: bool,
    /// Whether this node is one of those that come first for a place.
    in_line: bool,
    /// Since when fewer nodes place than should.
    vacant_since: Option<MonotonicTime>,
    /// Region for which this node places requests; absent if it does not, or the deployment is not regional.
    region_placed_for: Option<RegionId>,
    /// Since when this node has heard everybody; absent while others do.
    hears_all_since: Option<MonotonicTime>,
}

impl Known {
    /// Nodes in all, this one included: what others have told counts as long as they are known, so that the number
    /// falls again after nodes are gone for good.
    fn nodes(&self) -> u32 {
        let told = self.peers.values().map(|peer| peer.told_nodes).max();
        self.nodes_known_itself().max(told.unwrap_or(0))
    }

    /// Nodes that this one has listed or heard, itself included.
    fn nodes_known_itself(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Silence after which a placer no longer counts as alive here.
    fn placer_silence(&self) -> Duration {
        if self.in_line {
            PLACER_SILENCE
        } else {
            FAR_PLACER_SILENCE
        }
    }

    /// Whether it is known how many nodes there are: from the list, or from one that has read more of it.
    fn knows_number(&self) -> bool {
        self.listed && (self.is_complete || self.nodes() > self.nodes_known_itself())
    }
}

impl Peers {
    pub(crate) fn new(config: &NodeConfig, socket: Arc<UdpSocket>) -> Self {
        let topology = Topology::new(&config.zone, &config.topology);
        Self {
            socket,
            was_regional: AtomicBool::new(topology.is_regional()),
            own: Candidate {
                node: SubjectHandle::of_text("node", config.node.as_str()),
                processor_thousandths: config.processor_thousandths(),
            },
            own_name: config.node.clone(),
            own_zone: config.zone.clone(),
            placing: config.placing,
            topology: Mutex::new(Arc::new(topology)),
            budget_window: config.retry_budget().window,
            known: Mutex::default(),
            looked: Mutex::default(),
            pending: Mutex::default(),
            change: Condvar::new(),
            behind: Mutex::default(),
            fell_behind: Condvar::new(),
        }
    }

    /// Zones and regions as the settings name them now.
    pub(crate) fn topology(&self) -> Arc<Topology> {
        Arc::clone(&lock(&self.topology))
    }

    /// Takes other zones and regions.
    pub(crate) fn set_topology(&self, topology: Topology) {
        self.was_regional
            .fetch_or(topology.is_regional(), Ordering::Relaxed);
        *lock(&self.topology) = Arc::new(topology);
        *lock(&self.looked) = None;
    }

    /// Whether this node announces its topology.
    fn announces_topology(&self) -> bool {
        self.was_regional.load(Ordering::Relaxed)
    }

    /// Region of a node; absent where it is not known.
    pub(crate) fn region_of(&self, node: SubjectHandle) -> Option<RegionId> {
        let topology = self.topology();
        if !topology.is_regional() {
            return None;
        }
        let known = lock(&self.known);
        let peer = known.peers.values().find(|peer| peer.handle == node)?;
        peer.region(&topology).cloned()
    }

    /// The other nodes that sent a message a short time ago, as possible relays, with their distance.
    pub(crate) fn relay_peers(&self, now: MonotonicTime) -> Vec<RelayPeer> {
        let topology = self.topology();
        let known = lock(&self.known);
        let recent = known.peers.values().filter(|peer| peer.heard_lately(now));
        let distance = |peer: &Peer| match &peer.zone {
            Some(zone) if *zone == self.own_zone => 0,
            _ if peer.is_near(&topology) => 1,
            _ => 2,
        };
        recent
            .map(|peer| RelayPeer {
                node: peer.handle,
                distance: distance(peer),
            })
            .collect()
    }

    /// Name of a node; empty where it is not known any more.
    pub(crate) fn name_of(&self, node: SubjectHandle) -> NodeId {
        let known = lock(&self.known);
        let found = known.peers.iter().find(|(_, peer)| peer.handle == node);
        found.map_or_else(|| NodeId::new(""), |(name, _)| name.clone())
    }

    /// Notes the zone that a node has named.
    pub(crate) fn note_zone(&self, node: &NodeId, zone: ZoneId) {
        self.note_peer(node, |peer| peer.set_zone(node, zone));
    }

    /// Notes the topology that a node has announced.
    pub(crate) fn note_topology(&self, announced: TopologyAnnouncement) {
        let TopologyAnnouncement {
            node,
            start,
            zone,
            digest,
        } = announced;
        self.note_peer(&node, |peer| {
            peer.topology = Some(AnnouncedTopology {
                start,
                digest,
                zone: zone.clone(),
            });
            peer.set_zone(&node, zone)
        });
    }

    /// Notes something of a known node. Who places is looked at again if `note` says that its zone has changed.
    fn note_peer(&self, node: &NodeId, note: impl FnOnce(&mut Peer) -> bool) {
        let has_changed = lock(&self.known).peers.get_mut(node).is_some_and(note);
        if has_changed {
            *lock(&self.looked) = None;
        }
    }

    /// Nodes in all, this one included; absent until the list was read.
    pub(crate) fn nodes(&self) -> Option<u32> {
        let known = lock(&self.known);
        known.knows_number().then(|| known.nodes())
    }

    /// Nodes that this one has listed or heard, itself included.
    pub(crate) fn nodes_known_itself(&self) -> u32 {
        lock(&self.known).nodes_known_itself()
    }

    /// Names of the other nodes that said something a short time ago.
    pub(crate) fn heard_lately(&self, now: MonotonicTime) -> Vec<NodeId> {
        let known = lock(&self.known);
        let heard = known.peers.iter().filter(|(_, peer)| peer.heard_lately(now));
        heard.map(|(node, _)| node.clone()).collect()
    }

    /// The versions of the operators' cordons that other nodes told a short time ago.
    pub(crate) fn told_cordons(&self, now: MonotonicTime) -> Vec<u64> {
        let known = lock(&self.known);
        let heard = known.peers.values().filter(|peer| peer.heard_lately(now));
        heard.map(|peer| peer.cordons).collect()
    }

    /// The other nodes on duty that said a short time ago that the store answers them.
    pub(crate) fn in_contact_with_store(&self, now: MonotonicTime) -> Vec<SubjectHandle> {
        let placing = self.placing(now);
        let known = lock(&self.known);
        let heard = known.peers.values().filter(|peer| peer.heard_lately(now));
        let heard = heard.filter(|peer| placing.shares_duty(peer.handle));
        heard
            .filter(|peer| peer.store_answers)
            .map(|peer| peer.handle)
            .collect()
    }

    /// Notes that this node has handed new work to an engine, which others would otherwise choose as well.
    pub(crate) fn note_new_work(&self) {
        self.note_urgent();
    }

    /// Notes that this node's work or beliefs have changed.
    pub(crate) fn note_change(&self) {
        lock(&self.pending).changed = true;
        self.change.notify_one();
    }

    /// Notes that this node has granted more repeats than it told, which others must know if it is killed.
    pub(crate) fn note_granted(&self) {
        let mut pending = lock(&self.pending);
        pending.changed = true;
        pending.urgent = true;
        pending.confirmed = true;
        self.change.notify_one();
    }

    /// Notes that this node has learned something that others must know before they hand out the next request.
    pub(crate) fn note_urgent(&self) {
        let mut pending = lock(&self.pending);
        pending.changed = true;
        pending.urgent = true;
        self.change.notify_one();
    }

    /// Notes that the store has confirmed what this node knows, which is told even by an idle node.
    pub(crate) fn note_confirmed(&self) {
        let mut pending = lock(&self.pending);
        pending.changed = true;
        pending.confirmed = true;
        self.change.notify_one();
    }

    /// Addresses of every other node.
    pub(crate) fn addresses(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let mut known = lock(&self.known);
        known
            .peers
            .retain(|_, peer| now.since(peer.known_at.max(peer.listed_at)) < SILENT_PEER_LIFETIME);
        known.peers.values().map(|peer| peer.address).collect()
    }

    /// Sends a datagram; one that can't leave is as good as lost on the way.
    pub(crate) fn send(&self, bytes: &[u8], to: SocketAddr) {
        let _ = self.socket.send_to(bytes, to);
    }
}
