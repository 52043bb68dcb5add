//! A fleet whose engines differ for good and whose machines turn slow for moments, served with and without telling the
//! two apart.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod pace_world;
mod pool_support;

use pace_world::{Result, World, play};
use shelfjunction_core::routing::pool::{EnginePaceUse, PoolWeights};

/// Most requests at one engine, over the mean: a quick engine among slow ones takes several times as many.
const MOST_AT_ONE: f64 = 8.0;

fn world(placers: usize) -> World {
    World {
        placers,
        engines: (20, 40),
        lasting: vec![0.5, 1.0, 1.6, 0.7, 2.5, 1.2, 0.9],
        slow_share: 0.15,
        slow_factor: 2.5,
        slow_millis: 600,
        rate: 120.0,
        seconds: 30,
        lost: 0.0,
        nonsense: None,
        pace_use: EnginePaceUse::WhereReported,
        output_time: PoolWeights::default().output_time,
        seed: 27,
    }
}

fn with(pace_use: EnginePaceUse, world: &World) -> Result {
    let world = World {
        pace_use,
        ..world.clone()
    };
    let result = play(&world);
    println!("{pace_use:?}: share in time {:.3}, {result:?}", result.share());
    result
}

fn compare(world: &World) -> (Result, Result) {
    println!("{world:?}");
    (
        with(EnginePaceUse::Off, world),
        with(EnginePaceUse::WhereReported, world),
    )
}

#[test]
fn more_requests_are_in_time_where_the_two_are_told_apart() {
    for (slow_share, slow_factor, slow_millis) in [(0.15, 2.5, 600), (0.1, 4.0, 300), (0.25, 2.0, 1_000)] {
        let world = World {
            slow_share,
            slow_factor,
            slow_millis,
            ..world(8)
        };
        let (before, after) = compare(&world);
        assert!(after.share() > before.share() + 0.01);
        assert!(after.busiest < MOST_AT_ONE);
    }
}

#[test]
fn fleets_in_which_each_node_chooses_gain_too() {
    for nodes in [6, 16] {
        let (before, after) = compare(&world(nodes));
        assert!(after.share() > before.share() + 0.01);
        assert!(after.busiest < MOST_AT_ONE);
    }
}

#[test]
fn words_about_paces_stay_small() {
    // In fleets of 66 and of 300 nodes the same eight choose; what each tells grows with engines and requests.
    for (engines, rate) in [((20, 40), 120.0), ((50, 100), 400.0)] {
        let world = World {
            engines,
            rate,
            seconds: 10,
            ..world(8)
        };
        let result = with(EnginePaceUse::WhereReported, &world);
        assert!(result.pace_bytes < 1_500.0);
    }
}

#[test]
fn lost_words_cost_little() {
    let whole = with(EnginePaceUse::WhereReported, &world(8));
    let lossy = World {
        lost: 0.3,
        ..world(8)
    };
    let lost = with(EnginePaceUse::WhereReported, &lossy);
    assert!(lost.share() > whole.share() - 0.02);
}

#[test]
fn engines_that_tell_nonsense_are_served_as_before() {
    for nonsense in [0, 1_000_000] {
        let world = World {
            nonsense: Some(nonsense),
            ..world(8)
        };
        let (before, after) = compare(&world);
        assert_eq!(after.in_time, before.in_time);
        assert_eq!(after.requests, before.requests);
    }
}

#[test]
fn engines_that_are_alike_and_never_slow_lose_nothing() {
    let world = World {
        lasting: vec![1.0],
        slow_share: 0.0,
        ..world(8)
    };
    let (before, after) = compare(&world);
    assert!(after.share() > before.share() - 0.005);
    assert!(after.busiest < 1.2 * before.busiest);
}

#[test]
fn where_load_is_near_what_the_fleet_can_do_more_are_in_time_too() {
    for rate in [300.0, 350.0] {
        let (before, after) = compare(&World { rate, ..world(8) });
        assert!(after.share() > before.share());
    }
}
