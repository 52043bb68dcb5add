//! The platform is out, or frozen, for everybody.

use crate::harness::deployment::{Processes, SMALL_ZONES};
use rustix::process::Signal;
use shelfjunction_lab::caller::CallResult;
use shelfjunction_lab::platform::faults::PlatformFaults;

/// What a keyed call is told while nobody can tell whether an earlier call with its key ran; the time to come back is
/// stated.
fn unread_ledger() -> CallResult {
    CallResult::Unknown {
        code: "ledger_unavailable".to_owned(),
        retry_after: true,
    }
}

#[test]
fn an_outage_refuses_keyed_calls_and_serves_the_others() {
    let running = Processes::start(SMALL_ZONES);
    running.set_platform_faults(PlatformFaults::outage());
    let keyed = running.application_call("dispatch one parcel", "dispatch-1");
    let unkeyed = running.model_call("history of one patient", 12);
    for gateway in 0..running.gateways.len() {
        let refused = running.call(gateway, "norrapotek", &keyed).unwrap_err();
        assert_eq!(refused.result, unread_ledger());
        let answer = running.call(gateway, "norrapotek", &unkeyed).unwrap();
        let expected = (running.expected_text(&unkeyed), CallResult::Completed);
        assert_eq!(answer.read_to_end(), expected);
    }
    let applications = running.application_runs();
    let readiness_runs = running.gateways.len();
    assert_eq!(applications, readiness_runs, "a call that was refused has run");

    running.set_platform_faults(PlatformFaults::default());
    let answer = running.call(0, "norrapotek", &keyed).unwrap();
    assert_eq!(answer.read_to_end().1, CallResult::Completed);
    assert_eq!(running.application_runs(), readiness_runs + 1);
}

/// Nobody can tell what a frozen platform will do when it wakes; what needs it is refused all the same.
#[test]
fn a_frozen_platform_is_an_outage_too() {
    let running = Processes::start(SMALL_ZONES);
    let readiness_runs = running.gateways.len();
    running.platform.signal(Signal::STOP);
    let keyed = running.application_call("dispatch one parcel", "dispatch-1");
    let refused = running.call(0, "norrapotek", &keyed).unwrap_err();
    assert_eq!(refused.result, unread_ledger());
    let unkeyed = running.model_call("history of one patient", 12);
    let answer = running.call(0, "norrapotek", &unkeyed).unwrap();
    let expected = (running.expected_text(&unkeyed), CallResult::Completed);
    assert_eq!(answer.read_to_end(), expected);
    assert_eq!(running.application_runs(), readiness_runs);
}

/// A frozen platform may still commit, when it wakes, what it was sent before it was given up.
#[test]
fn a_claim_that_a_frozen_platform_commits_late_neither_runs_twice_nor_blocks_its_key() {
    let running = Processes::start(SMALL_ZONES);
    let readiness_runs = running.gateways.len();
    running.platform.signal(Signal::STOP);
    let keyed = running.application_call("dispatch one parcel", "dispatch-1");
    for gateway in 0..running.gateways.len() {
        let refused = running.call(gateway, "norrapotek", &keyed).unwrap_err();
        assert_eq!(refused.result, unread_ledger());
    }
    let unkeyed = running.model_call("history of one patient", 12);
    let answer = running.call(0, "norrapotek", &unkeyed).unwrap();
    let expected = (running.expected_text(&unkeyed), CallResult::Completed);
    assert_eq!(answer.read_to_end(), expected);
    assert_eq!(running.application_runs(), readiness_runs);

    running.platform.signal(Signal::CONT);
    for gateway in 0..running.gateways.len() {
        let answer = running.call(gateway, "norrapotek", &keyed).unwrap();
        assert_eq!(answer.read_to_end().1, CallResult::Completed);
    }
    assert_eq!(running.application_runs(), readiness_runs + 1);
}
