//! What a node believes of the rate limits that engines name.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::rate_limit::{LimitChange, LimitEstimate, RateLimit, ResponseLimit};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn named(rate: f64) -> ResponseLimit {
    ResponseLimit::Valid(RateLimit::new(rate).unwrap())
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let mut belief = LimitEstimate::default();
    let absent = ResponseLimit::Absent;
    assert_eq!(belief.on_answer(&absent, at(0), at(10)), LimitChange::Unchanged);
    assert_eq!(
        belief.advertised(at(10)),
        None,
        "there is nothing to tell of an engine without limits"
    );
    assert_eq!(
        belief.on_answer(&named(2.0), at(20), at(30)),
        LimitChange::Changed
    );
    // Sent for before the limit was heard: its engine may have had none yet.
    assert_eq!(belief.on_answer(&absent, at(25), at(40)), LimitChange::Unchanged);
    assert_eq!(belief.limit(), RateLimit::new(2.0));
    assert_eq!(
        belief.on_answer(&named(1.5), at(50), at(60)),
        LimitChange::Changed
    );
    assert_eq!(belief.limit(), RateLimit::new(1.5));
    assert_eq!(belief.on_answer(&absent, at(61), at(70)), LimitChange::Changed);
    assert_eq!(belief.limit(), None);
}

#[test]
fn what_is_no_rate_changes_nothing_and_is_told_once() {
    let mut belief = LimitEstimate::default();
    belief.on_answer(&named(2.0), at(20), at(30));
    let unreadable = ResponseLimit::Invalid("soon".to_owned());
    assert_eq!(
        belief.on_answer(&unreadable, at(40), at(50)),
        LimitChange::Invalid
    );
    assert_eq!(
        belief.on_answer(&unreadable, at(60), at(70)),
        LimitChange::Unchanged
    );
    assert_eq!(belief.limit(), RateLimit::new(2.0));
    belief.on_answer(&named(2.0), at(80), at(90));
    assert_eq!(
        belief.on_answer(&unreadable, at(95), at(99)),
        LimitChange::Invalid
    );
}

#[test]
fn of_two_words_the_later_statement_holds_in_whatever_order_they_come() {
    let mut belief = LimitEstimate::default();
    assert_eq!(
        belief.on_notice(RateLimit::new(2.0), at(100)),
        LimitChange::Changed
    );
    assert_eq!(belief.on_notice(None, at(90)), LimitChange::Unchanged);
    assert_eq!(
        belief.on_notice(RateLimit::new(9.0), at(90)),
        LimitChange::Unchanged
    );
    assert_eq!(belief.limit(), RateLimit::new(2.0));
    assert_eq!(belief.on_notice(None, at(110)), LimitChange::Changed);
    assert_eq!(
        belief.advertised(at(5_000)),
        Some((None, Duration::from_millis(4_890)))
    );
    assert_eq!(
        belief.advertised(at(60_000)),
        None,
        "the end of a limit is not told for ever"
    );
}

#[test]
fn a_wait_for_a_slot_is_not_believed_for_long_nor_under_another_limit() {
    let mut belief = LimitEstimate::default();
    belief.on_notice(RateLimit::new(0.1), at(100));
    belief.record_slot_wait(Duration::MAX, at(200));
    assert_eq!(belief.slot_wait(at(200)), Duration::from_secs(5));
    belief.on_notice(RateLimit::new(4.0), at(300));
    assert_eq!(belief.slot_wait(at(300)), Duration::ZERO);
}
