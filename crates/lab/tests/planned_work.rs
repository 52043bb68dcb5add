//! What the fault soak says of requests that planned work cuts.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::oracle::Violation;
use shelfjunction_lab::fault_soak::planned_work::{StopRecord, draw, draw_silences, judge};
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use shelfjunction_lab::fault_soak::schedule::Targets;
use std::collections::BTreeSet;
use std::time::Duration;

const NODE: usize = 1;

/// A request that was sent and cut at these milliseconds from the start of the callers.
fn cut_call(sent: u64, ended: u64) -> SeenCall {
    SeenCall {
        request: "mine".to_owned(),
        kind: CallKind::Again,
        node: NODE,
        sent_at: Duration::from_millis(sent),
        took: Duration::from_millis(ended - sent),
        answer: Some(SeenAnswer {
            status: 200,
            request: Some("mine".to_owned()),
            signature: Some("signed".to_owned()),
            body: "id: 1\ndata: 1\n\n".to_owned(),
            whole: false,
        }),
    }
}

fn stop_at(node: usize, millis: u64) -> StopRecord {
    StopRecord {
        node,
        at: Duration::from_millis(millis),
    }
}

fn reached() -> BTreeSet<String> {
    BTreeSet::from(["mine".to_owned()])
}

fn is_cut(call: SeenCall, stops: &[StopRecord]) -> bool {
    let (count, violations) = judge(&[call], &reached(), stops);
    assert_eq!(count.reached, 1);
    assert_eq!(count.cut + count.allowed, 1);
    assert_eq!(violations.len(), count.cut);
    !violations.is_empty()
}

#[test]
fn a_request_that_is_cut_after_it_reached_an_engine_is_found() {
    let (_, violations) = judge(&[cut_call(0, 2_000)], &reached(), &[]);
    assert_eq!(violations, [Violation::CutOff("mine".to_owned())]);
    let unanswered = SeenCall {
        answer: None,
        ..cut_call(0, 2_000)
    };
    assert!(is_cut(unanswered, &[]));
}

#[test]
fn a_request_that_is_whole_or_reached_no_engine_is_not_cut() {
    let mut whole = cut_call(0, 2_000);
    whole.answer.as_mut().unwrap().whole = true;
    assert!(judge(&[whole], &reached(), &[]).1.is_empty());
    assert!(judge(&[cut_call(0, 2_000)], &BTreeSet::new(), &[]).1.is_empty());
}

#[test]
fn a_cut_in_the_last_sixth_of_the_grace_is_allowed_where_the_request_was_sent_early_enough() {
    let stop = [stop_at(NODE, 1_000)];
    assert!(!is_cut(cut_call(3_900, 7_700), &stop));
    assert!(is_cut(cut_call(3_900, 7_600), &stop), "before the last sixth");
    assert!(is_cut(cut_call(4_100, 7_900), &stop), "sent too late");
    assert!(
        is_cut(cut_call(3_900, 7_700), &[stop_at(0, 1_000)]),
        "another node"
    );
}

#[test]
fn a_request_whose_deadline_has_passed_is_not_cut() {
    assert!(!is_cut(cut_call(0, 4_000), &[]));
}

#[test]
fn a_request_of_a_caller_bound_to_a_node_is_judged_by_its_own_deadline() {
    let of_bound = |ended| SeenCall {
        request: "bound0-1".to_owned(),
        ..cut_call(0, ended)
    };
    let reached = BTreeSet::from(["bound0-1".to_owned()]);
    let cut = |ended| judge(&[of_bound(ended)], &reached, &[]).0.cut;
    assert_eq!((cut(900), cut(1_000)), (1, 0));
}

#[test]
fn unread_requests_are_counted_only_on_connections_that_were_to_stay_open() {
    let unanswered = |request: &str| SeenCall {
        request: request.to_owned(),
        answer: None,
        ..cut_call(0, 10)
    };
    let calls = [
        unanswered("bound0-1"),
        unanswered("bound0-2-heedless"),
        unanswered("mine"),
    ];
    let (count, violations) = judge(&calls, &BTreeSet::new(), &[]);
    assert_eq!((count.unread, violations), (1, Vec::new()));
}

#[test]
fn the_same_seed_gives_the_same_planned_work() {
    let targets = Targets {
        nodes: 4,
        engines: 8,
        regions: 1,
    };
    let of = |seed| draw(seed, Duration::from_secs(10), targets);
    assert_eq!(of(1), of(1));
    assert_ne!(of(1), of(2));
    let silences = |seed| draw_silences(seed, Duration::from_secs(10), targets);
    assert_eq!(silences(1), silences(1));
    assert_ne!(silences(1), silences(2));
}
