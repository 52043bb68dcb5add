//! The judge of sound requests that share parts with requests that crash engines.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::crashes::{CONTACT, CrashingArrival};
use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::late_readers::Quiet;
use shelfjunction_lab::fault_soak::oracle::Violation;
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use shelfjunction_lab::fault_soak::sharers::{Began, count, judge};
use shelfjunction_lab::users_platform::CrashCause;
use std::time::Duration;

fn call(request: &str, at: u64, has_begun: bool) -> SeenCall {
    SeenCall {
        request: request.to_owned(),
        kind: CallKind::Again,
        node: 0,
        sent_at: Duration::from_millis(at),
        took: Duration::from_millis(100),
        answer: Some(SeenAnswer {
            status: if has_begun { 200 } else { 503 },
            request: Some(request.to_owned()),
            signature: None,
            body: if has_begun {
                "id: 1\ndata: 1\n\n".to_owned()
            } else {
                String::new()
            },
            whole: true,
        }),
    }
}

/// Crashes under the part of group 0 at seconds 10 to 14.
fn crashes() -> Vec<CrashingArrival> {
    let crash = |number: u64| CrashingArrival {
        cause: CrashCause::Part("bad0".to_owned()),
        request: "part-crasher0-0-1-0".to_owned(),
        engine: format!("engine-{number}"),
        crashed: true,
        at: Duration::from_secs(10 + number),
    };
    (0..5).map(crash).collect()
}

/// Thirty sound requests in calm that begin, thirty from twice the contact time after the fifth crash of which so many begin, and
/// requests with the part until the end.
fn calls(late_begun: usize) -> Vec<SeenCall> {
    let from = 14_000 + 2 * CONTACT.as_millis() as u64;
    let calm = (0..30).map(|number| call("sharer0-1-1-0", number * 100, true));
    let late = (0..30).map(|number| {
        call(
            "sharer0-1-2-0",
            from + number * 100,
            (number as usize) < late_begun,
        )
    });
    let last = call("part-crasher0-0-9-0", from + 4_000, false);
    calm.chain(late).chain([last]).collect()
}

fn judged(calls: &[SeenCall], disturbances: &Disturbances) -> Vec<Violation> {
    let crashing = crashes();
    let times: Vec<Duration> = crashing.iter().map(|arrival| arrival.at).collect();
    let quiet = Quiet {
        disturbances,
        crashes: &times,
    };
    judge(&count(calls, &crashing, &quiet))
}

#[test]
fn sound_requests_that_begin_less_than_half_as_often_are_found() {
    let none = Disturbances::default();
    let expected = Violation::SoundRequestsWithheld {
        part: "bad0".to_owned(),
        calm: Began { sent: 30, began: 30 },
        late: Began { sent: 30, began: 14 },
    };
    assert_eq!(judged(&calls(14), &none), [expected]);
    assert_eq!(judged(&calls(15), &none), []);
}

#[test]
fn only_nodes_in_touch_and_the_time_while_the_part_comes_are_judged() {
    let struck = Disturbances::default();
    struck.begin(Struck::Node(0), Duration::from_secs(19));
    assert_eq!(judged(&calls(0), &struck), []);
    let without_the_part: Vec<SeenCall> = calls(0)
        .into_iter()
        .filter(|call| call.request.starts_with("sharer"))
        .collect();
    assert_eq!(judged(&without_the_part, &Disturbances::default()), []);
    let few: Vec<SeenCall> = calls(0).into_iter().skip(11).collect();
    assert_eq!(judged(&few, &Disturbances::default()), [], "too few in calm");
}
