//! A virtual network of membership state machines, with every failure caused from outside.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::engine::{EngineStatus, LoadReport, Role};
use shelfjunction_core::identity::{EngineId, FencingToken, Generation, NodeId, RegionId, ZoneId};
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use shelfjunction_core::membership::budget::HEADER_BYTES;
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::membership::events::{GossipEvent, Outgoing, OwnNode};
use shelfjunction_core::membership::gossiper::{BURST_SECONDS, Gossiper};
use shelfjunction_core::membership::observation::Observation;
use shelfjunction_core::membership::record::{Liveness, RecordKey, RecordVersion};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::membership::view::liveness;
use shelfjunction_core::membership::wire::Head;
use shelfjunction_core::time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// Nodes of each zone; the first two zones share a region.
pub const ZONE_SIZES: [usize; 3] = [5, 3, 2];
/// Engines of each zone.
pub const ENGINES_PER_ZONE: usize = 2;
/// Length of one step of the world.
pub const STEP_MILLIS: u64 = 50;
/// Time within which all agree after everything healed.
pub const AGREEMENT_MILLIS: u64 = 60_000;

/// What the world does to datagrams.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Datagrams in a hundred that are lost.
    pub loss_percent: u32,
    /// Datagrams in a hundred that arrive twice, the second time late.
    pub duplicate_percent: u32,
    /// Most delay in milliseconds; different delays reorder.
    pub delay_millis: u64,
    /// Pairs of zones that hear nothing from one another.
    pub cut_zones: BTreeSet<(usize, usize)>,
    /// Pairs of nodes that hear nothing from one another.
    pub cut_nodes: BTreeSet<(usize, usize)>,
}

pub struct SimulatedNode {
    pub zone: usize,
    pub gossiper: Option<Gossiper>,
    pub paused: bool,
    incarnation: u64,
    next_tick: u64,
    next_polls: BTreeMap<EngineId, u64>,
    next_list: u64,
    sent: u64,
    sent_excess: f64,
    highest: BTreeMap<SubjectHandle, (RecordVersion, Option<Liveness>)>,
}

pub struct SimulatedEngine {
    pub zone: usize,
    pub alive: bool,
    pub leaving: bool,
    incarnation: u64,
    address: SocketAddr,
}

/// Datagrams on their way, by arrival.
type Flight = (u64, u64, usize, usize, Vec<u8>);

pub struct World {
    pub nodes: Vec<SimulatedNode>,
    pub engines: Vec<SimulatedEngine>,
    pub faults: Faults,
    pub config: MembershipConfig,
    pub now: u64,
    /// Who suspected which subject, by the version that said so; two may write one version at once.
    pub accusations: BTreeMap<(SubjectHandle, RecordVersion), BTreeSet<SubjectHandle>>,
    flights: BinaryHeap<Reverse<Flight>>,
    flight_number: u64,
    random: ChaCha8Rng,
}

pub fn zone_name(zone: usize) -> ZoneId {
    ZoneId::new(format!("zone-{zone}"))
}

fn region_name(zone: usize) -> RegionId {
    RegionId::new(if zone < 2 { "north" } else { "south" })
}

fn node_address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 7_000))
}

fn engine_address(engine: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, u8::try_from(engine).unwrap()], 8_000))
}

pub fn node_key(node: usize) -> RecordKey {
    RecordKey::Node(NodeId::new(format!("node-{node}")))
}

pub fn engine_id(engine: usize) -> EngineId {
    EngineId::new(format!("engine-{engine}"))
}

fn node_service(node: usize) -> MachineService {
    MachineService::Node {
        gateway: node_address(node),
        controller: node_address(node),
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        Self::with_config(seed, MembershipConfig::default())
    }

    pub fn with_config(seed: u64, config: MembershipConfig) -> Self {
        let mut world = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            faults: Faults::default(),
            config,
            now: 1_000,
            accusations: BTreeMap::new(),
            flights: BinaryHeap::new(),
            flight_number: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for (zone, size) in ZONE_SIZES.into_iter().enumerate() {
            for _ in 0..size {
                world.nodes.push(SimulatedNode::new(zone));
            }
            for _ in 0..ENGINES_PER_ZONE {
                let address = engine_address(world.engines.len());
                let engine = SimulatedEngine {
                    zone,
                    alive: true,
                    leaving: false,
                    incarnation: 1,
                    address,
                };
                world.engines.push(engine);
            }
        }
        for node in 0..world.nodes.len() {
            world.start_node(node);
        }
        world
    }

    fn instant(&self) -> MonotonicTime {
        MonotonicTime::from_millis(self.now)
    }

    pub fn start_node(&mut self, node: usize) {
        let now = self.instant();
        let simulated = &mut self.nodes[node];
        simulated.incarnation += 1;
        let identity = OwnNode {
            node: NodeId::new(format!("node-{node}")),
            zone: zone_name(simulated.zone),
            region: region_name(simulated.zone),
            service: node_service(node),
            incarnation: simulated.incarnation,
        };
        let seeds = vec![node_address(0), node_address(5), node_address(8)];
        simulated.gossiper = Some(Gossiper::new(self.config.clone(), identity, seeds, now));
        simulated.paused = false;
        simulated.next_tick = self.now + u64::try_from(node).unwrap() * 17 % self.config.tick_millis;
        simulated.next_polls.clear();
        simulated.highest.clear();
        simulated.sent_excess = 0.0;
    }

    pub fn kill_node(&mut self, node: usize) {
        self.nodes[node].gossiper = None;
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].alive = true;
        self.engines[engine].incarnation += 1;
    }

    pub fn living_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|node| self.nodes[*node].gossiper.is_some())
            .collect()
    }

    /// Ends every fault of the network and every pause; who is dead stays dead.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        for node in &mut self.nodes {
            node.paused = false;
        }
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MILLIS;
            self.deliver();
            for node in 0..self.nodes.len() {
                self.run_node(node);
            }
        }
    }

    fn deliver(&mut self) {
        while self
            .flights
            .peek()
            .is_some_and(|Reverse(flight)| flight.0 <= self.now)
        {
            let Some(Reverse((_, _, from, to, bytes))) = self.flights.pop() else {
                return;
            };
            let now = self.instant();
            let target = &mut self.nodes[to];
            if target.paused {
                // The kernel keeps it until the process goes on.
                self.flight_number += 1;
                self.flights.push(Reverse((
                    self.now + STEP_MILLIS,
                    self.flight_number,
                    from,
                    to,
                    bytes,
                )));
                continue;
            }
            let Some(gossiper) = &mut target.gossiper else {
                continue;
            };
            let outgoing = gossiper
                .datagram(node_address(from), &bytes, now, &mut self.random)
                .unwrap();
            self.act(to, outgoing);
        }
    }

    fn run_node(&mut self, node: usize) {
        let now = self.instant();
        if self.nodes[node].paused
            || self.nodes[node].gossiper.is_none()
            || self.now < self.nodes[node].next_tick
        {
            return;
        }
        self.nodes[node].next_tick = self.now + self.config.tick_millis;
        self.poll_engines(node);
        self.check_versions(node);
        self.read_list(node);
        self.check_versions(node);
        let Some(gossiper) = &mut self.nodes[node].gossiper else {
            return;
        };
        let outgoing = gossiper.tick(now, &mut self.random);
        self.act(node, outgoing);
    }

    fn poll_engines(&mut self, node: usize) {
        let now = self.instant();
        let simulated = &mut self.nodes[node];
        let Some(gossiper) = &mut simulated.gossiper else {
            return;
        };
        for watched in gossiper.watched_engines(now) {
            let next = simulated.next_polls.entry(watched.engine.clone()).or_default();
            if self.now < *next {
                continue;
            }
            *next = self.now + u64::try_from(watched.interval.as_millis()).unwrap();
            let engine = self
                .engines
                .iter()
                .position(|engine| engine.address == watched.address)
                .unwrap();
            let state = &self.engines[engine];
            let observation = if state.alive {
                Observation::Answered(status(engine, state.incarnation, self.now))
            } else {
                Observation::Missed
            };
            gossiper.observe_engine(&watched.engine, observation, now);
        }
    }

    fn read_list(&mut self, node: usize) {
        let now = self.instant();
        let machines = self.machines();
        let simulated = &mut self.nodes[node];
        let Some(gossiper) = &mut simulated.gossiper else {
            return;
        };
        if self.now >= simulated.next_list && gossiper.is_zone_poller() {
            simulated.next_list = self.now + 2_000;
            gossiper.join_machines(&machines, now);
        }
    }

    fn machines(&self) -> Vec<Machine> {
        let nodes = self.nodes.iter().enumerate().map(|(node, simulated)| Machine {
            name: format!("node-{node}"),
            zone: zone_name(simulated.zone),
            region: region_name(simulated.zone),
            service: node_service(node),
            state: MachineState::Live,
        });
        let engines = self.engines.iter().enumerate().map(|(number, engine)| Machine {
            name: engine_id(number).to_string(),
            zone: zone_name(engine.zone),
            region: region_name(engine.zone),
            service: MachineService::ModelEngine {
                address: engine.address,
            },
            state: if engine.leaving {
                MachineState::Leaving
            } else {
                MachineState::Live
            },
        });
        nodes.chain(engines).collect()
    }

    /// Carries out what a node decided, and checks it against what must always hold.
    fn act(&mut self, node: usize, outgoing: Vec<Outgoing>) {
        self.adopt_heads(node);
        self.check_versions(node);
        for datagram in outgoing {
            self.check_budget(node, datagram.bytes.len());
            let to = (0..self.nodes.len())
                .find(|other| node_address(*other) == datagram.to)
                .unwrap();
            self.send(node, to, datagram.bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let zones = ordered(self.nodes[from].zone, self.nodes[to].zone);
        let cut =
            self.faults.cut_zones.contains(&zones) || self.faults.cut_nodes.contains(&ordered(from, to));
        if cut || self.random.random_range(0..100) < self.faults.loss_percent {
            return;
        }
        let copies = if self.random.random_range(0..100) < self.faults.duplicate_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = 1 + self.random.random_range(0..=self.faults.delay_millis);
            self.flight_number += 1;
            self.flights.push(Reverse((
                self.now + delay,
                self.flight_number,
                from,
                to,
                bytes.clone(),
            )));
        }
    }

    fn adopt_heads(&mut self, node: usize) {
        let Some(gossiper) = &mut self.nodes[node].gossiper else {
            return;
        };
        let events = gossiper.take_events();
        for event in &events {
            if let GossipEvent::HeadHeard { head, .. } = event {
                let before = gossiper.generation();
                gossiper.set_head(*head);
                assert!(gossiper.generation() >= before, "the generation went back");
            }
        }
        for event in events {
            if let GossipEvent::FactsDiffer { from } = event {
                self.fetch_in_bulk(node, from);
            }
        }
    }

    /// A transfer over TCP: whole, unless the link is cut or the peer is down or stands still.
    fn fetch_in_bulk(&mut self, node: usize, from: SocketAddr) {
        let now = self.instant();
        let peer = (0..self.nodes.len())
            .find(|other| node_address(*other) == from)
            .unwrap();
        let zones = ordered(self.nodes[node].zone, self.nodes[peer].zone);
        let cut =
            self.faults.cut_zones.contains(&zones) || self.faults.cut_nodes.contains(&ordered(node, peer));
        if cut || self.nodes[peer].paused {
            return;
        }
        let Some(facts) = self.nodes[peer].gossiper.as_ref().map(|peer| peer.bulk(now)) else {
            return;
        };
        if let Some(gossiper) = &mut self.nodes[node].gossiper {
            gossiper.merge_bulk(facts, now);
        }
    }

    fn check_versions(&mut self, node: usize) {
        let simulated = &mut self.nodes[node];
        let Some(gossiper) = &simulated.gossiper else {
            return;
        };
        for (handle, fact) in gossiper.store().facts() {
            let version = fact.record.version;
            let state = liveness(&fact.record);
            let (highest, before) = simulated
                .highest
                .insert(handle, (version, Some(state)))
                .unwrap_or_default();
            assert!(
                version >= highest,
                "the version of {:?} went back",
                fact.record.key
            );
            if state == Liveness::Suspect {
                self.accusations
                    .entry((handle, version))
                    .or_default()
                    .insert(fact.observer);
            }
            let dies = state == Liveness::Dead && before != Some(Liveness::Dead);
            if dies && fact.observer == gossiper.own_handle() {
                let suspicion = RecordVersion {
                    sequence: version.sequence - 1,
                    ..version
                };
                let accusers = self.accusations.get(&(handle, suspicion));
                let other = accusers.is_some_and(|accusers| accusers.iter().any(|one| *one != fact.observer));
                assert!(other, "{:?} died by one witness", fact.record.key);
            }
        }
    }

    /// A second token bucket, filled by the world's clock.
    fn check_budget(&mut self, node: usize, bytes: usize) {
        let short = self.config.beat_bytes_per_second + self.config.probe_bytes_per_second;
        let rate = self.config.spread_bytes_per_second + short;
        let burst = self.config.spread_burst_bytes + short * BURST_SECONDS;
        let simulated = &mut self.nodes[node];
        let elapsed = (self.now - simulated.sent) as f64 / 1_000.0;
        simulated.sent = self.now;
        simulated.sent_excess = (simulated.sent_excess - elapsed * rate as f64).max(0.0);
        simulated.sent_excess += (bytes as u64 + HEADER_BYTES) as f64;
        assert!(
            simulated.sent_excess <= burst as f64 + 1.0,
            "node {node} is over its budget"
        );
    }

    pub fn set_head(&mut self, node: usize, generation: u64) {
        if let Some(gossiper) = &mut self.nodes[node].gossiper {
            gossiper.set_head(Head {
                generation: Generation(generation),
                manifest: [7; 32],
            });
        }
    }

    /// What a node believes of a subject's life.
    pub fn belief(&self, node: usize, key: &RecordKey) -> Option<Liveness> {
        let store = self.nodes[node].gossiper.as_ref()?.store();
        store
            .held(SubjectHandle::of(key))
            .map(|fact| liveness(&fact.record))
    }
}

impl SimulatedNode {
    fn new(zone: usize) -> Self {
        Self {
            zone,
            gossiper: None,
            paused: false,
            incarnation: 0,
            next_tick: 0,
            next_polls: BTreeMap::new(),
            next_list: 0,
            sent: 0,
            sent_excess: 0.0,
            highest: BTreeMap::new(),
        }
    }
}

pub fn ordered(left: usize, right: usize) -> (usize, usize) {
    (left.min(right), left.max(right))
}

fn status(engine: usize, incarnation: u64, now: u64) -> EngineStatus {
    let load = LoadReport {
        queued_prefill_tokens: now % 10_000,
        cache_tokens_capacity: 1_000_000,
        ..LoadReport::default()
    };
    EngineStatus {
        engine: engine_id(engine),
        incarnation,
        fence: FencingToken(1),
        last_order: None,
        role: Role::Mixed,
        draining: false,
        changing: false,
        weights: Vec::new(),
        load,
    }
}

/// Longest silence of a healthy world.
pub const SETTLE: Duration = Duration::from_secs(20);
