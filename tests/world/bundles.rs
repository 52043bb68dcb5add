//! Bundles in virtual time: the real keepers of several nodes, racing operators, and a platform that fails.

mod contents;

use super::bundle_forge::{forged, signed_proposal};
use super::network::{Fate, Network, Place, Weather};
use super::planted::PlantedFault;
use super::rollout::{Rollout, RolloutEnd};
use super::schedule::Schedule;
use super::store::{self, StoreTrouble};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::bundle::acceptance::{self, CurrentRow};
use shelfjunction_core::bundle::{BundleKeeper, Digest, Head, HeadSource, KeeperEvent};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::platform::state::{PlatformAnswer, PlatformCall, PlatformState};
use std::time::Duration;

/// Time between two reads of the current row by a zone's poller.
const POLL: Duration = Duration::from_millis(1_000);
/// Time between two questions of a node to one node of each zone.
const ASK: Duration = Duration::from_millis(500);
/// Answers that take longer than this have been given up by whoever asked.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// Time until a killed node starts again.
const RESTART: Duration = Duration::from_millis(800);
/// Nodes of each zone.
pub const NODES_PER_ZONE: usize = 2;
/// Zones.
pub const ZONES: usize = 2;

/// One node's process.
#[derive(Debug)]
pub struct BundleNode {
    /// Index of its zone.
    pub zone: usize,
    /// Whether it runs.
    pub up: bool,
    /// Number of its start.
    pub start: u64,
    /// The code under test.
    pub keeper: BundleKeeper,
}

/// A bundle that came into force somewhere.
#[derive(Clone, Copy, Debug)]
pub struct InForce {
    /// Index of the node.
    pub node: usize,
    /// The node's start.
    pub start: u64,
    /// What came into force.
    pub head: Head,
}

/// One question of a node to another, and the answer.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    node: usize,
    start: u64,
    peer: usize,
    asked_at: MonotonicTime,
    /// What the sender of the message holds.
    head: Option<Head>,
    /// Whether the asker announces its head.
    announces: bool,
    /// How long ago the sender of the message had its own confirmation.
    confirmed_ago: Duration,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    Poll {
        node: usize,
        start: u64,
    },
    Ask {
        node: usize,
        start: u64,
    },
    CurrentRead {
        node: usize,
        start: u64,
        asked_at: MonotonicTime,
        head: Option<Head>,
    },
    PeerAsked(Exchange),
    PeerSays(Exchange),
    ContentsAsked {
        node: usize,
        start: u64,
        peer: Option<usize>,
        wanted: Vec<Digest>,
    },
    Contents {
        node: usize,
        start: u64,
        contents: Vec<Vec<u8>>,
    },
    Rollout {
        rollout: usize,
    },
    NodeStarts(usize),
}

/// Nodes, operators and the platform.
#[derive(Debug)]
pub struct BundleFleet {
    pub(super) now: MonotonicTime,
    pub(super) schedule: Schedule<Event>,
    pub(super) network: Network,
    pub(super) platform: PlatformState,
    pub(super) planted: Option<PlantedFault>,
    /// Nodes, zone by zone.
    pub nodes: Vec<BundleNode>,
    /// What came into force, in order.
    pub in_force: Vec<InForce>,
    /// What the platform accepted, in order.
    pub accepted: Vec<CurrentRow>,
    /// What operators tried, in order.
    pub rollouts: Vec<Rollout>,
    random: ChaCha8Rng,
    starts: u64,
    records_read: u64,
}

impl BundleFleet {
    /// Nodes that have just started; the platform holds no bundle.
    pub fn new(seed: u64, planted: Option<PlantedFault>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let network = Network::new(ChaCha8Rng::seed_from_u64(random.random()));
        let mut fleet = Self {
            now: MonotonicTime::from_millis(100_000),
            schedule: Schedule::default(),
            network,
            platform: store::new_platform(),
            planted,
            nodes: Vec::new(),
            in_force: Vec::new(),
            accepted: Vec::new(),
            rollouts: Vec::new(),
            random,
            starts: 0,
            records_read: 0,
        };
        for zone in 0..ZONES {
            for _ in 0..NODES_PER_ZONE {
                let node = fleet.new_node(zone);
                fleet.nodes.push(node);
            }
        }
        for node in 0..fleet.nodes.len() {
            fleet.begin(node);
        }
        fleet
    }

    /// The present instant of virtual time.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, event)) = self.schedule.next_until(end) {
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    /// Kills a node; another start follows, with nothing but the root keys.
    pub fn kill(&mut self, node: usize) {
        if std::mem::take(&mut self.nodes[node].up) {
            self.schedule.add(self.now + RESTART, Event::NodeStarts(node));
        }
    }

    /// An operator rolls out a bundle through a node's zone.
    pub fn roll_out(&mut self, zone: usize) {
        let number = self.rollouts.len();
        self.rollouts.push(Rollout::new(number, zone, self.planted));
        self.schedule.add(self.now, Event::Rollout { rollout: number });
    }

    /// Somebody shows a node a head that nobody accepted.
    pub fn offer_forged(&mut self, node: usize) {
        if self.network.is_cut(Place::Zone(0), Place::Zone(1)) {
            return;
        }
        let generation = self.nodes[node].keeper.generation().0 + 1;
        let (head, contents) = forged(generation);
        let source = self.source(1 - self.nodes[node].zone, Duration::ZERO);
        self.take_head(node, Some(head), &source, None);
        let events = self.nodes[node].keeper.on_contents(contents);
        self.note(node, events);
    }

    /// A peer that has been asleep shows a node an older bundle.
    pub fn offer_old(&mut self, node: usize, behind: usize) {
        if self.network.is_cut(Place::Zone(0), Place::Zone(1)) {
            return;
        }
        let Some(row) = self.accepted.iter().rev().nth(behind) else {
            return;
        };
        let head = row.head();
        let source = self.source(1 - self.nodes[node].zone, Duration::ZERO);
        if self.planted == Some(PlantedFault::AcceptLowerGeneration) && self.nodes[node].up {
            let zone = self.nodes[node].zone;
            self.nodes[node].keeper = BundleKeeper::new(super::bundle_forge::roots(false), zone_id(zone));
        }
        self.take_head(node, Some(head), &source, None);
    }

    /// Changes how messages fare.
    pub fn set_weather(&mut self, weather: Weather) {
        self.network.set_weather(weather);
    }

    /// Sets what is wrong with the platform.
    pub fn set_trouble(&mut self, trouble: StoreTrouble) {
        store::set_trouble(&mut self.platform, trouble);
    }

    /// Cuts two places off from one another.
    pub fn cut(&mut self, left: Place, right: Place) {
        self.network.cut(left, right);
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.network.mend();
    }

    /// Whether a zone can reach neither the platform nor another zone.
    pub fn is_cut_off(&self, zone: usize) -> bool {
        let others = (0..ZONES).filter(|other| *other != zone).map(Place::Zone);
        std::iter::once(Place::Platform)
            .chain(others)
            .all(|place| self.network.is_cut(Place::Zone(zone), place))
    }

    fn new_node(&mut self, zone: usize) -> BundleNode {
        self.starts += 1;
        let trusting = self.planted == Some(PlantedFault::AcceptUnsignedBundle);
        BundleNode {
            zone,
            up: true,
            start: self.starts,
            keeper: BundleKeeper::new(super::bundle_forge::roots(trusting), zone_id(zone)),
        }
    }

    fn begin(&mut self, node: usize) {
        let start = self.nodes[node].start;
        let soon = self.now + self.network.step();
        self.schedule.add(soon, Event::Poll { node, start });
        self.schedule.add(soon, Event::Ask { node, start });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Poll { node, start } if self.is_current(node, start) => self.poll(node, start),
            Event::Ask { node, start } if self.is_current(node, start) => self.ask(node, start),
            Event::CurrentRead {
                node,
                start,
                asked_at,
                head,
            } if self.is_current(node, start) => {
                self.take_answer(node, head, &HeadSource::Store, None, asked_at);
            }
            Event::PeerAsked(exchange) if self.nodes[exchange.peer].up => self.peer_asked(&exchange),
            Event::PeerSays(Exchange {
                node,
                start,
                peer,
                asked_at,
                head,
                confirmed_ago,
                ..
            }) if self.is_current(node, start) && self.now.since(asked_at) <= PATIENCE => {
                let source = self.source(self.nodes[peer].zone, confirmed_ago);
                self.take_answer(node, head, &source, Some(peer), asked_at);
            }
            Event::ContentsAsked {
                node,
                start,
                peer,
                wanted,
            } => {
                self.contents_asked(node, start, peer, &wanted);
            }
            Event::Contents {
                node,
                start,
                contents,
            } if self.is_current(node, start)
                // An empty answer is not asked for again at once, but with the next ask.
                && !contents.is_empty() =>
            {
                let events = self.nodes[node].keeper.on_contents(contents);
                self.note(node, events);
            }
            Event::Rollout { rollout } => self.roll(rollout),
            Event::NodeStarts(node) => {
                self.nodes[node] = self.new_node(self.nodes[node].zone);
                self.begin(node);
            }
            _ => {}
        }
    }

    fn is_current(&self, node: usize, start: u64) -> bool {
        self.nodes[node].up && self.nodes[node].start == start
    }

    /// The first node of a zone that runs reads the current row.
    fn poll(&mut self, node: usize, start: u64) {
        self.schedule.add(self.now + POLL, Event::Poll { node, start });
        let zone = self.nodes[node].zone;
        let first = self.nodes.iter().position(|other| other.zone == zone && other.up);
        if first != Some(node) {
            return;
        }
        let row = self.ask_platform(
            zone,
            PlatformCall::ReadRow(RowKey(acceptance::CURRENT_KEY.to_owned())),
        );
        if let Some((Ok(PlatformAnswer::Row(row)), delay)) = row
            && delay <= PATIENCE
        {
            let head = row
                .and_then(|row| acceptance::parse::<CurrentRow>(&row))
                .map(|row| row.head());
            let read = Event::CurrentRead {
                node,
                start,
                asked_at: self.now,
                head,
            };
            self.schedule.add(self.now + delay, read);
        }
    }

    /// Asks one node of each zone, and fetches what is wanted.
    fn ask(&mut self, node: usize, start: u64) {
        self.schedule.add(self.now + ASK, Event::Ask { node, start });
        for zone in 0..ZONES {
            let peer = zone * NODES_PER_ZONE + self.random.random_range(0..NODES_PER_ZONE);
            if peer != node {
                self.tell(node, start, peer, false);
            }
        }
        self.fetch(node, None);
    }

    fn tell(&mut self, node: usize, start: u64, peer: usize, announces: bool) {
        let from = Place::Zone(self.nodes[node].zone);
        let to = Place::Zone(self.nodes[peer].zone);
        if let Fate::Arrives(delay) = self.network.request(from, to) {
            let exchange = Exchange {
                node,
                start,
                peer,
                asked_at: self.now,
                head: self.nodes[node].keeper.head(),
                announces,
                confirmed_ago: self.confirmed_ago(node),
            };
            self.schedule.add(self.now + delay, Event::PeerAsked(exchange));
        }
    }

    fn peer_asked(&mut self, exchange: &Exchange) {
        let Exchange { node, peer, .. } = *exchange;
        if exchange.announces {
            // Nobody knows how long an announcement was on its way, so it confirms nothing.
            let source = self.source(self.nodes[peer].zone, Duration::MAX);
            self.take_head(peer, exchange.head, &source, Some(node));
        }
        let from = Place::Zone(self.nodes[peer].zone);
        let to = Place::Zone(self.nodes[node].zone);
        if let Fate::Arrives(delay) = self.network.answer(from, to) {
            let answer = Exchange {
                head: self.nodes[peer].keeper.head(),
                confirmed_ago: self.confirmed_ago(peer),
                ..exchange.clone()
            };
            self.schedule.add(self.now + delay, Event::PeerSays(answer));
        }
    }

    fn confirmed_ago(&self, node: usize) -> Duration {
        self.nodes[node]
            .keeper
            .confirmed_ago(self.now)
            .unwrap_or(Duration::MAX)
    }

    fn source(&self, zone: usize, confirmed_ago: Duration) -> HeadSource {
        HeadSource::Peer {
            zone: zone_id(zone),
            confirmed_ago,
        }
    }

    /// A node takes in a head and fetches what it lacks from whoever named it.
    pub(super) fn take_head(
        &mut self,
        node: usize,
        head: Option<Head>,
        source: &HeadSource,
        peer: Option<usize>,
    ) {
        self.take_answer(node, head, source, peer, self.now);
    }

    /// A node takes in a head that answers a question; the answer vouches for the instant before the question left.
    fn take_answer(
        &mut self,
        node: usize,
        head: Option<Head>,
        source: &HeadSource,
        peer: Option<usize>,
        asked_at: MonotonicTime,
    ) {
        if !self.nodes[node].up {
            return;
        }
        let events = self.nodes[node].keeper.on_head(head, source, asked_at);
        self.note(node, events);
        self.fetch(node, peer);
    }

    /// Notes what came into force, and tells every other node.
    fn note(&mut self, node: usize, events: Vec<KeeperEvent>) {
        for event in events {
            let KeeperEvent::InForce(head) = event else {
                continue;
            };
            let start = self.nodes[node].start;
            self.in_force.push(InForce { node, start, head });
            for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
                self.tell(node, start, peer, true);
            }
        }
        self.fetch(node, None);
    }

    /// Carries a platform call out over the network; absent when no answer comes. The delay is that of both ways.
    pub(super) fn ask_platform(
        &mut self,
        zone: usize,
        call: PlatformCall,
    ) -> Option<(Result<PlatformAnswer, PlatformError>, Duration)> {
        let there = match self.network.request(Place::Zone(zone), Place::Platform) {
            Fate::Arrives(delay) => delay,
            Fate::Refused(delay) => return Some((Err(PlatformError::Unavailable), delay)),
            Fate::Vanishes => return None,
        };
        let handled = self.platform.handle(call, self.now);
        self.read_records();
        match self.network.answer(Place::Platform, Place::Zone(zone)) {
            Fate::Arrives(back) if handled.result != Err(PlatformError::AnswerLost) => {
                Some((handled.result, there + handled.delay + back))
            }
            _ => None,
        }
    }

    fn read_records(&mut self) {
        for record in self.platform.records_after(self.records_read) {
            self.records_read = record.sequence;
            for write in store::committed_writes(record).into_iter().flatten() {
                let value = write.value.as_deref().unwrap_or_default();
                if write.key.0 == acceptance::CURRENT_KEY
                    && let Ok(row) = serde_json::from_str(value)
                {
                    self.accepted.push(row);
                }
            }
        }
    }

    /// Goes one step on with a rollout.
    fn roll(&mut self, number: usize) {
        let Some(call) = self.rollouts[number].next_call(self.now) else {
            return;
        };
        let zone = self.rollouts[number].zone;
        let answer = self.ask_platform(zone, call);
        let (answer, delay) = match answer {
            Some((answer, delay)) => (Some(answer), delay),
            None => (None, Duration::from_millis(800)),
        };
        // The first bundle says who signs the ones after it; none of them changes that.
        let authority = self.accepted.first().map(|row| row.signed);
        self.rollouts[number].take(answer, |rollout, generation| {
            signed_proposal(rollout, generation, authority)
        });
        if let Some(RolloutEnd::Accepted(row)) = self.rollouts[number].end.clone() {
            // The gateway that accepted a bundle pushes it.
            let first = self.nodes.iter().position(|node| node.zone == zone && node.up);
            if let Some(node) = first {
                self.take_head(node, Some(row.head()), &HeadSource::Store, None);
            }
        }
        self.schedule
            .add(self.now + delay, Event::Rollout { rollout: number });
    }
}

/// Identifier of a zone.
pub fn zone_id(zone: usize) -> ZoneId {
    ZoneId(format!("zone-{zone}"))
}
