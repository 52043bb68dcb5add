//! The judge of what callers get at a node to which most new connections come.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::crowding::{CONTACT, CrowdedSpan, count, judge};
use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::late_readers::Quiet;
use shelfjunction_lab::fault_soak::oracle::Violation;
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use std::time::Duration;

fn call(node: usize, at: u64, is_served: bool) -> SeenCall {
    SeenCall {
        request: "caller1-1".to_owned(),
        kind: CallKind::Look,
        node,
        sent_at: Duration::from_millis(at),
        took: Duration::from_millis(10),
        answer: is_served.then(|| SeenAnswer {
            status: 200,
            request: None,
            signature: None,
            body: String::new(),
            whole: true,
        }),
    }
}

/// Forty requests before node 2 is crowded, all served; then so many of forty there, from the contact time on.
fn calls(served: u64) -> Vec<SeenCall> {
    let from = 10_000 + CONTACT.as_millis() as u64;
    let before = (0..40).map(|number| call(number as usize % 4, number * 100, true));
    let crowded = (0..40).map(|number| call(2, from + number * 20, number < served));
    before.chain(crowded).collect()
}

fn judged(calls: &[SeenCall], disturbances: &Disturbances) -> Vec<Violation> {
    let span = CrowdedSpan {
        node: 2,
        from: Duration::from_secs(10),
        until: Duration::from_secs(20),
    };
    let quiet = Quiet {
        disturbances,
        crashes: &[],
    };
    judge(&count(&[span], calls, &quiet))
}

#[test]
fn a_crowded_node_that_serves_less_than_three_quarters_as_often_is_found() {
    let none = Disturbances::default();
    assert!(matches!(
        judged(&calls(29), &none).as_slice(),
        [Violation::UnservedAtCrowdedNode(found)] if (found.crowded.served, found.crowded.sent) == (29, 40)
    ));
    assert_eq!(judged(&calls(30), &none), []);
}

#[test]
fn requests_at_other_nodes_before_the_contact_time_or_beside_faults_are_not_judged() {
    let none = Disturbances::default();
    let early: Vec<SeenCall> = (0..40)
        .map(|number| call(2, 10_000 + number * 20, false))
        .collect();
    let elsewhere = (0..40).map(|number| call(1, 14_000 + number * 20, false));
    let all: Vec<SeenCall> = calls(40).into_iter().chain(early).chain(elsewhere).collect();
    assert_eq!(judged(&all, &none), []);
    let struck = Disturbances::default();
    struck.begin(Struck::All, Duration::from_secs(12));
    assert_eq!(judged(&calls(0), &struck), []);
}
