//! The fault soak's judgement of the rate limits that engines name.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::oracle::Violation;
use shelfjunction_lab::fault_soak::rate_limits::{self, LimitSpan};
use shelfjunction_lab::fault_soak::rated_callers;
use shelfjunction_lab::fault_soak::record::{CallKind, SeenAnswer, SeenCall};
use shelfjunction_lab::fault_soak::spoilt::EngineArrival;
use std::time::Duration;

#[test]
fn more_than_a_rate_limit_allows_is_found_from_nodes_that_could_know() {
    let span = LimitSpan {
        engine: "engine-1@1".to_owned(),
        requests_per_second: 1.0,
        from: Duration::from_secs(10),
        until: Some(Duration::from_secs(30)),
    };
    // Three a second, from the moment at which the limit is named; 11 are allowed in four seconds.
    let arrivals: Vec<EngineArrival> = (0..30)
        .map(|number| EngineArrival {
            request: format!("request-{number}"),
            engine: span.engine.clone(),
            at: Duration::from_millis(10_000 + 333 * number),
        })
        .collect();
    let calls: Vec<SeenCall> = arrivals
        .iter()
        .map(|arrival| SeenCall {
            request: arrival.request.clone(),
            sent_at: arrival.at,
            kind: CallKind::Look,
            node: 0,
            took: Duration::ZERO,
            answer: Some(SeenAnswer {
                status: 200,
                request: Some(arrival.request.clone()),
                signature: None,
                body: String::new(),
                whole: true,
            }),
        })
        .collect();
    let judged = |arrivals: &[EngineArrival], disturbances: &Disturbances| {
        let spans = std::slice::from_ref(&span);
        rate_limits::judge(spans, arrivals, &calls, disturbances, &Disturbances::default())
    };
    let calm = Disturbances::default();
    let found = judged(&arrivals, &calm);
    assert!(
        matches!(
            found[..],
            [Violation::BeyondRateLimit {
                requests: 13,
                allowed: 11,
                ..
            }]
        ),
        "{found:?}"
    );
    let every_second: Vec<EngineArrival> = arrivals.iter().step_by(2).cloned().collect();
    assert!(judged(&every_second, &calm).is_empty());
    let soon: Vec<EngineArrival> = arrivals.iter().take(9).cloned().collect();
    assert!(judged(&soon, &calm).is_empty(), "nobody has had the time to know");
    let disturbances = Disturbances::default();
    disturbances.begin(Struck::Node(0), Duration::from_secs(14));
    assert!(judged(&arrivals, &disturbances).is_empty(), "the node was struck");
    let older = Disturbances::default();
    older.begin(Struck::Node(0), Duration::ZERO);
    let spans = std::slice::from_ref(&span);
    let found = rate_limits::judge(spans, &arrivals, &calls, &calm, &older);
    assert!(found.is_empty(), "the node ran a build that knows no limits");
}

#[test]
fn requests_that_were_sent_before_any_answer_named_the_limit_do_not_count() {
    let span = LimitSpan {
        engine: "engine-1@1".to_owned(),
        requests_per_second: 1.0,
        from: Duration::from_secs(1),
        until: None,
    };
    let sent_at = |number: u64| Duration::from_millis(10_000 + 100 * number);
    let arrivals: Vec<EngineArrival> = (0..20)
        .map(|number| EngineArrival {
            request: format!("request-{number}"),
            engine: span.engine.clone(),
            at: sent_at(number),
        })
        .collect();
    let answered_after = |took: Duration| -> Vec<SeenCall> {
        let calls = (0..).zip(&arrivals).map(|(number, arrival)| SeenCall {
            request: arrival.request.clone(),
            sent_at: sent_at(number),
            kind: CallKind::Look,
            node: 0,
            took,
            answer: Some(SeenAnswer {
                status: 200,
                request: Some(arrival.request.clone()),
                signature: None,
                body: String::new(),
                whole: true,
            }),
        });
        calls.collect()
    };
    let judged = |took: Duration| {
        let nothing = Disturbances::default;
        let spans = std::slice::from_ref(&span);
        rate_limits::judge(spans, &arrivals, &answered_after(took), &nothing(), &nothing())
    };
    assert_eq!(judged(Duration::from_millis(2_500)), []);
    assert_eq!(judged(Duration::ZERO).len(), 1, "the others knew by then");
}

#[test]
fn more_tokens_than_a_tenants_rate_allows_are_found_in_any_window() {
    let call = |number: u64, every_millis: u64| {
        let at = Duration::from_millis(number * every_millis);
        let request = format!("rated0-{number}");
        let arrival = EngineArrival {
            request: request.clone(),
            engine: "engine-1@1".to_owned(),
            at: at + Duration::from_millis(5),
        };
        let call = SeenCall {
            request,
            sent_at: at,
            kind: CallKind::Again,
            node: 0,
            took: Duration::ZERO,
            answer: None,
        };
        (call, arrival)
    };
    let judged = |every_millis: u64| {
        let (calls, arrivals): (Vec<_>, Vec<_>) = (0..100).map(|number| call(number, every_millis)).unzip();
        rated_callers::judge(&calls, &arrivals)
    };
    // Five a second are allowed, and as many besides once.
    assert_eq!(judged(200), []);
    let found = judged(100);
    assert!(
        matches!(
            found[..],
            [Violation::BeyondTenantRate {
                from_millis: 0,
                allowed: 51_005,
                ..
            }]
        ),
        "{found:?}"
    );
}
