//! The fault soak's judgement of who acts for all at the platform, and its count of usage windows.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::fault_soak::authority::{Circumstances, SeenDutyCall, judge};
use shelfjunction_lab::fault_soak::disturbances::{Disturbances, Struck};
use shelfjunction_lab::fault_soak::oracle::Violation;
use shelfjunction_lab::fault_soak::platform_schedule::{draw_deferrals, draw_fences_checked, draw_restores};
use shelfjunction_lab::fault_soak::schedule::{Fault, Pace, Targets, draw};
use shelfjunction_lab::fault_soak::usage_windows::{self, WindowCount};
use shelfjunction_lab::users_platform::UsageReport;
use std::time::Duration;

fn call(node: usize, token: u64, at_millis: u64) -> SeenDutyCall {
    SeenDutyCall {
        subject: "usage".to_owned(),
        node,
        token,
        at: Duration::from_millis(at_millis),
        deferred: false,
    }
}

fn deferred(call: SeenDutyCall) -> SeenDutyCall {
    SeenDutyCall {
        deferred: true,
        ..call
    }
}

fn of_subject(subject: &str, call: SeenDutyCall) -> SeenDutyCall {
    SeenDutyCall {
        subject: subject.to_owned(),
        ..call
    }
}

/// Faults that lasted for some milliseconds each.
fn faults(faults: &[(Struck, u64, u64)]) -> Disturbances {
    let disturbances = Disturbances::default();
    for (struck, from, until) in faults {
        let place = disturbances.begin(*struck, Duration::from_millis(*from));
        disturbances.end(place, Duration::from_millis(*until));
    }
    disturbances
}

#[derive(Default)]
struct Course {
    fences_checked: bool,
    platform: Disturbances,
    heals: Disturbances,
    nodes: Disturbances,
}

impl Course {
    fn judge(&self, calls: &[SeenDutyCall]) -> Vec<Violation> {
        let circumstances = Circumstances {
            fences_checked: self.fences_checked,
            platform: &self.platform,
            heals: &self.heals,
            nodes: &self.nodes,
        };
        judge(calls, &circumstances)
    }
}

fn two_holders(subject: &str, token: u64) -> Violation {
    Violation::TwoHolders {
        subject: subject.to_owned(),
        token,
        nodes: [0, 1].into(),
    }
}

fn lower_token(at_millis: u64) -> Violation {
    Violation::LowerToken {
        subject: "usage".to_owned(),
        node: 0,
        token: 4,
        seen: 5,
        at_millis,
    }
}

#[test]
fn holders_that_follow_on_each_other_under_rising_tokens_break_nothing() {
    let calls = [
        call(0, 4, 10_000),
        call(0, 4, 10_100),
        call(1, 5, 10_200),
        call(2, 6, 10_300),
        call(0, 7, 13_200),
    ];
    for fences_checked in [false, true] {
        let course = Course {
            fences_checked,
            ..Course::default()
        };
        assert_eq!(course.judge(&calls), []);
    }
}

#[test]
fn two_holders_under_one_token_are_found_for_each_subject_whatever_was_disrupted() {
    let course = Course {
        platform: faults(&[(Struck::All, 0, 60_000)]),
        ..Course::default()
    };
    let calls = [call(0, 4, 10_000), deferred(call(1, 4, 20_000))];
    assert_eq!(course.judge(&calls), [two_holders("usage", 4)]);
    let order = |call| of_subject("service/zone", call);
    let calls = [order(call(0, 4, 10_000)), order(call(1, 4, 20_000))];
    assert_eq!(course.judge(&calls), [two_holders("service/zone", 4)]);
    let of_two_subjects = [call(0, 4, 10_000), order(call(1, 4, 20_000))];
    assert_eq!(course.judge(&of_two_subjects), []);
}

#[test]
fn a_lower_token_after_a_higher_one_is_found_where_fences_are_not_checked() {
    let calls = [call(1, 5, 10_000), call(0, 4, 20_000)];
    let unchecked = Course::default();
    assert_eq!(unchecked.judge(&calls), [lower_token(20_000)]);
    let checked = Course {
        fences_checked: true,
        ..Course::default()
    };
    assert_eq!(checked.judge(&calls), [], "the interface refuses it");
    let of_two_subjects = [of_subject("service/zone", call(1, 5, 10_000)), call(0, 4, 20_000)];
    assert_eq!(unchecked.judge(&of_two_subjects), []);
}

#[test]
fn a_lower_token_does_not_count_around_a_disruption_of_the_platform_or_after_its_sender_was_healed() {
    let calls = [call(1, 5, 10_000), call(0, 4, 20_000)];
    for (from, until, counts) in [
        (19_000, 21_000, false),
        (19_000, 19_750, false),
        (19_000, 19_650, true),
        (20_001, 21_000, true),
    ] {
        let course = Course {
            platform: faults(&[(Struck::All, from, until)]),
            ..Course::default()
        };
        assert_eq!(
            !course.judge(&calls).is_empty(),
            counts,
            "platform {from} to {until}"
        );
    }
    for (node, healed, counts) in [(0, 19_750, false), (0, 19_650, true), (1, 19_750, true)] {
        let course = Course {
            heals: faults(&[(Struck::Node(node), healed, healed)]),
            ..Course::default()
        };
        assert_eq!(
            !course.judge(&calls).is_empty(),
            counts,
            "node {node} healed at {healed}"
        );
    }
}

#[test]
fn a_call_that_the_interface_deferred_is_no_lower_token_and_no_turn() {
    let course = Course::default();
    assert_eq!(
        course.judge(&[call(1, 5, 10_000), deferred(call(0, 4, 14_000))]),
        []
    );
    let turns = [
        call(0, 4, 10_000),
        call(1, 5, 10_500),
        deferred(call(0, 6, 11_000)),
    ];
    assert_eq!(course.judge(&turns), []);
    let after_it = [deferred(call(1, 5, 10_000)), call(0, 4, 20_000)];
    assert_eq!(
        course.judge(&after_it),
        [lower_token(20_000)],
        "the platform had seen it"
    );
}

#[test]
fn holders_that_take_turns_within_a_lease_are_found() {
    let calls = |third| [call(0, 4, 10_000), call(1, 5, 11_000), call(0, 6, third)];
    let turns = Violation::HoldersTookTurns {
        subject: "usage".to_owned(),
        nodes: [0, 1],
        at_millis: 12_900,
        within_millis: 2_900,
    };
    let struck = || faults(&[(Struck::Node(1), 10_500, 10_600)]);
    for fences_checked in [false, true] {
        let course = Course {
            fences_checked,
            ..Course::default()
        };
        assert_eq!(course.judge(&calls(12_900)), std::slice::from_ref(&turns));
        assert_eq!(course.judge(&calls(13_000)), [], "a lease had run out");
    }
    let unchecked = Course {
        nodes: struck(),
        ..Course::default()
    };
    assert_eq!(
        unchecked.judge(&calls(12_900)),
        std::slice::from_ref(&turns),
        "all machines count"
    );
    let checked = Course {
        fences_checked: true,
        nodes: struck(),
        ..Course::default()
    };
    assert_eq!(checked.judge(&calls(12_900)), [], "machines in touch count");
    let disrupted = Course {
        platform: faults(&[(Struck::All, 10_900, 11_100)]),
        ..Course::default()
    };
    assert_eq!(disrupted.judge(&calls(12_900)), []);
}

#[test]
fn windows_without_a_report_are_counted_once_they_are_due() {
    let report = |window| UsageReport {
        window,
        counts: [("tenant".to_owned(), 1)].into(),
    };
    let run = Duration::from_millis(100_500)..Duration::from_millis(115_200);
    let due = usage_windows::due(&run);
    assert_eq!(due, 101..105);
    let reports = [report(99), report(101), report(101), report(103), report(107)];
    let expected = WindowCount {
        reported: 4,
        due: 4,
        unreported: vec![102, 104],
    };
    assert_eq!(usage_windows::count(&reports, due), expected);
    let short = Duration::from_secs(100)..Duration::from_secs(105);
    assert_eq!(usage_windows::due(&short).count(), 0);
}

#[test]
fn a_seed_gives_the_same_deferrals_of_every_kind_and_leaves_its_other_faults() {
    let targets = Targets {
        nodes: 3,
        engines: 9,
        regions: 1,
    };
    let length = Duration::from_secs(120);
    let drawn = draw_deferrals(7, length, targets, Pace::Dense);
    assert_eq!(drawn, draw_deferrals(7, length, targets, Pace::Dense));
    assert_ne!(drawn, draw_deferrals(8, length, targets, Pace::Dense));
    let has = |wanted: fn(&Fault) -> bool| drawn.iter().any(|scheduled| wanted(&scheduled.fault));
    assert!(has(|fault| matches!(fault, Fault::DeferTransactions(_))));
    assert!(has(|fault| matches!(fault, Fault::DeferTransactionsOfAll)));
    assert!(has(|fault| matches!(fault, Fault::DeferDutyCalls)));
    let is_deferral = |fault: Fault| {
        matches!(
            fault,
            Fault::DeferTransactions(_) | Fault::DeferTransactionsOfAll | Fault::DeferDutyCalls
        )
    };
    assert!(drawn.iter().all(|scheduled| is_deferral(scheduled.fault)));
    let others = draw(7, length, targets, Pace::Dense)
        .into_iter()
        .chain(draw_restores(7, length, Pace::Dense));
    assert!(!others.into_iter().any(|scheduled| is_deferral(scheduled.fault)));
}

#[test]
fn fences_are_checked_with_some_seeds_and_not_with_others() {
    let checked: Vec<bool> = (0..20).map(draw_fences_checked).collect();
    assert!(checked.contains(&true) && checked.contains(&false), "{checked:?}");
}
