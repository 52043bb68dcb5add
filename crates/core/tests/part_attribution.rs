//! Which part of the prompts aboard is blamed for crashes of engines.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::{PoolId, RouteId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::config::{MAX_CRASHES, QuarantineSettings};
use shelfjunction_core::quarantine::{
    Asked, Fingerprint, Quarantine, RefusalCause, RequestSubjects, Selection, Standing, Verdict,
};
use shelfjunction_core::routing::pool::{PromptPart, PromptShape};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// The first part of most prompts, another first part, and rarer parts behind them.
const FIRST: u64 = 0xf1;
const OTHER_FIRST: u64 = 0xf2;
const RARE: u64 = 0x5a;
const CAUSE: u64 = 0xbad;

/// Time until a part with answers that explains enough crashes runs on trial.
const ANSWER_AWAITED: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn engine(number: u32) -> SubjectHandle {
    SubjectHandle::of_text("engine", &number.to_string())
}

fn asked() -> Asked {
    Asked {
        route: RouteId("route".to_owned()),
        pool: PoolId("pool".to_owned()),
        tenant: None,
    }
}

fn part(name: u64) -> Fingerprint {
    Fingerprint::of_part("m", &PromptPart { name, tokens: 100 })
}

/// A request of its own content that holds the given parts before its own.
fn request(number: u8, shared: &[u64]) -> RequestSubjects {
    let names = shared.iter().copied().chain([u64::from(number) << 32]);
    let prompt = PromptShape {
        model: "m".to_owned(),
        parts: names.map(|name| PromptPart { name, tokens: 100 }).collect(),
        ..PromptShape::default()
    };
    RequestSubjects::of(Fingerprint([number; 16]), Some(&prompt))
}

/// A node's register, told of crashes and answers.
struct Register {
    register: Quarantine,
}

impl Register {
    fn new() -> Self {
        Self {
            register: Quarantine::new(QuarantineSettings::default()),
        }
    }

    /// An engine crashes with requests aboard.
    fn crash(&mut self, number: u32, aboard: &[&RequestSubjects], now: MonotonicTime) {
        for subject in aboard.iter().flat_map(|request| request.iter()) {
            self.register.note_crash(*subject, &asked(), engine(number), now);
        }
    }

    /// Parts that this node knows to have been answered at an instant.
    fn answered_before(&mut self, names: &[u64], at: MonotonicTime, now: MonotonicTime) {
        for name in names {
            self.register.note_answered_before(&part(*name), at, now);
        }
    }

    fn answer(&mut self, request: &RequestSubjects, sent_at: MonotonicTime, now: MonotonicTime) {
        for subject in request.iter() {
            self.register.note_answered(subject, sent_at, now);
        }
    }

    fn standing(&self, name: u64, now: MonotonicTime) -> Standing {
        self.register.standing(&part(name), now)
    }

    fn is_free(&self, request: &RequestSubjects, now: MonotonicTime) -> bool {
        self.register.verdict(request, now) == Verdict::Free
    }

    fn refusal(&self, request: &RequestSubjects, now: MonotonicTime) -> Option<(Fingerprint, RefusalCause)> {
        match self.register.verdict(request, now) {
            Verdict::Refused { subject, cause, .. } => Some((subject, cause)),
            _ => None,
        }
    }

    fn isolated(&self, request: &RequestSubjects, now: MonotonicTime) -> Option<Fingerprint> {
        match self.register.verdict(request, now) {
            Verdict::OnTrial(about) => about.isolated(),
            _ => None,
        }
    }
}

/// Engines crash, one every 10 ms, each under another request with the cause, beside another one with the same first part.
fn under_the_cause(register: &mut Register, engines: std::ops::Range<u32>) {
    for number in engines {
        let (guilty, beside) = (
            request(100 + number as u8, &[FIRST, CAUSE]),
            request(150 + number as u8, &[FIRST]),
        );
        register.crash(number, &[&guilty, &beside], at(10 * u64::from(number)));
    }
}

#[test]
fn the_part_without_answers_is_refused_after_three_crashes_and_its_first_part_is_not() {
    let mut register = Register::new();
    for number in 0..3 {
        under_the_cause(&mut register, number..number + 1);
        register.answered_before(&[FIRST], at(0), at(10 * u64::from(number)));
    }
    let now = at(30);
    let of_cause = request(1, &[FIRST, CAUSE]);
    assert_eq!(
        register.refusal(&of_cause, now),
        Some((part(CAUSE), RefusalCause::OnlyExplanation))
    );
    assert!(register.is_free(&request(2, &[FIRST]), now));
    assert!(register.is_free(&request(3, &[FIRST, RARE]), now));
    let with_other_first = request(4, &[OTHER_FIRST, CAUSE]);
    assert_eq!(
        register.refusal(&with_other_first, now),
        Some((part(CAUSE), RefusalCause::OnlyExplanation))
    );
}

#[test]
fn without_any_answer_the_request_with_fewest_suspects_runs_first() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    let now = at(30);
    let (of_cause, sound) = (request(1, &[FIRST, CAUSE]), request(2, &[FIRST]));
    let waits = Some((part(CAUSE), RefusalCause::SeveralSuspects));
    assert_eq!(register.refusal(&of_cause, now), waits);
    assert_eq!(register.isolated(&sound, now), Some(part(FIRST)));
    register.answer(&sound, now, at(300));
    assert!(register.is_free(&request(3, &[FIRST]), at(300)));
    assert_eq!(
        register.refusal(&of_cause, at(300)),
        Some((part(CAUSE), RefusalCause::OnlyExplanation)),
        "no further crash is needed"
    );
}

#[test]
fn a_request_that_holds_several_suspects_runs_in_the_end_and_confirms_none_of_them() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    let of_cause = request(1, &[FIRST, CAUSE]);
    assert!(register.refusal(&of_cause, at(5_000)).is_some());
    register.register.note_refused(&part(CAUSE), at(5_000));
    assert!(register.refusal(&of_cause, at(6_900)).is_some());
    match register.register.verdict(&of_cause, at(7_000)) {
        Verdict::OnTrial(about) => {
            assert_eq!(about.subject, part(CAUSE), "the narrowest");
            assert_eq!(about.isolated(), None);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn copies_of_one_request_do_not_count_against_the_parts_that_it_shares() {
    let mut register = Register::new();
    let copied = request(1, &[FIRST]);
    for number in 0..3 {
        register.crash(number, &[&copied], at(0));
    }
    assert!(register.is_free(&request(2, &[FIRST]), at(1)));
    let refused = register.register.standing(&copied.request, at(1));
    assert!(matches!(refused, Standing::Quarantined { crashes: 3, .. }));
}

#[test]
fn a_request_that_an_operator_lifts_leaves_no_charge_on_the_parts_that_it_shares() {
    let mut register = Register::new();
    let copied = request(1, &[FIRST]);
    for number in 0..3 {
        register.crash(number, &[&copied], at(0));
    }
    assert!(register.register.lift(&copied.request, at(1)));
    assert!(register.is_free(&copied, at(1)));
    assert!(register.is_free(&request(2, &[FIRST]), at(1)));
}

#[test]
fn a_part_that_a_trial_confirmed_runs_once_more_after_a_minute_and_then_after_two() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    register.answered_before(&[FIRST], at(0), at(30));
    let of_cause = request(1, &[FIRST, CAUSE]);
    let confirmed = Some((part(CAUSE), RefusalCause::Confirmed));
    for (number, crash, until) in [(9, 1_000, 61_000), (10, 61_000, 181_000)] {
        register
            .register
            .note_trial_crash(part(CAUSE), &asked(), engine(number), at(crash));
        assert_eq!(register.refusal(&of_cause, at(until - 1)), confirmed);
        assert_eq!(register.isolated(&of_cause, at(until)), Some(part(CAUSE)));
    }
}

#[test]
fn what_crashed_engines_beside_a_confirmed_part_does_not_run_freely() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    let beside = request(1, &[OTHER_FIRST]);
    for number in 0..3 {
        register.crash(number, &[&beside], at(30));
    }
    register
        .register
        .note_trial_crash(part(CAUSE), &asked(), engine(9), at(40));
    assert!(!register.is_free(&beside, at(40)), "it may be a cause as well");
}

#[test]
fn an_answer_to_what_was_sent_before_does_not_clear_a_confirmed_part() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    register
        .register
        .note_trial_crash(part(CAUSE), &asked(), engine(9), at(400));
    let of_cause = request(1, &[FIRST, CAUSE]);
    register.answer(&of_cause, at(300), at(500));
    assert!(!register.is_free(&of_cause, at(500)));
    register.answer(&of_cause, at(450), at(600));
    assert!(
        register.is_free(&of_cause, at(600)),
        "it was sent after the crash"
    );
}

#[test]
fn engines_that_crash_of_themselves_restrict_no_part_that_is_being_answered() {
    let mut register = Register::new();
    let popular: Vec<RequestSubjects> = (0..8).map(|number| request(number, &[FIRST])).collect();
    for (number, aboard) in (0..).zip(&popular) {
        register.crash(number, &[aboard], at(1_000));
    }
    register.answered_before(&[FIRST], at(900), at(1_000));
    let sound = request(20, &[FIRST]);
    assert!(register.is_free(&sound, at(1_000)));
    register.answer(&request(21, &[FIRST]), at(800), at(1_200));
    assert!(register.is_free(&sound, at(3_000)));
}

#[test]
fn a_part_that_was_answered_before_it_began_to_crash_engines_runs_alone_after_the_fourth() {
    let mut register = Register::new();
    for number in 0..4 {
        let aboard = request(number as u8, &[FIRST]);
        let now = at(10 + u64::from(number));
        register.crash(number, &[&aboard], now);
        register.answered_before(&[FIRST], at(0), now);
    }
    let next = request(20, &[FIRST]);
    assert!(register.is_free(&next, at(14)), "an answer is awaited");
    let now = at(14) + ANSWER_AWAITED;
    assert_eq!(register.isolated(&next, now), Some(part(FIRST)));
    register
        .register
        .note_trial_crash(part(FIRST), &asked(), engine(9), now);
    assert_eq!(
        register.refusal(&next, now),
        Some((part(FIRST), RefusalCause::Confirmed))
    );
    assert!(register.is_free(&request(21, &[OTHER_FIRST]), now));
}

#[test]
fn two_causes_at_once_are_both_found() {
    const SECOND_CAUSE: u64 = 0xbad2;
    let mut register = Register::new();
    for number in 0..3 {
        let (one, other) = (
            request(100 + number as u8, &[FIRST, CAUSE]),
            request(110 + number as u8, &[OTHER_FIRST, SECOND_CAUSE]),
        );
        register.crash(number, &[&one], at(u64::from(number)));
        register.crash(10 + number, &[&other], at(u64::from(number)));
    }
    register.answered_before(&[FIRST, OTHER_FIRST], at(0), at(3));
    for (number, cause) in [(1, CAUSE), (2, SECOND_CAUSE)] {
        assert_eq!(
            register.refusal(&request(number, &[FIRST, cause]), at(3)),
            Some((part(cause), RefusalCause::OnlyExplanation))
        );
    }
}

#[test]
fn answers_that_one_node_knows_free_a_part_at_nodes_that_only_know_of_crashes() {
    let mut fresh = Register::new();
    under_the_cause(&mut fresh, 0..3);
    assert!(!fresh.is_free(&request(1, &[FIRST]), at(30)));
    let mut other = Register::new();
    for report in fresh.register.reports(Selection::Changes, at(30)) {
        other.register.merge(&report, at(30));
    }
    other.answered_before(&[FIRST], at(10), at(30));
    for report in other.register.reports(Selection::RestrictedChanges, at(30)) {
        fresh.register.merge(&report, at(30));
    }
    assert!(fresh.is_free(&request(1, &[FIRST]), at(30)));
}

#[test]
fn invented_parts_do_not_push_out_one_that_is_refused() {
    let mut register = Register::new();
    under_the_cause(&mut register, 0..3);
    for number in 0..10_000_u64 {
        let aboard = RequestSubjects {
            request: Fingerprint([200; 16]),
            parts: vec![part(0x1_0000 + number)],
        };
        register.crash(4, &[&aboard], at(40));
    }
    assert!(matches!(
        register.standing(CAUSE, at(41)),
        Standing::Quarantined { crashes: 3, .. }
    ));
}

#[test]
fn a_part_is_named_in_its_fingerprint_and_apart_from_requests_and_other_models() {
    let of_part = part(CAUSE);
    assert_eq!(of_part.part_name(), Some(CAUSE));
    assert_eq!(of_part.to_string().parse(), Ok(of_part));
    let of_other_model = Fingerprint::of_part(
        "n",
        &PromptPart {
            name: CAUSE,
            tokens: 100,
        },
    );
    assert_ne!(of_part, of_other_model);
    assert_eq!(Fingerprint([7; 16]).part_name(), None);
    let only_own = request(1, &[]);
    assert!(only_own.parts.is_empty(), "the last part is the request's own");
}

#[test]
fn settings_of_answered_parts_are_checked() {
    for (crashes, is_right) in [
        (2, false),
        (3, true),
        (MAX_CRASHES, true),
        (MAX_CRASHES + 1, false),
    ] {
        let settings = QuarantineSettings {
            answered_part_crashes: crashes,
            ..QuarantineSettings::default()
        };
        assert_eq!(settings.validate().is_empty(), is_right, "{crashes}");
    }
}
