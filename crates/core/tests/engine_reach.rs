//! What a node believes to reach of the engines, from its own attempts and what other nodes meet.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::reachability::reach::{
    EngineCensus, EngineReach, LossScope, PeerEvidence, ReachChange, Route,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

const ZONES: usize = 3;
const ENGINES_OF_ZONE: usize = 3;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Engine of a number; its zone changes with each.
fn engine(number: usize) -> (EngineId, ZoneId) {
    let zone = ZoneId::new(format!("zone-{}", number % ZONES));
    (EngineId::new(format!("engine-{number}")), zone)
}

fn engines() -> BTreeMap<EngineId, ZoneId> {
    (0..ZONES * ENGINES_OF_ZONE).map(engine).collect()
}

fn census() -> EngineCensus {
    EngineCensus {
        engines: ZONES * ENGINES_OF_ZONE,
        engines_of_zone: ENGINES_OF_ZONE,
        zones: ZONES,
    }
}

fn fail(reach: &mut EngineReach, number: usize, evidence: PeerEvidence, millis: u64) -> Vec<ReachChange> {
    let (engine, zone) = engine(number);
    reach.on_connect_failed(&engine, &zone, evidence, census(), at(millis))
}

fn connect(reach: &mut EngineReach, number: usize, millis: u64) -> Vec<ReachChange> {
    let (engine, zone) = engine(number);
    reach.on_connected(&engine, &zone, at(millis))
}

fn route(reach: &EngineReach, number: usize) -> Route {
    let (engine, zone) = engine(number);
    reach.route(&engine, &zone)
}

fn lost_scopes(changes: &[ReachChange]) -> Vec<LossScope> {
    let lost = changes.iter().filter_map(|change| match change {
        ReachChange::Lost { scope, .. } => Some(scope.clone()),
        ReachChange::Restored { .. } => None,
    });
    lost.collect()
}

#[test]
fn engines_that_no_other_node_reaches_either_are_no_loss_of_the_nodes_paths() {
    let mut reach = EngineReach::default();
    for number in 0..ZONES * ENGINES_OF_ZONE {
        assert_eq!(fail(&mut reach, number, PeerEvidence::AlsoFailed, 10), []);
    }
    assert!(reach.is_complete());
}

#[test]
fn one_lost_path_leaves_other_engines_direct() {
    let mut reach = EngineReach::default();
    connect(&mut reach, 3, 5);
    let changes = fail(&mut reach, 0, PeerEvidence::Reached, 10);
    assert_eq!(lost_scopes(&changes), [LossScope::Engine(engine(0).0)]);
    assert_eq!(route(&reach, 0), Route::Relayed);
    assert_eq!(route(&reach, 3), Route::Direct);
    assert_eq!(connect(&mut reach, 0, 20).len(), 1);
    assert_eq!(route(&reach, 0), Route::Direct);
}

#[test]
fn a_zone_whose_engines_others_reach_is_lost_as_a_whole_and_alone() {
    let mut reach = EngineReach::default();
    fail(&mut reach, 0, PeerEvidence::Reached, 10);
    let changes = fail(&mut reach, 3, PeerEvidence::Reached, 20);
    assert!(lost_scopes(&changes).contains(&LossScope::Zone(engine(0).1)));
    assert_eq!(route(&reach, 6), Route::Relayed);
    assert_eq!(route(&reach, 1), Route::Direct);
    fail(&mut reach, 6, PeerEvidence::Reached, 30);
    assert!(!reach.is_isolated());
}

#[test]
fn engines_of_two_zones_that_others_reach_isolate_the_node() {
    let mut reach = EngineReach::default();
    connect(&mut reach, 8, 5);
    fail(&mut reach, 0, PeerEvidence::Reached, 10);
    fail(&mut reach, 1, PeerEvidence::Reached, 20);
    let changes = fail(&mut reach, 4, PeerEvidence::Reached, 40);
    let isolation = ReachChange::Lost {
        scope: LossScope::All,
        engines: 3,
        is_confirmed: true,
        unreached_for: Duration::from_millis(35),
    };
    assert!(changes.contains(&isolation), "{changes:?}");
    assert!(reach.should_yield());
    assert_eq!(route(&reach, 8), Route::Relayed);
}

#[test]
fn a_connection_in_between_shows_that_the_node_is_not_isolated() {
    let mut reach = EngineReach::default();
    fail(&mut reach, 0, PeerEvidence::Reached, 10);
    fail(&mut reach, 1, PeerEvidence::Reached, 20);
    connect(&mut reach, 2, 30);
    fail(&mut reach, 4, PeerEvidence::Reached, 40);
    assert!(!reach.is_isolated());
}

#[test]
fn a_node_that_can_ask_nobody_is_isolated_without_proof_and_hands_nothing_over() {
    let mut reach = EngineReach::default();
    for number in 0..8 {
        assert!(!reach.is_isolated(), "a node that reaches any engine uses it");
        fail(&mut reach, number, PeerEvidence::None, 10);
    }
    assert!(reach.is_isolated());
    assert!(!reach.should_yield());
    reach.on_relayed();
    assert!(reach.should_yield(), "another node reaches engines after all");
    let mut spread = EngineReach::default();
    for number in 0..8 {
        fail(&mut spread, number, PeerEvidence::None, 1_500 * number as u64);
    }
    assert!(!spread.is_isolated(), "failures far apart do not add up");
}

#[test]
fn after_the_return_of_one_zone_another_stays_lost() {
    let mut reach = EngineReach::default();
    for number in [0, 1, 3, 4] {
        fail(&mut reach, number, PeerEvidence::Reached, 10);
    }
    assert!(reach.is_isolated());
    connect(&mut reach, 0, 100);
    assert!(!reach.is_isolated());
    assert_eq!(route(&reach, 3), Route::Direct);
    assert_eq!(route(&reach, 7), Route::Relayed);
}

#[test]
fn an_isolated_node_probes_engines_in_turn_and_few_times_a_second() {
    let mut reach = EngineReach::default();
    for number in [0, 1, 4] {
        fail(&mut reach, number, PeerEvidence::Reached, 0);
    }
    let mut probed = Vec::new();
    for millis in (0..3_000).step_by(10) {
        probed.extend(reach.probe_due(&engines(), 0.5, at(millis)));
    }
    assert!((6..=12).contains(&probed.len()), "{probed:?}");
    let mut distinct = probed.clone();
    distinct.sort();
    distinct.dedup();
    assert_eq!(distinct.len(), probed.len().min(ZONES * ENGINES_OF_ZONE));
}

#[test]
fn nodes_that_were_cut_off_together_do_not_probe_together() {
    let first_after = |draw: f64| {
        let mut reach = EngineReach::default();
        for number in [0, 1, 4] {
            fail(&mut reach, number, PeerEvidence::Reached, 0);
        }
        let mut due = (0..2_000).filter(|millis| reach.probe_due(&engines(), draw, at(*millis)).is_some());
        due.nth(1).unwrap()
    };
    assert!(first_after(0.0) + 100 < first_after(1.0));
}

#[test]
fn the_first_lost_path_has_other_zones_verified_and_isolation_none() {
    let mut reach = EngineReach::default();
    connect(&mut reach, 1, 5);
    assert_eq!(reach.to_verify(&engines(), at(30)), []);
    fail(&mut reach, 0, PeerEvidence::Reached, 10);
    let zones: Vec<ZoneId> = reach
        .to_verify(&engines(), at(30))
        .iter()
        .map(|engine| engines()[engine].clone())
        .collect();
    assert_eq!(zones.len(), 3, "one of each zone");
    for number in [1, 4] {
        fail(&mut reach, number, PeerEvidence::Reached, 20);
    }
    assert_eq!(reach.to_verify(&engines(), at(30)), []);
}

#[test]
fn a_node_that_reaches_one_engine_of_many_is_not_isolated() {
    let mut reach = EngineReach::default();
    for round in 0..20 {
        for number in 0..4 {
            fail(&mut reach, number, PeerEvidence::None, 100 * round);
        }
        let verified = reach.to_verify(&engines(), at(100 * round));
        assert!(verified.contains(&engine(8).0), "{verified:?}");
        connect(&mut reach, 8, 100 * round + 20);
        assert!(!reach.is_isolated());
        assert_eq!(route(&reach, 8), Route::Direct);
    }
}

#[test]
fn failures_of_long_ago_raise_no_doubt() {
    let mut reach = EngineReach::default();
    for number in 0..4 {
        fail(&mut reach, number, PeerEvidence::None, 10);
    }
    assert!(!reach.is_undoubted());
    reach.retain(|_| true, at(3_000));
    assert!(reach.is_undoubted());
    assert_eq!(reach.to_verify(&engines(), at(3_000)), []);
}
