//! Spillover between regions in virtual time, and its rules one by one.

#![allow(clippy::unwrap_used)]

mod pool_support;
mod spill_world;

use shelfjunction_core::placing::question::{DispatchProgress, Placement, ProgressReport};
use shelfjunction_core::routing::pool::PoolAdmission;
use shelfjunction_core::spill::config::SpillSettings;
use shelfjunction_core::time::MonotonicTime;
use spill_world::{ENGINE_RATE, Fate, Link, Load, World, new_placer, query};
use std::time::Duration;

/// The link of deployment A: 12 ms one way.
const LINK: Link = Link {
    delay_micros: 12_000,
    lost: 0.0,
    twice: 0.0,
};

/// A lossy link.
const LOSSY: Link = Link {
    lost: 0.1,
    twice: 0.1,
    ..LINK
};

/// Loss of everything.
const CUT: Link = Link { lost: 1.0, ..LINK };

const ENGINES: usize = 6;

/// A region whose demand is this part of its capacity.
fn load(part: f64) -> Load {
    Load {
        engines: ENGINES,
        rate: part * ENGINES as f64 * ENGINE_RATE,
    }
}

fn in_time(fate: &Fate) -> bool {
    fate.in_time
}

fn away(fate: &Fate) -> bool {
    fate.served_by.is_some_and(|by| by != fate.home)
}

/// Plays twelve seconds with and without spillover.
fn compare(loads: &[Load], nodes: usize, link: Link, change: impl Fn(&mut World)) -> [World; 2] {
    [true, false].map(|spills| {
        let mut world = World::new(loads, nodes, spills);
        world.link_all(link);
        change(&mut world);
        world.run_until(12_000);
        world
    })
}

/// Fails if a neighbour's own requests are served worse than without spillover, by more than 3 in a hundred.
fn assert_undisturbed(worlds: &[World; 2], home: usize) {
    let [with, without] = worlds
        .each_ref()
        .map(|world| world.share(home, 1_000..11_000, in_time));
    assert!(
        with > without - 0.03,
        "region {home}: {with} of {without} in time"
    );
}

/// Guards against load that swings between regions, and against a neighbour flooded by an overloaded region.
#[test]
fn an_overloaded_region_hands_over_a_steady_part_without_harm_to_its_neighbours() {
    for (regions, nodes) in [(2, 1), (2, 8), (2, 75), (3, 75), (3, 300)] {
        let mut loads = vec![load(0.4); regions];
        loads[0] = load(1.6);
        let worlds = compare(&loads, nodes, LINK, |_| {});
        let [with, without] = worlds
            .each_ref()
            .map(|world| world.share(0, 1_000..11_000, in_time));
        assert!(
            with > without + 0.15,
            "{regions} regions, {nodes} nodes: {with} of {without}"
        );
        println!("{regions} regions, {nodes} nodes: {with:.3} in time, {without:.3} alone");
        let parts: Vec<f64> = (2..11)
            .map(|second| worlds[0].share(0, second * 1_000..second * 1_000 + 1_000, away))
            .collect();
        let mean = parts.iter().sum::<f64>() / parts.len() as f64;
        let steady = parts.iter().all(|part| (0.5..1.5).contains(&(part / mean)));
        assert!(steady, "{regions} regions, {nodes} nodes: {parts:.2?}");
        for neighbour in 1..regions {
            assert_undisturbed(&worlds, neighbour);
            assert!(worlds[0].share(neighbour, 0..11_000, away) < 0.01);
        }
    }
}

/// Guards against a flood of questions and of accepted requests from a region far beyond its capacity.
#[test]
fn a_region_with_five_times_its_capacity_does_not_harm_a_busy_neighbour() {
    for nodes in [1, 75, 300] {
        let worlds = compare(&[load(5.0), load(0.8)], nodes, LINK, |_| {});
        assert_undisturbed(&worlds, 1);
    }
}

/// Guards against two regions that hand each other the load that neither can serve.
#[test]
fn two_overloaded_regions_keep_their_load() {
    for nodes in [8, 75, 300] {
        let worlds = compare(&[load(1.5), load(1.5)], nodes, LINK, |_| {});
        for region in 0..2 {
            let part = worlds[0].share(region, 1_000..11_000, away);
            assert!(part < 0.01, "{nodes} nodes: {part} away");
            assert_undisturbed(&worlds, region);
        }
    }
}

/// Guards against requests that leave a home region which has room.
#[test]
fn fewer_than_one_request_in_a_hundred_leaves_a_region_with_room() {
    for nodes in [1, 8, 75, 300] {
        let worlds = compare(&[load(0.7), load(0.3), load(0.3)], nodes, LINK, |_| {});
        let part = worlds[0].share(0, 0..11_000, away);
        assert!(part < 0.01, "{nodes} nodes: {part} away");
    }
}

/// Guards against a region that is not served after it lost its engines, and against requests that stay away after their return.
#[test]
fn a_region_without_engines_is_served_within_a_second_and_at_home_again_after_their_return() {
    for (regions, nodes, least) in [
        (2, 1, 0.85),
        (2, 8, 0.85),
        (2, 75, 0.85),
        (3, 75, 0.95),
        (3, 300, 0.95),
    ] {
        let mut world = World::new(&vec![load(0.33); regions], nodes, true);
        world.link_all(LINK);
        world.run_until(2_000);
        world.set_engines(0, false);
        world.run_until(7_000);
        world.set_engines(0, true);
        world.run_until(14_000);
        let served = world.share(0, 3_000..7_000, in_time);
        println!("{regions} regions, {nodes} nodes: {served:.3} in time without engines");
        assert!(served > least, "{regions} regions, {nodes} nodes: {served}");
        assert!(world.share(0, 12_000..13_000, away) < 0.01);
        assert!(world.share(0, 12_000..13_000, in_time) > 0.97);
        for neighbour in 1..regions {
            assert!(world.share(neighbour, 1_000..13_000, in_time) > 0.97);
        }
    }
}

/// Guards against harm by links that fail, and against a region that stays in backoff after the link is back.
#[test]
fn failing_links_cost_little_and_spillover_resumes_when_they_return() {
    let slow = Link {
        delay_micros: 200_000,
        ..LINK
    };
    let faults = [(CUT, CUT), (CUT, LINK), (LINK, CUT), (slow, slow), (LOSSY, LOSSY)];
    for (number, (there, back)) in faults.into_iter().enumerate() {
        let worlds = compare(&[load(1.6), load(0.4)], 75, LINK, |world| {
            world.links.insert((0, 1), there);
            world.links.insert((1, 0), back);
            world.run_until(6_000);
            world.link_all(LINK);
        });
        let [with, without] = worlds
            .each_ref()
            .map(|world| world.share(0, 1_000..6_000, in_time));
        assert!(with > without - 0.03, "fault {number}: {with} of {without}");
        assert_undisturbed(&worlds, 1);
        assert!(worlds[0].share(0, 11_000..12_000, away) > 0.1, "fault {number}");
    }
}

/// Guards against accepted requests that stay counted after their messages were lost or duplicated.
#[test]
fn nothing_stays_counted_after_lost_and_duplicate_messages() {
    let link = Link {
        lost: 0.3,
        twice: 0.5,
        ..LINK
    };
    let mut world = World::new(&[load(1.6), load(0.4)], 75, true);
    world.link_all(link);
    world.run_until(6_000);
    assert!(world.accepted_in_flight() > 0);
    world.stop_arrivals();
    world.run_until(11_000);
    assert_eq!(world.accepted_in_flight(), 0);
}

/// Guards against a fault of the link between regions that takes engines from the region's own requests, and against placers that name
/// engines which are avoided for now.
#[test]
fn failures_seen_from_another_region_do_not_take_a_live_engine_out_of_use() {
    let (mut router, mut table, _) = new_placer(
        0,
        2,
        Load {
            engines: 1,
            rate: 0.0,
        },
    );
    let now = MonotonicTime::from_millis(10_000);
    let (target, remaining) = (Duration::from_millis(500), Duration::from_secs(3));
    let mut place = |home, number, progress: DispatchProgress| {
        let query = query(home, number, 1, target, remaining);
        let answer = table.answer(&mut router, &query, &PoolAdmission::default(), now);
        let (key, step) = (query.key, query.step);
        table.on_progress(&mut router, &ProgressReport { key, step, progress }, now);
        answer.unwrap().placement != Placement::Nowhere
    };
    assert!(place(0, 1, DispatchProgress::Started { reported_load: None }));
    assert!(place(1, 2, DispatchProgress::ConnectionFailed));
    assert!(place(1, 3, DispatchProgress::Unresponsive));
    assert!(place(0, 4, DispatchProgress::ConnectionFailed));
    assert!(!place(0, 5, DispatchProgress::Abandoned), "the engine is avoided");
}

/// Guards against settings that would stop spillover or never end a backoff.
#[test]
fn invalid_settings_are_reported() {
    let settings = SpillSettings {
        share: 0.0,
        queue_millis: 0,
        backoff_millis: 500,
        max_silence_backoff_millis: 100,
        ..SpillSettings::default()
    };
    let fields: Vec<String> = settings.validate().into_iter().map(|error| error.field).collect();
    assert_eq!(
        fields,
        [
            "spill.queue_millis",
            "spill.max_silence_backoff_millis",
            "spill.share"
        ]
    );
    assert!(SpillSettings::default().validate().is_empty());
}
