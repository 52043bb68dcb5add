//! Zones, regions and measured round trips.
#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::{RegionId, ZoneId};
use shelfjunction_core::topology::{DISTANT_WAIT_FACTOR, Distance, RoundTrips, Topology, TopologySettings};
use std::time::Duration;

const CONFIGURED_WAIT: Duration = Duration::from_millis(40);

fn settings(zones: &[(&str, &str)]) -> TopologySettings {
    TopologySettings {
        zones: zones
            .iter()
            .map(|(zone, region)| (ZoneId::new(*zone), RegionId::new(*region)))
            .collect(),
    }
}

fn topology(own: &str, zones: &[(&str, &str)]) -> Topology {
    Topology::new(&ZoneId::new(own), &settings(zones))
}

#[test]
fn a_deployment_of_one_region_is_not_regional() {
    for zones in [&[][..], &[("a", "west")], &[("a", "west"), ("b", "west")]] {
        let topology = topology("a", zones);
        assert!(!topology.is_regional());
        assert_eq!(topology.own_region(), None);
        assert_eq!(topology.region_count(), 1);
        assert_eq!(
            topology.distance(&ZoneId::new("a"), &ZoneId::new("b")),
            Distance::SameRegion
        );
    }
}

#[test]
fn distance_depends_on_zone_and_region() {
    let topology = topology("a", &[("a", "west"), ("b", "west"), ("c", "east")]);
    let distance = |other: &str| topology.distance(&ZoneId::new("a"), &ZoneId::new(other));
    assert_eq!(distance("a"), Distance::SameZone);
    assert_eq!(distance("b"), Distance::SameRegion);
    assert_eq!(distance("c"), Distance::OtherRegion);
}

/// Guards against engines and nodes that nobody uses while a zone is being added to the settings.
#[test]
fn a_zone_that_is_not_named_lies_in_every_region() {
    let topology = topology("a", &[("a", "west"), ("c", "east")]);
    let unnamed = ZoneId::new("new");
    assert!(topology.contains(&RegionId::new("west"), &unnamed));
    assert!(topology.contains(&RegionId::new("east"), &unnamed));
    assert_eq!(
        topology.distance(&ZoneId::new("c"), &unnamed),
        Distance::SameRegion
    );
}

/// A node that does not find its own zone can't tell its region and must not treat all engines as distant.
#[test]
fn a_node_whose_zone_is_not_named_is_refused_by_validation_and_not_regional() {
    let zones = &[("a", "west"), ("c", "east")];
    let errors = settings(zones).validate(&ZoneId::new("b"));
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].field, "topology.zones");
    assert!(!topology("b", zones).is_regional());
}

#[test]
fn empty_names_are_refused() {
    let errors = settings(&[("a", "west"), ("b", "")]).validate(&ZoneId::new("a"));
    assert_eq!(errors[0].field, "topology.zones.b");
}

#[test]
fn the_wait_follows_the_measured_round_trip_within_its_bounds() {
    let region = RegionId::new("east");
    let mut round_trips = RoundTrips::default();
    let longest = CONFIGURED_WAIT * DISTANT_WAIT_FACTOR;
    assert_eq!(round_trips.answer_wait(&region, CONFIGURED_WAIT), longest);
    for _ in 0..100 {
        round_trips.on_answer(&region, Duration::from_millis(60));
    }
    let steady = round_trips.answer_wait(&region, CONFIGURED_WAIT);
    assert!(steady > Duration::from_millis(60) && steady < Duration::from_millis(90));
    for _ in 0..100 {
        round_trips.on_answer(&region, Duration::from_millis(1));
    }
    assert_eq!(round_trips.answer_wait(&region, CONFIGURED_WAIT), CONFIGURED_WAIT);
}

/// Guards against a wait that stays below the round trip of a path that became slower: no answer would ever be measured.
#[test]
fn timeouts_lengthen_the_wait() {
    let region = RegionId::new("east");
    let mut round_trips = RoundTrips::default();
    for _ in 0..50 {
        round_trips.on_answer(&region, Duration::from_millis(5));
    }
    for _ in 0..50 {
        round_trips.on_timeout(&region);
    }
    let longest = CONFIGURED_WAIT * DISTANT_WAIT_FACTOR;
    assert_eq!(round_trips.answer_wait(&region, CONFIGURED_WAIT), longest);
}
