//! The judge of requests at nodes that were partitioned from all engines.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::partitions::{Partition, count, judge};
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use std::collections::BTreeSet;
use std::time::Duration;

fn call(node: usize, millis: u64, status: u16) -> SeenCall {
    SeenCall {
        request: format!("caller{node}-{millis}"),
        kind: CallKind::Look,
        node,
        sent_at: Duration::from_millis(millis),
        took: Duration::from_millis(10),
        answer: Some(SeenAnswer {
            status,
            request: None,
            signature: None,
            body: String::new(),
            whole: true,
        }),
    }
}

fn partition() -> Partition {
    Partition {
        nodes: BTreeSet::from([0]),
        from: Duration::from_secs(10),
        until: Duration::from_secs(20),
    }
}

/// A call each 100 ms to the cut-off node and to another.
fn calls(status_of_cut_off: impl Fn(u64) -> u16, status_of_other: impl Fn(u64) -> u16) -> Vec<SeenCall> {
    let instants = (10_000..20_000).step_by(100);
    instants
        .flat_map(|at| {
            [
                call(0, at, status_of_cut_off(at)),
                call(1, at, status_of_other(at)),
            ]
        })
        .collect()
}

#[test]
fn a_node_that_serves_nobody_while_others_do_is_found() {
    let calls = calls(|_| 503, |_| 200);
    let found = judge(&[partition()], &calls, &Disturbances::default());
    assert_eq!(found.len(), 1);
    assert_eq!((found[0].cut_off.served, found[0].others.served), (0, 70));
}

#[test]
fn the_time_in_which_a_node_has_to_know_is_not_judged() {
    let calls = calls(|at| if at < 13_000 { 503 } else { 200 }, |_| 200);
    assert_eq!(judge(&[partition()], &calls, &Disturbances::default()), []);
    assert_eq!(count(&[partition()], &calls).cut_off.served, 70);
}

#[test]
fn requests_that_fail_at_the_others_as_well_are_not_the_partitions() {
    let calls = calls(|_| 503, |_| 503);
    assert_eq!(judge(&[partition()], &calls, &Disturbances::default()), []);
    let late = self::calls(|at| if at < 16_000 { 200 } else { 503 }, |_| 200)
        .into_iter()
        .filter(|call| call.node == 0 || call.sent_at < Duration::from_secs(16))
        .collect::<Vec<_>>();
    assert_eq!(
        judge(&[partition()], &late, &Disturbances::default()),
        [],
        "nobody was asked at the others meanwhile"
    );
}

#[test]
fn nodes_that_something_else_struck_are_not_judged() {
    let disturbances = Disturbances::default();
    disturbances.begin(Struck::Node(0), Duration::from_secs(11));
    assert_eq!(judge(&[partition()], &calls(|_| 503, |_| 200), &disturbances), []);
}
