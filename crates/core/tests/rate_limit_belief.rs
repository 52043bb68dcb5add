//! What a node believes of the rate limits that engines name.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::rate_limit::{AnsweredLimit, LimitBelief, LimitChange, RateLimit};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn named(rate: f64) -> AnsweredLimit {
    AnsweredLimit::Named(RateLimit::of(rate).unwrap())
}

#[test]
fn a_limit_holds_until_an_answer_to_a_later_request_names_none() {
    let mut belief = LimitBelief::default();
    let absent = AnsweredLimit::Absent;
    assert_eq!(belief.on_answer(&absent, at(0), at(10)), LimitChange::Nothing);
    assert_eq!(
        belief.told(at(10)),
        None,
        "there is nothing to tell of an engine without limits"
    );
    assert_eq!(belief.on_answer(&named(2.0), at(20), at(30)), LimitChange::Limit);
    // Sent for before the limit was heard: its engine may have had none yet.
    assert_eq!(belief.on_answer(&absent, at(25), at(40)), LimitChange::Nothing);
    assert_eq!(belief.limit(), RateLimit::of(2.0));
    assert_eq!(belief.on_answer(&named(1.5), at(50), at(60)), LimitChange::Limit);
    assert_eq!(belief.limit(), RateLimit::of(1.5));
    assert_eq!(belief.on_answer(&absent, at(61), at(70)), LimitChange::Limit);
    assert_eq!(belief.limit(), None);
}

#[test]
fn what_is_no_rate_changes_nothing_and_is_told_once() {
    let mut belief = LimitBelief::default();
    belief.on_answer(&named(2.0), at(20), at(30));
    let unreadable = AnsweredLimit::Unreadable("soon".to_owned());
    assert_eq!(
        belief.on_answer(&unreadable, at(40), at(50)),
        LimitChange::Unreadable
    );
    assert_eq!(
        belief.on_answer(&unreadable, at(60), at(70)),
        LimitChange::Nothing
    );
    assert_eq!(belief.limit(), RateLimit::of(2.0));
    belief.on_answer(&named(2.0), at(80), at(90));
    assert_eq!(
        belief.on_answer(&unreadable, at(95), at(99)),
        LimitChange::Unreadable
    );
}

#[test]
fn of_two_words_the_later_statement_holds_in_whatever_order_they_come() {
    let mut belief = LimitBelief::default();
    assert_eq!(belief.on_notice(RateLimit::of(2.0), at(100)), LimitChange::Limit);
    assert_eq!(belief.on_notice(None, at(90)), LimitChange::Nothing);
    assert_eq!(belief.on_notice(RateLimit::of(9.0), at(90)), LimitChange::Nothing);
    assert_eq!(belief.limit(), RateLimit::of(2.0));
    assert_eq!(belief.on_notice(None, at(110)), LimitChange::Limit);
    assert_eq!(belief.told(at(5_000)), Some((None, Duration::from_millis(4_890))));
    assert_eq!(
        belief.told(at(60_000)),
        None,
        "the end of a limit is not told for ever"
    );
}

#[test]
fn a_wait_for_a_slot_is_not_believed_for_long_nor_under_another_limit() {
    let mut belief = LimitBelief::default();
    belief.on_notice(RateLimit::of(0.1), at(100));
    belief.note_slot(Duration::MAX, at(200));
    assert_eq!(belief.slot_wait(at(200)), Duration::from_secs(5));
    belief.on_notice(RateLimit::of(4.0), at(300));
    assert_eq!(belief.slot_wait(at(300)), Duration::ZERO);
}
