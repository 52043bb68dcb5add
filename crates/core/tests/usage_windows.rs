//! Usage windows while many nodes are killed at once: every window is reported once and in time, and no more is reported than
//! was counted.

#![allow(clippy::unwrap_used)]

mod usage_world;

use shelfjunction_core::identity::{NodeId, TenantId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::counter::UsageCounter;
use shelfjunction_core::metering::replication::{REPLICAS, ReplicationInput, UsageAck, UsageReplicator};
use shelfjunction_core::metering::tally::{Incarnation, UsageTally};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeSet;
use std::time::Duration;
use usage_world::{Outcome, Scenario, Telling, play};

/// Plays a scenario and checks what holds whatever is killed; the largest error of a window.
fn worst_error(scenario: Scenario) -> f64 {
    let seconds = scenario.seconds;
    let about = format!("{} nodes, seed {}", scenario.nodes, scenario.seed);
    let outcome = play(scenario);
    let errors = outcome.due(seconds).into_iter().map(|window| {
        let error = outcome.error(window);
        let error = error.unwrap_or_else(|| panic!("{about}: {window} was not reported in time"));
        assert!(
            outcome.reported(window) <= outcome.counted(window),
            "{about}: {window} has more than was counted"
        );
        error
    });
    errors.fold(0.0, f64::max)
}

fn lossy(mut scenario: Scenario) -> Scenario {
    scenario.loss = 0.1;
    scenario.max_delay_millis = 200;
    scenario
}

/// Counts of killed nodes were known to old placers only, and the successor of a killed holder was seldom one of them: it
/// reported as complete what it had heard itself, down to a hundredth of a window.
#[test]
fn a_kill_of_most_nodes_with_the_holder_leaves_every_window_within_five_percent() {
    for nodes in [4, 82, 300] {
        for seed in 0..3 {
            // Within a window, at its end, and before its figures are recorded.
            for kill_at in [17_500, 19_900, 20_400] {
                let scenario =
                    Scenario::new(nodes, Telling::Replicas, seed).kill(nodes * 3 / 5, kill_at, true);
                let scenario = if seed == 1 { lossy(scenario) } else { scenario };
                let worst = worst_error(scenario);
                assert!(
                    worst <= 0.05,
                    "{nodes} nodes, seed {seed}, killed at {kill_at}: {worst}"
                );
            }
        }
    }
}

/// A holder that survives was not told what killed nodes counted last if that datagram was lost; replicas have it.
#[test]
fn a_kill_of_most_nodes_that_spares_the_holder_leaves_every_window_within_five_percent() {
    for nodes in [4, 82] {
        for seed in 0..3 {
            let scenario = Scenario::new(nodes, Telling::Replicas, seed).kill(nodes * 3 / 5, 18_900, false);
            let worst = worst_error(lossy(scenario));
            assert!(worst <= 0.05, "{nodes} nodes, seed {seed}: {worst}");
        }
    }
}

/// The last node knew nothing of what the others had counted. Up to a hundred nodes get the sums once a second, so what is
/// lost was counted after the last digest or told to the holder after it: less than 1.4 s of a window of 5 s.
#[test]
fn the_last_node_of_all_knows_the_sums_of_the_last_digest() {
    for (nodes, bound) in [(4, 0.05), (82, 0.28)] {
        for seed in 0..3 {
            let scenario = Scenario::new(nodes, Telling::Replicas, seed).kill(nodes - 1, 18_300, true);
            let worst = worst_error(scenario);
            assert!(worst <= bound, "{nodes} nodes, seed {seed}: {worst}");
        }
    }
}

/// A process that starts again under the name of a killed one told its own counts, and its predecessor's were lost.
#[test]
fn nodes_that_run_again_within_the_window_lose_nothing_of_their_earlier_start() {
    for seed in 0..3 {
        let mut scenario = Scenario::new(82, Telling::Replicas, seed).kill(49, 16_500, true);
        scenario.restart_after = Some(1_200);
        let worst = worst_error(scenario);
        assert!(worst <= 0.05, "seed {seed}: {worst}");
    }
}

/// The successor called windows complete at once; it must not before others have told it what they told its predecessor.
#[test]
fn a_successor_that_gains_the_lease_late_reports_before_the_window_is_due() {
    for takeover_millis in [1_000, 4_500, 7_500] {
        let mut scenario = Scenario::new(82, Telling::Replicas, 7).kill(49, 20_300, true);
        scenario.takeover_millis = takeover_millis;
        let worst = worst_error(scenario);
        assert!(worst <= 0.05, "takeover after {takeover_millis} ms: {worst}");
    }
}

/// Without kills a window is reported soon after its end, and exactly; ended windows were told to all placers for 20 s.
#[test]
fn a_quiet_fleet_reports_exact_figures_for_half_the_bytes_of_earlier_builds() {
    let bytes = |outcome: &Outcome| outcome.bytes;
    let mut scenario = Scenario::new(82, Telling::Replicas, 1);
    scenario.seconds = 30;
    let earlier = play(Scenario {
        telling: Telling::Placers,
        ..scenario.clone()
    });
    let outcome = play(scenario);
    for window in outcome.due(30) {
        assert_eq!(outcome.error(window), Some(0.0), "{window}");
        assert!(outcome.complete[&window], "{window}");
    }
    assert!(
        bytes(&outcome) * 2 < bytes(&earlier),
        "{} of {}",
        bytes(&outcome),
        bytes(&earlier)
    );
}

/// Nodes that were killed, and those of builds that drop the datagrams, would remain replicas for ever and keep nothing.
#[test]
fn replicas_that_do_not_acknowledge_are_replaced() {
    let handle = |number: u64| SubjectHandle::of_number(number << 40);
    let candidates: Vec<SubjectHandle> = (1..=40).map(handle).collect();
    let own = Incarnation {
        node: NodeId::new("n"),
        start: 1,
    };
    let mut counter = UsageCounter::new(usage_world::LENGTH);
    let tally = UsageTally::new(usage_world::LENGTH);
    let mut replicator = UsageReplicator::new(handle(99), own);
    let mut told = BTreeSet::new();
    for millis in (0..60_000).step_by(200) {
        let unix = usage_world::START.later(Duration::from_millis(millis));
        counter.count(&TenantId::new("a"), unix);
        let input = ReplicationInput {
            candidates: &candidates,
            last: false,
            unix,
            now: MonotonicTime::from_millis(millis),
        };
        let dispatches = replicator.dispatches(&mut counter, &tally, &input);
        let last: BTreeSet<SubjectHandle> = dispatches.iter().map(|dispatch| dispatch.to).collect();
        assert!(last.len() <= REPLICAS, "{} receivers in a round", last.len());
        told.extend(last);
        // The first twenty live.
        for dispatch in dispatches {
            let ended = dispatch.batch.words.iter().filter(|word| word.ended);
            let ack = UsageAck {
                from: dispatch.to,
                start: 1,
                ended: ended.map(|word| (word.window, word.total)).collect(),
            };
            if candidates[..20].contains(&dispatch.to) && !ack.ended.is_empty() {
                replicator.on_ack(&ack);
            }
        }
    }
    assert!(told.len() > REPLICAS, "some were replaced");
    let now = MonotonicTime::from_millis(60_000);
    let input = ReplicationInput {
        candidates: &candidates,
        last: true,
        unix: usage_world::START.later(Duration::from_millis(60_000)),
        now,
    };
    counter.count(&TenantId::new("a"), input.unix);
    let last = replicator.dispatches(&mut counter, &tally, &input);
    let alive = last
        .iter()
        .filter(|dispatch| candidates[..20].contains(&dispatch.to));
    assert!(alive.count() >= REPLICAS - 2, "nearly all replicas live");
    assert!(
        !replicator.hears_holder(now),
        "the placers are told where no digest is heard"
    );
}

/// During an upgrade counts would be lost between nodes that tell replicas and those that know only placers.
#[test]
fn two_builds_side_by_side_report_exact_figures_whichever_holds_the_lease() {
    for remainder in [0, 1] {
        let mut scenario = Scenario::new(30, Telling::Replicas, 3);
        // The first holder is node 0, of the earlier build where even ones are.
        scenario.earlier = (0..30).filter(|number| number % 2 == remainder).collect();
        scenario.seconds = 30;
        let outcome = play(scenario);
        for window in outcome.due(30) {
            assert_eq!(outcome.error(window), Some(0.0), "{window}, earlier {remainder}");
        }
    }
}
