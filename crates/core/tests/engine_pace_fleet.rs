//! A simulated fleet of engines with different lasting paces and momentary slowdowns: more requests are in time if routing
//! takes the paces into account.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

mod pace_world;
mod pool_support;

use pace_world::{Outcome, Scenario, simulate};
use shelfjunction_core::routing::pool::{EnginePaceUse, PoolWeights};

/// Maximum number of requests at one engine, over the mean; a fast engine among slow ones serves several times the mean.
const MAX_BUSIEST_OVER_MEAN: f64 = 8.0;

fn scenario(placers: usize) -> Scenario {
    Scenario {
        placers,
        engines: (20, 40),
        lasting: vec![0.5, 1.0, 1.6, 0.7, 2.5, 1.2, 0.9],
        slow_share: 0.15,
        slow_factor: 2.5,
        slow_millis: 600,
        rate: 120.0,
        seconds: 30,
        message_loss: 0.0,
        invalid_report: None,
        pace_use: EnginePaceUse::WhereReported,
        output_time: PoolWeights::default().output_time,
        seed: 27,
    }
}

fn simulate_with(pace_use: EnginePaceUse, scenario: &Scenario) -> Outcome {
    let scenario = Scenario {
        pace_use,
        ..scenario.clone()
    };
    let outcome = simulate(&scenario);
    println!(
        "{pace_use:?}: share in time {:.3}, {outcome:?}",
        outcome.share_in_time()
    );
    outcome
}

fn compare(scenario: &Scenario) -> (Outcome, Outcome) {
    println!("{scenario:?}");
    (
        simulate_with(EnginePaceUse::Off, scenario),
        simulate_with(EnginePaceUse::WhereReported, scenario),
    )
}

#[test]
fn paces_increase_the_share_in_time() {
    for (slow_share, slow_factor, slow_millis) in [(0.15, 2.5, 600), (0.1, 4.0, 300), (0.25, 2.0, 1_000)] {
        let scenario = Scenario {
            slow_share,
            slow_factor,
            slow_millis,
            ..scenario(8)
        };
        let (without_paces, with_paces) = compare(&scenario);
        assert!(with_paces.share_in_time() > without_paces.share_in_time() + 0.01);
        assert!(with_paces.busiest_over_mean < MAX_BUSIEST_OVER_MEAN);
    }
}

#[test]
fn paces_increase_the_share_in_time_with_more_or_fewer_placers() {
    for nodes in [6, 16] {
        let (without_paces, with_paces) = compare(&scenario(nodes));
        assert!(with_paces.share_in_time() > without_paces.share_in_time() + 0.01);
        assert!(with_paces.busiest_over_mean < MAX_BUSIEST_OVER_MEAN);
    }
}

#[test]
fn pace_reports_stay_small() {
    // The number of placers is the same in both fleets; reports grow with the engines and requests.
    for (engines, rate) in [((20, 40), 120.0), ((50, 100), 400.0)] {
        let scenario = Scenario {
            engines,
            rate,
            seconds: 10,
            ..scenario(8)
        };
        let outcome = simulate_with(EnginePaceUse::WhereReported, &scenario);
        assert!(outcome.pace_bytes < 1_500.0);
    }
}

#[test]
fn lost_reports_have_little_effect() {
    let lossless = simulate_with(EnginePaceUse::WhereReported, &scenario(8));
    let lossy = Scenario {
        message_loss: 0.3,
        ..scenario(8)
    };
    let with_loss = simulate_with(EnginePaceUse::WhereReported, &lossy);
    assert!(with_loss.share_in_time() > lossless.share_in_time() - 0.02);
}

#[test]
fn implausible_reports_leave_routing_unchanged() {
    for invalid_report in [0, 1_000_000] {
        let scenario = Scenario {
            invalid_report: Some(invalid_report),
            ..scenario(8)
        };
        let (without_paces, with_paces) = compare(&scenario);
        assert_eq!(with_paces.in_time, without_paces.in_time);
        assert_eq!(with_paces.requests, without_paces.requests);
    }
}

#[test]
fn paces_do_no_harm_if_all_engines_are_equally_fast() {
    let scenario = Scenario {
        lasting: vec![1.0],
        slow_share: 0.0,
        ..scenario(8)
    };
    let (without_paces, with_paces) = compare(&scenario);
    assert!(with_paces.share_in_time() > without_paces.share_in_time() - 0.005);
    assert!(with_paces.busiest_over_mean < 1.2 * without_paces.busiest_over_mean);
}

#[test]
fn paces_increase_the_share_in_time_near_the_capacity_of_the_fleet() {
    for rate in [300.0, 350.0] {
        let (without_paces, with_paces) = compare(&Scenario { rate, ..scenario(8) });
        assert!(with_paces.share_in_time() > without_paces.share_in_time());
    }
}
