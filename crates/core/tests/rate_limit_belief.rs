//! A node's estimate of engine rate limits, from responses and peers' notices.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::rate_limit::{LimitChange, LimitEstimate, RateLimit, ResponseLimit};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn valid(rate: f64) -> ResponseLimit {
    ResponseLimit::Valid(RateLimit::new(rate).unwrap())
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let mut estimate = LimitEstimate::default();
    let absent = ResponseLimit::Absent;
    assert_eq!(
        estimate.on_response(&absent, at(0), at(10)),
        LimitChange::Unchanged
    );
    assert_eq!(
        estimate.advertised(at(10)),
        None,
        "engines without a limit need no notice"
    );
    assert_eq!(
        estimate.on_response(&valid(2.0), at(20), at(30)),
        LimitChange::Changed
    );
    // Sent before the limit was received: the engine may have had none yet.
    assert_eq!(
        estimate.on_response(&absent, at(25), at(40)),
        LimitChange::Unchanged
    );
    assert_eq!(estimate.limit(), RateLimit::new(2.0));
    assert_eq!(
        estimate.on_response(&valid(1.5), at(50), at(60)),
        LimitChange::Changed
    );
    assert_eq!(estimate.limit(), RateLimit::new(1.5));
    assert_eq!(
        estimate.on_response(&absent, at(61), at(70)),
        LimitChange::Changed
    );
    assert_eq!(estimate.limit(), None);
}

#[test]
fn an_invalid_rate_changes_nothing_and_is_reported_once() {
    let mut estimate = LimitEstimate::default();
    estimate.on_response(&valid(2.0), at(20), at(30));
    let invalid = ResponseLimit::Invalid("soon".to_owned());
    assert_eq!(
        estimate.on_response(&invalid, at(40), at(50)),
        LimitChange::Invalid
    );
    assert_eq!(
        estimate.on_response(&invalid, at(60), at(70)),
        LimitChange::Unchanged
    );
    assert_eq!(estimate.limit(), RateLimit::new(2.0));
    estimate.on_response(&valid(2.0), at(80), at(90));
    assert_eq!(
        estimate.on_response(&invalid, at(95), at(99)),
        LimitChange::Invalid
    );
}

#[test]
fn the_later_of_two_notices_holds_in_either_order_of_arrival() {
    let mut estimate = LimitEstimate::default();
    assert_eq!(
        estimate.on_notice(RateLimit::new(2.0), at(100)),
        LimitChange::Changed
    );
    assert_eq!(estimate.on_notice(None, at(90)), LimitChange::Unchanged);
    assert_eq!(
        estimate.on_notice(RateLimit::new(9.0), at(90)),
        LimitChange::Unchanged
    );
    assert_eq!(estimate.limit(), RateLimit::new(2.0));
    assert_eq!(estimate.on_notice(None, at(110)), LimitChange::Changed);
    assert_eq!(
        estimate.advertised(at(5_000)),
        Some((None, Duration::from_millis(4_890)))
    );
    assert_eq!(
        estimate.advertised(at(60_000)),
        None,
        "the end of a limit is reported for a limited time only"
    );
}

#[test]
fn a_wait_for_a_slot_expires_and_is_cleared_by_a_new_limit() {
    let mut estimate = LimitEstimate::default();
    estimate.on_notice(RateLimit::new(0.1), at(100));
    estimate.record_slot_wait(Duration::MAX, at(200));
    assert_eq!(estimate.slot_wait(at(200)), Duration::from_secs(5));
    estimate.on_notice(RateLimit::new(4.0), at(300));
    assert_eq!(estimate.slot_wait(at(300)), Duration::ZERO);
}
