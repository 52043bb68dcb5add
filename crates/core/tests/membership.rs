//! Membership under loss, reordering, cuts, pauses, deaths and restarts, against what must always hold.
#![allow(clippy::unwrap_used)]

mod membership_world;

use membership_world::{
    AGREEMENT_MILLIS, ENGINES_PER_ZONE, Faults, SETTLE, World, ZONE_SIZES, engine_id, node_key, ordered,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::identity::{NodeId, RegionId, ZoneId};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::membership::events::OwnNode;
use shelfjunction_core::membership::gossiper::Gossiper;
use shelfjunction_core::membership::quantity::{from_byte, to_byte};
use shelfjunction_core::membership::record::{Liveness, RecordBody, RecordKey};
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::membership::view::liveness;
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;

const NODES: usize = ZONE_SIZES[0] + ZONE_SIZES[1] + ZONE_SIZES[2];
const ENGINES: usize = ZONE_SIZES.len() * ENGINES_PER_ZONE;
const MOST_DEAD_NODES: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    KillNode(usize),
    RestartNode(usize),
    PauseNode(usize),
    ContinueNode(usize),
    CutZones(usize, usize),
    CutNodes(usize, usize),
    Network { loss: u32, duplicates: u32, delay: u64 },
    Heal,
    KillEngine(usize),
    RestartEngine(usize),
    MarkLeaving(usize),
    SetHead(usize),
}

/// Who is dead, what leaves and which generation was accepted: all that must be known after a heal.
#[derive(Clone, Debug, Default)]
struct Expected {
    dead_nodes: BTreeSet<usize>,
    dead_engines: BTreeSet<usize>,
    leaving_engines: BTreeSet<usize>,
    generation: u64,
}

impl ReferenceStateMachine for Expected {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (500_u64..12_000).prop_map(Step::Advance),
            2 => (0..NODES).prop_map(Step::KillNode),
            2 => (0..NODES).prop_map(Step::RestartNode),
            1 => (0..NODES).prop_map(Step::PauseNode),
            1 => (0..NODES).prop_map(Step::ContinueNode),
            2 => (0..3_usize, 0..3_usize).prop_map(|(left, right)| Step::CutZones(left, right)),
            2 => (0..NODES, 0..NODES).prop_map(|(left, right)| Step::CutNodes(left, right)),
            2 => (0..40_u32, 0..30_u32, 0..800_u64)
                .prop_map(|(loss, duplicates, delay)| Step::Network { loss, duplicates, delay }),
            1 => Just(Step::Heal),
            1 => (0..ENGINES).prop_map(Step::KillEngine),
            1 => (0..ENGINES).prop_map(Step::RestartEngine),
            1 => (0..ENGINES).prop_map(Step::MarkLeaving),
            1 => (0..NODES).prop_map(Step::SetHead),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &Step) -> bool {
        match step {
            Step::KillNode(node) => {
                let zone_survives =
                    zone_members(*node).any(|other| other != *node && !state.dead_nodes.contains(&other));
                state.dead_nodes.len() < MOST_DEAD_NODES && zone_survives && !state.dead_nodes.contains(node)
            }
            Step::CutZones(left, right) | Step::CutNodes(left, right) => left != right,
            Step::SetHead(node) => !state.dead_nodes.contains(node),
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::KillNode(node) => state.dead_nodes.insert(*node),
            Step::RestartNode(node) => state.dead_nodes.remove(node),
            Step::KillEngine(engine) => state.dead_engines.insert(*engine),
            Step::RestartEngine(engine) => state.dead_engines.remove(engine),
            Step::MarkLeaving(engine) => state.leaving_engines.insert(*engine),
            Step::SetHead(_) => {
                state.generation += 1;
                true
            }
            _ => true,
        };
        state
    }
}

struct Membership {
    world: World,
    heads: Vec<usize>,
}

impl StateMachineTest for Membership {
    type SystemUnderTest = Self;
    type Reference = Expected;

    fn init_test(_: &Expected) -> Self {
        let mut world = World::new(1);
        world.advance(10_000);
        Self {
            world,
            heads: Vec::new(),
        }
    }

    fn apply(mut system: Self, expected: &Expected, step: Step) -> Self {
        let world = &mut system.world;
        match step {
            Step::Advance(millis) => world.advance(millis),
            Step::KillNode(node) => world.kill_node(node),
            Step::RestartNode(node) => world.start_node(node),
            Step::PauseNode(node) => world.nodes[node].paused = true,
            Step::ContinueNode(node) => world.nodes[node].paused = false,
            Step::CutZones(left, right) => {
                world.faults.cut_zones.insert(ordered(left, right));
            }
            Step::CutNodes(left, right) => {
                world.faults.cut_nodes.insert(ordered(left, right));
            }
            Step::Network {
                loss,
                duplicates,
                delay,
            } => {
                let cut_zones = std::mem::take(&mut world.faults.cut_zones);
                let cut_nodes = std::mem::take(&mut world.faults.cut_nodes);
                let (loss_percent, duplicate_percent) = (loss, duplicates);
                world.faults = Faults {
                    loss_percent,
                    duplicate_percent,
                    delay_millis: delay,
                    cut_zones,
                    cut_nodes,
                };
            }
            Step::Heal => {
                world.heal();
                world.advance(AGREEMENT_MILLIS);
                check_agreement(world, expected);
            }
            Step::KillEngine(engine) => world.engines[engine].alive = false,
            Step::RestartEngine(engine) => world.restart_engine(engine),
            Step::MarkLeaving(engine) => world.engines[engine].leaving = true,
            Step::SetHead(node) => {
                world.set_head(node, expected.generation);
                system.heads.push(node);
            }
        }
        system
    }
}

fn zone_of(node: usize) -> usize {
    let mut first = 0;
    for (zone, size) in ZONE_SIZES.into_iter().enumerate() {
        first += size;
        if node < first {
            return zone;
        }
    }
    ZONE_SIZES.len()
}

fn zone_members(node: usize) -> impl Iterator<Item = usize> {
    (0..NODES).filter(move |other| zone_of(*other) == zone_of(node))
}

/// Every living node holds the same facts, and they are true.
fn check_agreement(world: &World, expected: &Expected) {
    let living = world.living_nodes();
    let facts = |node: usize| {
        let store = world.nodes[node].gossiper.as_ref().unwrap().store();
        let facts = store
            .facts()
            .map(|(_, fact)| (&fact.record.key, fact.record.version, liveness(&fact.record)));
        facts
            .map(|fact| format!("{fact:?}"))
            .collect::<BTreeSet<String>>()
    };
    for node in &living {
        let (here, there) = (facts(*node), facts(living[0]));
        let difference: Vec<&String> = here.symmetric_difference(&there).collect();
        assert!(
            difference.is_empty(),
            "nodes {node} and {} differ: {difference:#?}",
            living[0]
        );
        for subject in 0..NODES {
            let truth = if expected.dead_nodes.contains(&subject) {
                Liveness::Dead
            } else {
                Liveness::Alive
            };
            assert_eq!(
                world.belief(*node, &node_key(subject)),
                Some(truth),
                "node {node} on node {subject}"
            );
        }
        for subject in 0..ENGINES {
            check_engine(world, expected, *node, subject);
        }
    }
}

fn check_engine(world: &World, expected: &Expected, node: usize, subject: usize) {
    let key = RecordKey::Engine(engine_id(subject));
    let belief = world.belief(node, &key);
    let witnesses = (0..NODES).filter(|other| zone_of(*other) == world.engines[subject].zone);
    let witnesses = witnesses
        .filter(|other| !expected.dead_nodes.contains(other))
        .count();
    let truth = match (expected.dead_engines.contains(&subject), witnesses) {
        (false, _) => Liveness::Alive,
        (true, 1) => Liveness::Suspect,
        (true, _) => Liveness::Dead,
    };
    let alone_dead = witnesses == 1 && belief == Some(Liveness::Dead);
    assert!(
        belief == Some(truth) || alone_dead,
        "node {node} on engine {subject}: {belief:?}, not {truth:?}"
    );
    let store = world.nodes[node].gossiper.as_ref().unwrap().store();
    let RecordBody::Engine(engine) = &store.held(SubjectHandle::of(&key)).unwrap().record.body else {
        panic!("an engine's record must describe an engine");
    };
    let leaving = engine.machine_state == MachineState::Leaving;
    assert_eq!(
        leaving,
        expected.leaving_engines.contains(&subject),
        "node {node} on engine {subject}"
    );
}

/// Few cases from a fixed seed, unless `PROPTEST_CASES` and `PROPTEST_RNG_SEED` ask for others.
fn model_config() -> ProptestConfig {
    let asked = ProptestConfig {
        max_shrink_iters: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    if std::env::var_os("PROPTEST_CASES").is_some() {
        return asked;
    }
    ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..asked
    }
}

prop_state_machine! {
    #![proptest_config(model_config())]
    #[test]
    fn versions_rise_and_all_agree_after_a_heal(sequential 8..24 => Membership);
}

#[test]
fn one_witness_alone_declares_nobody_dead() {
    for other in 1..ZONE_SIZES[0] {
        let mut world = World::new(u64::try_from(other).unwrap());
        world.advance(SETTLE.as_millis().try_into().unwrap());
        world.faults.cut_nodes.insert((0, other));
        for _ in 0..120 {
            world.advance(500);
            for node in 0..NODES {
                for subject in 0..NODES {
                    assert_ne!(world.belief(node, &node_key(subject)), Some(Liveness::Dead));
                }
            }
        }
    }
}

#[test]
fn a_spent_budget_holds_datagrams_back() {
    let config = MembershipConfig {
        spread_bytes_per_second: 200,
        spread_burst_bytes: 4_096,
        beat_bytes_per_second: 100,
        load_bytes_per_second: 100,
        ..MembershipConfig::default()
    };
    assert_eq!(config.validate(), Vec::new());
    let mut world = World::with_config(9, config);
    for round in 0..30 {
        world.start_node(round % NODES);
        world.restart_engine(round % ENGINES);
        world.advance(2_000);
    }
    let counters = |node: &membership_world::SimulatedNode| node.gossiper.as_ref().unwrap().counters();
    assert!(world.nodes.iter().any(|node| counters(node).held_back > 0));
}

#[test]
fn a_cut_zone_with_enough_nodes_is_not_declared_dead() {
    let mut world = World::new(3);
    world.advance(20_000);
    world.faults.cut_zones.extend([(0, 1), (0, 2)]);
    world.advance(120_000);
    for node in 0..NODES {
        for subject in 0..ZONE_SIZES[0] {
            assert_eq!(world.belief(node, &node_key(subject)), Some(Liveness::Alive));
        }
    }
}

/// What lay in the socket of a process that was stopped vouches for nothing: its senders may have gone on since.
#[test]
fn datagrams_that_waited_out_a_pause_confirm_nothing() {
    const PAUSE_MILLIS: u64 = 60_000;
    let mut world = World::new(5);
    (0..NODES).for_each(|node| world.set_head(node, 1));
    world.advance(20_000);
    world.nodes[0].paused = true;
    world.advance(PAUSE_MILLIS);
    for other in 1..NODES {
        world.faults.cut_nodes.insert(ordered(0, other));
    }
    world.nodes[0].paused = false;
    world.advance(3_000);
    let now = MonotonicTime::from_millis(world.now);
    let age = world.nodes[0].gossiper.as_ref().unwrap().head_confirmed_age(now);
    let age = age.expect("confirmed before the pause");
    assert!(
        age >= Duration::from_millis(PAUSE_MILLIS),
        "confirmed {age:?} ago"
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..ProptestConfig::default()
    })]

    #[test]
    fn rubbish_is_counted_and_dropped(bytes in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let address = "10.0.0.1:7000".parse().unwrap();
        let identity = OwnNode {
            node: NodeId::new("node"),
            zone: ZoneId::new("zone"),
            region: RegionId::new("region"),
            service: MachineService::Node { gateway: address, controller: address },
            incarnation: 1,
        };
        let start = MonotonicTime::default();
        let mut gossiper = Gossiper::new(MembershipConfig::default(), identity, Vec::new(), start);
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let taken = gossiper.datagram(address, &bytes, start, &mut random);
        prop_assert_eq!(gossiper.counters().rubbish, u64::from(taken.is_err()));
        prop_assert!(gossiper.store().records(start).len() <= 1 || taken.is_ok());
    }

    #[test]
    fn rounded_quantities_stay_near(count in 0_u64..(1 << 33)) {
        let rounded = from_byte(to_byte(count));
        prop_assert!(rounded.abs_diff(count) * 12 <= count.max(11), "{} became {}", count, rounded);
    }

    #[test]
    fn a_lost_candidate_moves_only_its_own_tasks(task in 0_u64..1_000, lost in 0_usize..20) {
        let task = SubjectHandle::of_text("task", &task.to_string());
        let all: Vec<SubjectHandle> =
            (0..20).map(|number| SubjectHandle::of_text("node", &number.to_string())).collect();
        let before = rendezvous::choose(task, &all, rendezvous::WATCHERS_PER_ENGINE);
        let rest: Vec<SubjectHandle> = all.iter().copied().filter(|node| *node != all[lost]).collect();
        let after = rendezvous::choose(task, &rest, rendezvous::WATCHERS_PER_ENGINE);
        for kept in before.iter().filter(|node| **node != all[lost]) {
            prop_assert!(after.contains(kept));
            let rank = rendezvous::rank(task, *kept, &rest, rendezvous::WATCHERS_PER_ENGINE);
            prop_assert_eq!(rank, after.iter().position(|node| node == kept));
        }
    }
}
