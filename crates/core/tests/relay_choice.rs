//! Which node relays for one that does not reach an engine.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::reachability::relay::{RelayDirectory, RelayOffer, RelayPeer};
use shelfjunction_core::time::MonotonicTime;

const CAPACITY: u16 = 100;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn node(number: usize) -> SubjectHandle {
    SubjectHandle::of_text("node", &format!("node-{number}"))
}

fn peers(count: usize) -> Vec<RelayPeer> {
    let peer = |number| RelayPeer {
        node: node(number),
        distance: (number % 3) as u8,
    };
    (0..count).map(peer).collect()
}

fn offer(open: u16) -> RelayOffer {
    RelayOffer {
        reaches_engine: true,
        reaches_any: true,
        open,
        capacity: CAPACITY,
    }
}

#[test]
fn a_node_that_never_offered_is_never_chosen() {
    let directory = RelayDirectory::default();
    assert_eq!(directory.best(&peers(9), &[], at(10)), None);
}

#[test]
fn the_nearest_relay_is_taken_until_it_is_loaded() {
    let mut directory = RelayDirectory::default();
    directory.on_offer(node(0), offer(0), at(0));
    directory.on_offer(node(1), offer(0), at(0));
    assert_eq!(directory.best(&peers(2), &[], at(10)), Some(node(0)));
    for _ in 0..CAPACITY / 2 {
        directory.on_opened(node(0));
    }
    assert_eq!(directory.best(&peers(2), &[], at(10)), Some(node(1)));
}

#[test]
fn nodes_that_are_full_or_reach_nothing_are_not_chosen() {
    let mut directory = RelayDirectory::default();
    directory.on_offer(node(0), offer(CAPACITY), at(0));
    let cut_off = RelayOffer {
        reaches_any: false,
        ..offer(0)
    };
    directory.on_offer(node(1), cut_off, at(0));
    let without_path = RelayOffer {
        reaches_engine: false,
        ..offer(0)
    };
    directory.on_offer(node(2), without_path, at(0));
    assert_eq!(directory.best(&peers(3), &[], at(10)), None);
}

#[test]
fn offers_expire_and_failed_relays_are_asked_last() {
    let mut directory = RelayDirectory::default();
    directory.on_offer(node(0), offer(0), at(0));
    directory.on_offer(node(3), offer(50), at(0));
    directory.on_failed(node(0), at(10));
    assert_eq!(directory.best(&peers(4), &[], at(20)), Some(node(3)));
    assert_eq!(directory.best(&peers(4), &[node(3)], at(20)), None);
    assert_eq!(directory.best(&peers(4), &[], at(5_000)), None);
    let asked = directory.to_ask(&peers(4), 4, 7, at(20));
    assert_eq!(asked.last(), Some(&node(0)));
}

#[test]
fn three_hundred_cut_off_nodes_spread_over_the_relays_that_are_left() {
    let relays = peers(30);
    let mut open = vec![0_u16; relays.len()];
    for origin in 0..300_u64 {
        let mut directory = RelayDirectory::default();
        for asked in directory.to_ask(&relays, 3, origin.wrapping_mul(0x9e37_79b9_7f4a_7c15), at(0)) {
            let number = relays.iter().position(|relay| relay.node == asked).unwrap();
            directory.on_offer(asked, offer(open[number]), at(0));
        }
        let chosen = directory.best(&relays, &[], at(1)).unwrap();
        let number = relays.iter().position(|relay| relay.node == chosen).unwrap();
        open[number] += 1;
    }
    let near = open.iter().step_by(3).copied();
    assert!(near.clone().max().unwrap() <= 2 * 300 / 10, "{open:?}");
    assert!(near.min().unwrap() > 0, "{open:?}");
}
