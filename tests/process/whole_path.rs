//! A request through real programs, and what engines ran of it.

use crate::harness::deployment::{Processes, SMALL_ZONES};
use shelfjunction_lab::caller::CallResult;

#[test]
fn every_gateway_serves_and_a_key_runs_once() {
    let running = Processes::start(SMALL_ZONES);
    let call = running.model_call("history of one patient", 12);
    let expected = running.expected_text(&call);
    for gateway in 0..running.gateways.len() {
        let answer = running.call(gateway, "norrapotek", &call).unwrap();
        assert_eq!(answer.read_to_end(), (expected.clone(), CallResult::Completed));
    }

    let keyed = running.application_call("dispatch one parcel", "dispatch-1");
    let first = running.call(0, "norrapotek", &keyed).unwrap();
    let request = first.request().unwrap().to_owned();
    let (text, result) = first.read_to_end();
    assert_eq!(result, CallResult::Completed);
    for gateway in 0..running.gateways.len() {
        let again = running.call(gateway, "norrapotek", &keyed).unwrap();
        assert_eq!(again.read_to_end(), (text.clone(), CallResult::Completed));
    }
    assert_eq!(running.runs_of(&request), 1);

    let foreign = running.application_call("another body", "dispatch-1");
    let refused = running.call(1, "norrapotek", &foreign).unwrap_err().result;
    assert!(matches!(refused, CallResult::NotRun { .. }), "{refused:?}");

    let refused = running
        .call_with_token(0, "no such token", &call)
        .unwrap_err()
        .result;
    assert!(matches!(refused, CallResult::NotRun { .. }), "{refused:?}");
}
