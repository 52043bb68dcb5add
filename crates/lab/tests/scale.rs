//! A small scale run: everyone comes to know everything, and no figure is missing. No time is asserted.
#![allow(clippy::unwrap_used)]

use shelfjunction_lab::scale::fit::Line;
use shelfjunction_lab::scale::{ScaleOptions, plot, report, run};

#[test]
fn a_small_fleet_learns_of_every_change() {
    let results = run(&ScaleOptions::small()).unwrap();
    let result = &results[0];
    assert!(
        result.joined.is_some(),
        "not everyone came to know the fleet: {result:#?}"
    );
    assert!(
        result.bundle_in_force.is_some(),
        "the bundle did not come into force everywhere"
    );
    assert!(
        result.leaving_known.is_some() && result.new_known.is_some(),
        "{result:#?}"
    );
    assert!(
        result.dead_engine_known.is_some() && result.dead_node_known.is_some(),
        "{result:#?}"
    );
    assert!(
        result.agreed_after_cut.is_some(),
        "the zones did not agree after the cut"
    );
    assert!(result.restart_known.is_some(), "a restarted node stayed unknown");
    assert!(result.steady.bytes.mean > 0.0 && result.steady.questions.mean > 0.0);
    assert!(report::markdown(&results).contains("| 14 |"));
    assert!(plot::svg(&results).unwrap().contains("<svg"));
}

#[test]
fn a_line_through_points_of_a_line_is_that_line() {
    let points: Vec<(f64, f64)> = [25.0, 50.0, 410.0].map(|x| (x, 7.0 + 0.5 * x)).to_vec();
    let line = Line::through(&points).unwrap();
    assert!(
        (line.start - 7.0).abs() < 1e-9 && (line.slope - 0.5).abs() < 1e-9,
        "{line:?}"
    );
    assert!((line.at(100.0) - 57.0).abs() < 1e-9);
}
