//! Rate limits in simulated regional fleets of 1 to 300 nodes: owners are chosen in the engine's region, and requests must not
//! exceed the limit in any window of four seconds while links between regions are cut or slow, nodes are lost, and settings differ.

#![allow(clippy::unwrap_used)]

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::regional_owner::{NodeCount, OwnerCandidate, Reach, candidates_for};
use shelfjunction_core::rate_limit::slot_owner::{SlotOwner, limit_share, owner_of};
use shelfjunction_core::rate_limit::{RateLimit, Slot};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

const WINDOW_MILLIS: u64 = 4_000;

/// Time after a failure at which nodes detect it.
const DETECTION_DELAY_MILLIS: std::ops::Range<u64> = 3_300..3_900;

const FAULT_AT_MILLIS: u64 = 15_000;

const DURATION_MILLIS: u64 = 45_000;

const REGIONS: [&str; 3] = ["north", "south", "west"];

/// Region of the engine.
const HOME: usize = 0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// The owner is killed.
    OwnerLost,
    /// All nodes of the engine's region are killed.
    HomeLost,
    /// The engine's region is cut off from the others.
    HomeCut,
    /// Another region is cut off from the engine's.
    OtherCut,
    /// Half of the nodes of each region are cut off from the other half.
    HalfCut,
    /// A message between regions takes 100 ms more.
    SlowLink,
    /// From the fault on this percentage of the nodes has settings by which the engine lies in another region; the others hear of
    /// it within 700 ms.
    SettingsDiffer(u32),
    /// The zone of this percentage of the nodes is not known to any other node.
    ZonesUnknown(u32),
}

struct Node {
    handle: SubjectHandle,
    region: usize,
    owner: SlotOwner,
    detects_fault_at: u64,
    alive: bool,
    /// Whether its settings change at the fault.
    changes_settings: bool,
    has_unknown_zone: bool,
}

struct Fleet {
    nodes: Vec<Node>,
    fault: Fault,
    random: ChaCha8Rng,
    limit: RateLimit,
}

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(100_000 + millis)
}

fn engine() -> SubjectHandle {
    SubjectHandle::of_text("engine", "limited")
}

fn region(index: usize) -> RegionId {
    RegionId::new(REGIONS[index])
}

impl Fleet {
    fn new(nodes: usize, limit: f64, fault: Fault, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..nodes).map(|number| Node {
            handle: SubjectHandle::of_text("node", &format!("node-{number}-{seed}")),
            region: number % REGIONS.len(),
            owner: SlotOwner::default(),
            detects_fault_at: FAULT_AT_MILLIS + random.random_range(DETECTION_DELAY_MILLIS),
            alive: true,
            changes_settings: matches!(fault, Fault::SettingsDiffer(part) if random.random_range(0..100) < part),
            has_unknown_zone: matches!(fault, Fault::ZonesUnknown(part) if random.random_range(0..100) < part),
        });
        Self {
            nodes: nodes.collect(),
            fault,
            limit: RateLimit::new(limit).unwrap(),
            random,
        }
    }

    fn inject_fault(&mut self) {
        match self.fault {
            Fault::OwnerLost if self.nodes.len() > 1 => {
                let owner = self.owner_known_to(0, 0);
                self.nodes[owner].alive = false;
            }
            Fault::HomeLost if self.nodes.len() > 3 => {
                let home = self.nodes.iter_mut().filter(|node| node.region == HOME);
                home.for_each(|node| node.alive = false);
            }
            _ => {}
        }
    }

    fn is_cut(&self, one: usize, other: usize) -> bool {
        let (left, right) = (self.nodes[one].region, self.nodes[other].region);
        match self.fault {
            Fault::HomeCut => (left == HOME) != (right == HOME),
            Fault::OtherCut => left != right && left + right == HOME + 1,
            Fault::HalfCut => (one / REGIONS.len()) % 2 != (other / REGIONS.len()) % 2,
            _ => false,
        }
    }

    fn considers_alive(&self, one: usize, other: usize, millis: u64) -> bool {
        let has_detected = millis >= self.nodes[one].detects_fault_at;
        one == other || !has_detected || (self.nodes[other].alive && !self.is_cut(one, other))
    }

    fn reaches(&self, one: usize, other: usize, millis: u64) -> bool {
        one == other || millis < FAULT_AT_MILLIS || (self.nodes[other].alive && !self.is_cut(one, other))
    }

    /// Whether a node has other settings at a time as another node knows it.
    fn has_changed(&self, node: usize, known_to: usize, millis: u64) -> bool {
        let delay = if node == known_to { 0 } else { 700 };
        self.nodes[node].changes_settings && millis >= FAULT_AT_MILLIS + delay
    }

    /// Region of a node as another one knows it.
    fn region_known_to(&self, one: usize, other: usize, millis: u64) -> Option<RegionId> {
        let agrees = self.has_changed(one, one, millis) == self.has_changed(other, one, millis);
        let is_known = agrees && (one == other || !self.nodes[other].has_unknown_zone);
        is_known.then(|| region(self.nodes[other].region))
    }

    fn engine_region(&self, one: usize, millis: u64) -> RegionId {
        region(if self.has_changed(one, one, millis) {
            HOME + 1
        } else {
            HOME
        })
    }

    fn owner_known_to(&self, one: usize, millis: u64) -> usize {
        let alive = (0..self.nodes.len()).filter(|other| self.considers_alive(one, *other, millis));
        let candidates: Vec<OwnerCandidate> = alive
            .map(|other| OwnerCandidate {
                node: self.nodes[other].handle,
                region: self.region_known_to(one, other, millis),
            })
            .collect();
        let eligible = candidates_for(Some(&self.engine_region(one, millis)), &candidates);
        let owner = owner_of(engine(), &eligible).unwrap();
        self.nodes.iter().position(|node| node.handle == owner).unwrap()
    }

    fn share(&self, owner: usize, millis: u64) -> f64 {
        let engine_region = self.engine_region(owner, millis);
        let mut reach = Reach::default();
        for other in 0..self.nodes.len() {
            let is_reached = self.considers_alive(owner, other, millis);
            let known = self.region_known_to(owner, other, millis);
            reach.add(known.as_ref(), &engine_region, is_reached);
        }
        reach.limit_share()
    }

    fn latency(&mut self, one: usize, other: usize) -> u64 {
        let is_far = self.nodes[one].region != self.nodes[other].region;
        let slow = if self.fault == Fault::SlowLink { 100 } else { 0 };
        self.random.random_range(1..3) + if is_far { 12 + slow } else { 0 }
    }

    /// Handles a request at a node. Returns its arrival time at the engine, or `None` if it gets no slot.
    fn send(&mut self, from: usize, millis: u64) -> Option<u64> {
        let owner = self.owner_known_to(from, millis);
        let asked_at = millis + self.latency(from, owner);
        let is_owner = self.owner_known_to(owner, asked_at) == owner;
        if !self.reaches(from, owner, asked_at) || !is_owner {
            return None;
        }
        let share = self.share(owner, asked_at);
        let own = self.nodes[owner].handle;
        let (limit, max_wait) = (self.limit, Duration::from_millis(300));
        let slot = self.nodes[owner]
            .owner
            .reserve(own, engine(), limit, share, max_wait, at(asked_at));
        match slot {
            Slot::After(wait) => Some(asked_at + wait.as_millis() as u64 + self.latency(owner, from)),
            Slot::NotInTime(_) => None,
        }
    }

    /// Runs the simulation with requests that arrive at random nodes; returns their arrival times at the engine.
    fn run(mut self) -> Vec<u64> {
        let mut arrivals = Vec::new();
        for millis in (0..DURATION_MILLIS).step_by(20) {
            if millis == FAULT_AT_MILLIS {
                self.inject_fault();
            }
            let from = self.random.random_range(0..self.nodes.len());
            if self.nodes[from].alive {
                arrivals.extend(self.send(from, millis));
            }
        }
        arrivals.sort_unstable();
        arrivals
    }
}

fn max_in_window(arrivals: &[u64]) -> usize {
    let until = |end: u64| arrivals.partition_point(|arrival| *arrival < end);
    let counts = arrivals
        .iter()
        .map(|from| until(from + WINDOW_MILLIS) - until(*from));
    counts.max().unwrap_or(0)
}

/// Arrivals per second after nodes have detected the fault.
fn rate_after(arrivals: &[u64]) -> f64 {
    let from = FAULT_AT_MILLIS + 6_000;
    let count = arrivals.iter().filter(|arrival| **arrival >= from).count();
    count as f64 * 1_000.0 / (DURATION_MILLIS - from) as f64
}

fn for_each_fleet(fault: Fault, check: impl Fn(usize, f64, &[u64])) {
    for nodes in [1, 3, 9, 30, 300] {
        for limit in [0.3, 1.7, 20.0] {
            let arrivals = Fleet::new(nodes, limit, fault, nodes as u64).run();
            check(nodes, limit, &arrivals);
        }
    }
}

/// Guards against two owners that both grant the whole limit, whatever separates them.
#[test]
fn no_window_exceeds_the_allowed_requests() {
    let faults = [
        Fault::Nothing,
        Fault::OwnerLost,
        Fault::HomeLost,
        Fault::HomeCut,
        Fault::OtherCut,
        Fault::HalfCut,
        Fault::SlowLink,
        Fault::SettingsDiffer(10),
        Fault::SettingsDiffer(50),
        Fault::SettingsDiffer(90),
        Fault::ZonesUnknown(10),
        Fault::ZonesUnknown(60),
    ];
    for fault in faults {
        for_each_fleet(fault, |nodes, limit, arrivals| {
            let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
            let most = max_in_window(arrivals);
            assert!(
                most <= allowed,
                "{fault:?}, {nodes} nodes, limit {limit}: {most} of {allowed}"
            );
        });
    }
}

/// Guards against a region that loses its engines' limits when it is cut off, and against slots that are lost on slow links.
#[test]
fn an_engine_receives_most_of_its_limit_from_its_region() {
    let faults = [Fault::Nothing, Fault::OwnerLost, Fault::OtherCut, Fault::SlowLink];
    for fault in faults {
        for_each_fleet(fault, |nodes, limit, arrivals| {
            let rate = rate_after(arrivals);
            // Of one node or three the owner may be the only one of its region; one request is the resolution.
            let least = if nodes < 9 && fault != Fault::Nothing {
                0.0
            } else {
                0.8
            };
            assert!(
                rate + 0.05 >= least * limit,
                "{fault:?}, {nodes} nodes, limit {limit}: {rate}"
            );
        });
    }
    for nodes in [9, 30, 300] {
        let arrivals = Fleet::new(nodes, 4.0, Fault::HomeCut, 5).run();
        let rate = rate_after(&arrivals);
        assert!(rate >= 0.8 * 4.0, "{nodes} nodes with the region cut off: {rate}");
    }
}

/// Guards against an owner far from the engine's region, which costs each request a round trip between regions.
#[test]
fn the_owner_is_a_node_of_the_engines_region() {
    for seed in 0..20 {
        let fleet = Fleet::new(30, 4.0, Fault::Nothing, seed);
        let owners: Vec<usize> = (0..30).map(|node| fleet.owner_known_to(node, 0)).collect();
        assert!(owners.iter().all(|owner| *owner == owners[0]));
        assert_eq!(fleet.nodes[owners[0]].region, HOME);
    }
    let elsewhere = [OwnerCandidate {
        node: SubjectHandle::of_text("node", "far"),
        region: Some(region(1)),
    }];
    assert_eq!(
        candidates_for(Some(&region(0)), &elsewhere).len(),
        1,
        "no node of the region"
    );
}

/// Guards against shares that add up to more than 1.35 over the sides of a partition, or that differ from those of a fleet without
/// regions where the region has no nodes.
#[test]
fn the_shares_of_all_sides_of_a_partition_add_up_to_the_bound() {
    let mut random = ChaCha8Rng::seed_from_u64(8);
    let mut side = |nodes: u32| random.random_range(0..=nodes);
    let count = |reached, nodes| NodeCount { reached, nodes };
    for round in 0..20_000 {
        let (inside, outside, unknown) = (1 + round % 30, round % 77, round % 5);
        let reached = [side(inside), side(outside), side(unknown)];
        let one = Reach {
            inside: count(reached[0], inside),
            outside: count(reached[1], outside),
            unknown: count(reached[2], unknown),
        };
        let other = Reach {
            inside: count(inside - reached[0], inside),
            outside: count(outside - reached[1], outside),
            unknown: count(unknown - reached[2], unknown),
        };
        let sum = one.limit_share() + other.limit_share();
        assert!(sum <= 1.351, "{one:?}: {sum}");
    }
    let without = Reach {
        outside: count(3, 10),
        ..Reach::default()
    };
    assert_eq!(without.limit_share().to_bits(), limit_share(3, 10).to_bits());
}
