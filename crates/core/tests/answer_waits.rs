//! Waits for answers of nodes by the distance of their region.

use shelfjunction_core::identity::RegionId;
use shelfjunction_core::topology::{DISTANT_WAIT_FACTOR, RoundTrips};
use std::time::Duration;

const CONFIGURED: Duration = Duration::from_millis(40);
const LONGEST: Duration = CONFIGURED.saturating_mul(DISTANT_WAIT_FACTOR);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn region(name: &str) -> RegionId {
    RegionId::new(name)
}

fn measured(round_trips: &[(&str, u64)]) -> RoundTrips {
    let mut measured = RoundTrips::default();
    for (name, round_trip) in round_trips {
        for _ in 0..50 {
            measured.on_answer(&region(name), millis(*round_trip));
        }
    }
    measured
}

/// Guards against questions to distant nodes that time out before the answer can arrive, and against long waits nearby.
#[test]
fn waits_follow_the_distance_of_the_region() {
    let round_trips = measured(&[("near", 2), ("far", 90), ("beyond", 500)]);
    let wait = |name| round_trips.answer_wait_of(Some(&region(name)), CONFIGURED);
    assert_eq!(wait("near"), CONFIGURED);
    assert!(wait("far") > millis(95) && wait("far") < millis(110));
    assert_eq!(wait("beyond"), LONGEST);
    assert_eq!(wait("never-asked"), LONGEST);
    assert_eq!(round_trips.answer_wait_of(None, CONFIGURED), LONGEST);
}

/// Guards against a link that becomes slow and whose answers then always come after the wait, and against waits that stay long
/// after the link has recovered.
#[test]
fn the_wait_grows_on_a_link_that_slows_down_and_shrinks_again() {
    let mut round_trips = measured(&[("far", 24)]);
    let far = region("far");
    let mut timeouts = 0;
    while round_trips.answer_wait(&far, CONFIGURED) < millis(120) {
        let wait = round_trips.answer_wait(&far, CONFIGURED);
        round_trips.on_timeout(&far);
        timeouts += 1;
        assert!(timeouts <= 10, "{wait:?}");
    }
    for _ in 0..50 {
        round_trips.on_answer(&far, millis(24));
    }
    assert!(round_trips.answer_wait(&far, CONFIGURED) <= millis(45));
}

/// Guards against a decision that needs all nodes and is made before the farthest region has heard of it.
#[test]
fn news_for_all_regions_waits_for_the_farthest() {
    let round_trips = measured(&[("near", 2), ("far", 90)]);
    let names = [region("near"), region("far")];
    let wait = round_trips.longest_wait(names.iter(), millis(30));
    assert_eq!(wait, round_trips.answer_wait(&region("far"), millis(30)));
    assert_eq!(round_trips.longest_wait([].iter(), millis(30)), millis(30));
}
