//! Changes of the list of engines, as one node hands them to another.

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::routing::pool::{
    EngineListing, EngineStage, ListChange, ListSnapshot, PoolEngine, RecentChanges,
};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn listed(id: &str, leaving: bool) -> ListChange {
    ListChange::Listed(PoolEngine {
        id: EngineId::new(id),
        pool: PoolId("pool".to_owned()),
        address: ([127, 0, 0, 1], 1_000).into(),
        zone: ZoneId::new("zone-a"),
        places: 8,
        leaving,
        stage: EngineStage::Whole,
        models: Vec::new(),
        warming: Duration::ZERO,
        spot: false,
    })
}

fn listing(version: u64) -> EngineListing {
    let ListChange::Listed(first) = listed("first", false) else {
        unreachable!("it is listed");
    };
    let mut listing = EngineListing::default();
    listing.replace(&ListSnapshot {
        version,
        engines: vec![first],
        unreadable: Vec::new(),
    });
    listing
}

#[test]
fn a_change_reaches_a_node_that_has_everything_before_it() {
    let mut recent = RecentChanges::default();
    recent.record(
        &listing(10),
        10,
        &[(12, listed("a", false)), (13, listed("b", false))],
        at(0),
    );
    let mut other = listing(11);
    let taken = recent.publishable(6, at(50)).apply_to(&mut other);
    assert_eq!(taken.len(), 2);
    assert_eq!(other.reflected_version(), 13);
    assert!(
        recent.publishable(6, at(60)).apply_to(&mut other).is_empty(),
        "once"
    );
}

#[test]
fn a_node_that_lacks_more_takes_nothing() {
    let mut recent = RecentChanges::default();
    recent.record(&listing(10), 10, &[(12, listed("a", true))], at(0));
    let mut other = listing(9);
    assert!(recent.publishable(6, at(50)).apply_to(&mut other).is_empty());
    assert_eq!(other.reflected_version(), 9, "it must ask for what it lacks");
}

#[test]
fn what_is_no_longer_told_is_lacking_rather_than_skipped() {
    let mut recent = RecentChanges::default();
    recent.record(&listing(10), 10, &[(12, listed("a", false))], at(0));
    recent.record(&listing(12), 12, &[(14, listed("b", false))], at(600));
    let late = recent.publishable(6, at(800));
    assert_eq!((late.base, late.changes.len()), (12, 1));
    assert!(late.clone().apply_to(&mut listing(11)).is_empty());
    assert_eq!(late.apply_to(&mut listing(12)).len(), 1);
    recent.record(
        &listing(14),
        14,
        &[(15, listed("c", false)), (16, listed("d", false))],
        at(810),
    );
    let shortened = recent.publishable(1, at(820));
    assert_eq!((shortened.base, shortened.changes.len()), (15, 1));
}

#[test]
fn changes_that_do_not_follow_on_each_other_are_never_told_together() {
    let mut recent = RecentChanges::default();
    recent.record(&listing(10), 10, &[(12, listed("a", false))], at(0));
    recent.reset();
    recent.record(&listing(20), 20, &[(22, listed("b", false))], at(10));
    let told = recent.publishable(6, at(20));
    assert_eq!(told.base, 20);
    assert!(told.apply_to(&mut listing(12)).is_empty());
}

/// Found on a grown day: each change of an engine's stage cost a call of every node, though two of them told it.
#[test]
fn a_quiet_time_at_the_store_makes_nobody_lack_anything() {
    let mut watcher = listing(10);
    watcher.apply(Vec::new(), 5_000);
    let mut recent = RecentChanges::default();
    recent.record(&watcher, 5_000, &[(5_002, listed("a", false))], at(0));
    let mut other = listing(10);
    let taken = recent.publishable(6, at(50)).apply_to(&mut other);
    assert_eq!(taken.len(), 1, "nothing changed between 10 and 5,000");
    assert_eq!(other.reflected_version(), 5_002);
}

#[test]
fn changes_behind_those_that_another_node_told_are_not_told() {
    let mut watcher = listing(10);
    watcher.apply(vec![(12, listed("a", false))], 12);
    let mut recent = RecentChanges::default();
    recent.record(
        &watcher,
        10,
        &[(12, listed("a", false)), (14, listed("b", false))],
        at(0),
    );
    assert!(recent.publishable(6, at(10)).changes.is_empty());
}
