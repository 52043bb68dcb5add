//! When a node holds itself for cut off from the engines.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::EngineId;
use shelfjunction_core::reachability::contact::{ContactChange, EngineContact};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn engine(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number}"))
}

#[test]
fn contact_is_lost_after_three_engines_failed_and_restored_by_one_connection() {
    let mut contact = EngineContact::default();
    contact.on_connected(at(1_000));
    assert_eq!(contact.on_connect_failed(&engine(1), at(2_000)), None);
    assert_eq!(contact.on_connect_failed(&engine(1), at(2_010)), None);
    assert_eq!(contact.on_connect_failed(&engine(2), at(2_020)), None);
    let lost = contact.on_connect_failed(&engine(3), at(2_500));
    let unreached_for = Duration::from_millis(1_500);
    assert_eq!(
        lost,
        Some(ContactChange::Lost {
            engines: 3,
            unreached_for
        })
    );
    assert!(contact.is_lost());
    let lost_for = Duration::from_millis(4_000);
    assert_eq!(
        contact.on_connected(at(6_500)),
        Some(ContactChange::Restored { lost_for })
    );
    assert!(!contact.is_lost());
}

#[test]
fn crashed_engines_do_not_end_contact_while_another_is_reached() {
    let mut contact = EngineContact::default();
    for round in 0..10 {
        let begun = 100 * round;
        assert_eq!(contact.on_connect_failed(&engine(1), at(begun)), None);
        assert_eq!(contact.on_connect_failed(&engine(2), at(begun + 10)), None);
        assert_eq!(contact.on_connected(at(begun + 20)), None);
    }
}

#[test]
fn failures_far_apart_do_not_add_up() {
    let mut contact = EngineContact::default();
    for number in 0..10 {
        assert_eq!(
            contact.on_connect_failed(&engine(number), at(1_500 * number as u64)),
            None
        );
    }
}
