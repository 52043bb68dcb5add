//! The recording under `examples/` ends as it states, and a wrong statement is noticed.
#![allow(clippy::unwrap_used)]

use shelfjunction_lab::replay::trace::{StatedOutcome, Trace};
use shelfjunction_lab::replay::{ReplayError, ReplayedCall, run};

const RECORDING: &str = include_str!("../../../examples/traces/pharmacy.json");

#[test]
fn the_recorded_calls_end_as_stated_and_a_wrong_statement_is_noticed() {
    let mut trace: Trace = serde_json::from_str(RECORDING).unwrap();
    let last = trace.calls.len() - 1;
    trace.calls[last].expect = StatedOutcome::Completed;
    let replayed = run(&trace).unwrap();
    let wrong: Vec<&ReplayedCall> = replayed.iter().filter(|call| !call.holds()).collect();
    assert_eq!(wrong, [&replayed[last]]);
}

#[test]
fn a_call_to_a_zone_that_does_not_exist_is_refused_before_anything_starts() {
    let mut trace: Trace = serde_json::from_str(RECORDING).unwrap();
    trace.calls[0].zone.0 = "nowhere".to_owned();
    assert!(matches!(run(&trace), Err(ReplayError::Zone(zone)) if zone == "nowhere"));
}
