//! Usage of tenants: counted, told over lossy links, gathered, recorded and reported, in virtual time.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::identity::{FencingToken, NodeId, TenantId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::clock::FleetClock;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::metering::counter::{UsageCounter, UsageWord};
use shelfjunction_core::metering::record::{self, Progress, Served};
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::{Incarnation, TenantCounts, UsageTally};
use shelfjunction_core::metering::{UnixTime, WindowNumber};
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const SETTINGS: MeteringSettings = MeteringSettings {
    window_seconds: 5.0,
    due_after_seconds: 10.0,
};
/// The window that begins at [`START`].
const FIRST: WindowNumber = WindowNumber(200);
const START: UnixTime = UnixTime(1_000_000_000);

fn at(millis: u64) -> UnixTime {
    START.later(Duration::from_millis(millis))
}

fn clock(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 + millis)
}

fn tenant(name: &str) -> TenantId {
    TenantId::new(name)
}

fn incarnation(node: &str, start: u64) -> Incarnation {
    Incarnation {
        node: NodeId::new(node),
        start,
    }
}

fn counts(pairs: &[(&str, u64)]) -> TenantCounts {
    pairs.iter().map(|(name, count)| (tenant(name), *count)).collect()
}

fn word(window: WindowNumber, ended: bool, pairs: &[(&str, u32)]) -> UsageWord {
    UsageWord {
        window,
        began_in: FIRST,
        total: pairs.iter().map(|(_, count)| count).sum(),
        ended,
        counts: pairs.iter().map(|(name, count)| (tenant(name), *count)).collect(),
    }
}

/// Lets a reporter read the rows and claim them.
fn begin(reporter: &mut UsageReporter, store: &mut Store, token: FencingToken, millis: u64) {
    let tally = UsageTally::new(LENGTH);
    assert_eq!(
        reporter.next(token, &tally, at(millis), clock(millis)),
        Some(Step::Load)
    );
    reporter.on_loaded(Ok(Some(store.records())), clock(millis));
    let step = reporter.next(token, &tally, at(millis), clock(millis));
    let Some(Step::Claim { transaction, .. }) = step else {
        panic!("{step:?}");
    };
    let outcome = store.transact(&transaction);
    reporter.on_claimed(&Ok(outcome), clock(millis));
}

/// A tally in which one node has told everything of the first windows.
fn whole_tally(windows: u64, told_at: UnixTime) -> UsageTally {
    let mut tally = UsageTally::new(LENGTH);
    for window in 0..windows {
        let word = word(
            WindowNumber(FIRST.0 + window),
            true,
            &[("a", 3 + window as u32), ("b", 1)],
        );
        tally.take(&incarnation("n", 1), &word, told_at);
    }
    tally
}

/// The store's rows of reports.
#[derive(Default)]
struct Store(BTreeMap<RowKey, (u64, String)>, u64);

impl Store {
    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self.0.get(&check.key).map(|(version, _)| RowVersion(*version));
            if found != check.expected {
                return TransactionOutcome::Conflict {
                    key: check.key.clone(),
                    found: None,
                };
            }
        }
        self.1 += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => self.0.insert(write.key.clone(), (self.1, value.clone())),
                None => self.0.remove(&write.key),
            };
        }
        TransactionOutcome::Committed {
            version: RowVersion(self.1),
        }
    }

    fn records(&self) -> record::Records {
        let rows: Vec<Row> = self
            .0
            .iter()
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: RowVersion(*version),
                value: value.clone(),
            })
            .collect();
        let (records, faults) = record::read(&rows);
        assert!(faults.is_empty(), "{faults:?}");
        records.expect("the row of progress can be read")
    }
}

/// The platform: it refuses lower tokens, and two different reports of one window must never reach it.
#[derive(Default)]
struct Reports {
    taken: BTreeMap<WindowNumber, TenantCounts>,
    fence: FencingToken,
}

impl Reports {
    fn take(&mut self, token: FencingToken, window: WindowNumber, counts: &TenantCounts) -> SendOutcome {
        if token < self.fence {
            return SendOutcome::Fenced;
        }
        self.fence = token;
        let before = self.taken.insert(window, counts.clone());
        assert!(
            before.is_none_or(|before| before == *counts),
            "two reports of {window}"
        );
        SendOutcome::Accepted
    }
}

#[test]
fn windows_follow_true_time() {
    assert_eq!(WindowNumber::of(at(0), LENGTH), FIRST);
    assert_eq!(WindowNumber::of(at(4_999), LENGTH), FIRST);
    assert_eq!(WindowNumber::of(at(5_000), LENGTH).0, FIRST.0 + 1);
    assert_eq!(FIRST.end(LENGTH), at(5_000));
}

#[test]
fn a_minority_of_clocks_that_jump_moves_nothing() {
    let mut fleet = FleetClock::default();
    let node = |number: u64| SubjectHandle::of_number(number << 40);
    for number in 0..4 {
        let told = if number == 0 {
            at(62_000)
        } else {
            at(2_000 + number)
        };
        fleet.observe(node(number), told, clock(2_000));
    }
    let own_has_jumped = at(9_999);
    let unix = fleet.unix(own_has_jumped, clock(2_000));
    assert!(
        unix.since(at(2_000)) < Duration::from_millis(5) && unix >= at(2_000),
        "{unix:?}"
    );
    // Alone, a node has nothing but its own clock.
    assert_eq!(fleet.unix(at(20_000), clock(20_000)), at(20_000));
}

#[test]
fn a_node_tells_every_window_that_it_saw_and_the_old_ones_again_when_asked() {
    let mut counter = UsageCounter::new(LENGTH);
    assert_eq!(
        counter.words(at(0), false, 10).len(),
        1,
        "the present window, still empty"
    );
    counter.count(&tenant("a"), at(4_990));
    counter.count(&tenant("b"), at(5_010));
    let words = counter.words(at(6_500), false, 10);
    assert_eq!(words[0], word(FIRST, true, &[("a", 1)]));
    assert_eq!(words[1], word(WindowNumber(FIRST.0 + 1), false, &[("b", 1)]));
    assert!(counter.words(at(6_600), false, 10).is_empty(), "nothing is new");
    assert_eq!(
        counter.words(at(6_700), true, 10).len(),
        1,
        "what has ended is told again"
    );
    // An answer may show late that its request began earlier.
    counter.count(&tenant("a"), at(4_995));
    assert_eq!(
        counter.words(at(6_800), false, 10),
        [word(FIRST, true, &[("a", 2)])]
    );
}

#[test]
fn many_tenants_take_several_words_and_all_of_them_make_a_whole() {
    let mut counter = UsageCounter::new(LENGTH);
    for name in ["a", "b", "c"] {
        counter.count(&tenant(name), at(100));
    }
    let words = counter.words(at(6_500), false, 2);
    let of_first: Vec<&UsageWord> = words.iter().filter(|word| word.window == FIRST).collect();
    assert_eq!(of_first.len(), 2);
    let mut tally = UsageTally::new(LENGTH);
    tally.take(&incarnation("n", 1), of_first[1], at(6_500));
    assert!(!tally.is_whole(FIRST, at(6_500)));
    tally.take(&incarnation("n", 1), of_first[0], at(6_500));
    assert!(tally.is_whole(FIRST, at(6_500)));
}

#[test]
fn starts_of_a_node_add_up_and_a_dead_one_is_not_waited_for_when_its_successor_has_told() {
    let mut tally = UsageTally::new(LENGTH);
    tally.take(&incarnation("n", 1), &word(FIRST, false, &[("a", 2)]), at(1_000));
    assert_eq!(tally.missing(FIRST, at(1_000)), [&NodeId::new("n")]);
    tally.take(&incarnation("n", 2), &word(FIRST, true, &[("a", 5)]), at(6_300));
    assert!(tally.is_whole(FIRST, at(6_500)));
    assert_eq!(tally.counts(FIRST), counts(&[("a", 7)]));
    // One that began after the window has nothing to tell of it, and neither will its predecessor.
    let begun_later = UsageWord {
        began_in: WindowNumber(FIRST.0 + 1),
        ..word(WindowNumber(FIRST.0 + 1), false, &[])
    };
    tally.take(&incarnation("m", 1), &word(FIRST, false, &[("a", 1)]), at(6_000));
    assert!(!tally.is_whole(FIRST, at(6_400)));
    tally.take(&incarnation("m", 2), &begun_later, at(6_400));
    assert!(tally.is_whole(FIRST, at(6_500)));
}

/// A node that was stopped and started again within a window counted as having told all of it, by the last words of its
/// earlier process, while the later one still counted.
#[test]
fn a_process_that_started_again_within_the_window_is_waited_for() {
    let mut tally = UsageTally::new(LENGTH);
    tally.take(&incarnation("n", 1), &word(FIRST, true, &[("a", 2)]), at(1_000));
    tally.take(&incarnation("n", 2), &word(FIRST, false, &[("a", 5)]), at(4_900));
    assert_eq!(tally.missing(FIRST, at(5_500)), [&NodeId::new("n")]);
    tally.take(&incarnation("n", 2), &word(FIRST, true, &[("a", 6)]), at(5_600));
    assert!(tally.is_whole(FIRST, at(5_700)));
    assert_eq!(tally.counts(FIRST), counts(&[("a", 8)]));
}

/// A holder that had lost the last datagrams of a killed node recorded its window before replicas had sent their copies.
#[test]
fn copies_of_what_a_gone_node_told_are_awaited() {
    let mut tally = whole_tally(1, at(5_500));
    tally.begin_gathering(at(0));
    let dead = incarnation("dead", 1);
    tally.take(&dead, &word(FIRST, false, &[("a", 1)]), at(1_000));
    assert!(!tally.is_whole(FIRST, at(5_600)));
    assert_eq!(
        (
            tally.missing(FIRST, at(5_600)).len(),
            tally.gone(FIRST, at(5_600))
        ),
        (0, 1)
    );
    tally.take_copy(&dead, &word(FIRST, false, &[("a", 4)]), at(6_500));
    assert!(tally.is_whole(FIRST, at(7_500)));
    assert_eq!(tally.counts(FIRST)[&tenant("a")], 7);
}

#[test]
fn a_report_is_written_down_before_it_is_sent_and_confirmed_once() {
    let tally = whole_tally(1, at(6_400));
    let mut reporter = UsageReporter::new(SETTINGS);
    let token = FencingToken(1);
    begin(&mut reporter, &mut Store::default(), token, 6_500);
    let step = reporter.next(token, &tally, at(6_500), clock(6_500));
    let Some(Step::Record {
        window,
        counts: figures,
        whole: true,
        ..
    }) = step
    else {
        panic!("{step:?}");
    };
    assert_eq!((window, &figures), (FIRST, &counts(&[("a", 3), ("b", 1)])));
    let version = RowVersion(1);
    let made = Ok(TransactionOutcome::Committed { version });
    reporter.on_recorded(window, figures.clone(), &made, clock(6_500));
    assert_eq!(
        reporter.next(token, &tally, at(6_510), clock(6_510)),
        Some(Step::Send {
            window,
            counts: figures
        })
    );
    reporter.on_sent(window, SendOutcome::Accepted, clock(6_520));
    assert_eq!(reporter.next(token, &tally, at(6_530), clock(6_530)), None);
    assert_eq!(reporter.confirmed_through(), Some(FIRST));
}

#[test]
fn late_nodes_are_waited_for_but_not_until_it_is_too_late() {
    let mut tally = whole_tally(1, at(6_400));
    let slow = word(FIRST, false, &[("a", 1)]);
    tally.take(&incarnation("slow", 1), &slow, at(10_500));
    let mut reporter = UsageReporter::new(SETTINGS);
    let token = FencingToken(1);
    begin(&mut reporter, &mut Store::default(), token, 6_500);
    assert_eq!(reporter.next(token, &tally, at(10_900), clock(10_900)), None);
    let step = reporter.next(token, &tally, at(11_100), clock(11_100));
    assert!(
        matches!(step, Some(Step::Record { whole: false, .. })),
        "{step:?}"
    );
}

#[test]
fn a_node_that_has_fallen_silent_is_not_waited_for() {
    let mut tally = whole_tally(1, at(6_400));
    let told = word(FIRST, false, &[("a", 1)]);
    tally.take(&incarnation("dead", 1), &told, at(4_000));
    assert!(!tally.is_whole(FIRST, at(6_500)));
    assert!(tally.is_whole(FIRST, at(7_100)));
    assert_eq!(tally.counts(FIRST)[&tenant("a")], 4, "what it told counts");
}

#[test]
fn a_process_that_ends_says_that_it_counts_no_more() {
    let mut counter = UsageCounter::new(LENGTH);
    counter.count(&tenant("a"), at(100));
    let mut tally = UsageTally::new(LENGTH);
    let words = counter.last_words(at(2_000), 10);
    for word in &words {
        tally.take(&incarnation("n", 1), word, at(2_000));
    }
    assert!(tally.is_whole(FIRST, at(2_100)));
}

#[test]
fn a_fenced_holder_calls_no_more_with_its_token() {
    let tally = whole_tally(2, at(11_400));
    let mut reporter = UsageReporter::new(SETTINGS);
    let token = FencingToken(4);
    reporter.next(token, &tally, at(11_500), clock(11_500));
    let reports = BTreeMap::from([(FIRST, counts(&[("a", 3)]))]);
    let records = record::Records {
        reports,
        ..record::Records::default()
    };
    reporter.on_loaded(Ok(Some(records)), clock(11_500));
    reporter.on_sent(FIRST, SendOutcome::Fenced, clock(11_600));
    assert_eq!(reporter.next(token, &tally, at(60_000), clock(60_000)), None);
    assert_eq!(
        reporter.next(FencingToken(5), &tally, at(60_000), clock(60_000)),
        Some(Step::Load)
    );
}

#[test]
fn a_recording_done_seconds_later_does_not_bring_back_a_window_that_was_reported_and_cleared() {
    let second_window = WindowNumber(FIRST.0 + 1);
    let mut store = Store::default();
    let mut platform = Reports::default();
    let mut reporter = UsageReporter::new(SETTINGS);
    let mut tally = whole_tally(6, at(60_000));
    let mut delayed = None;
    let mut token = FencingToken(1);
    for second in 6..60 {
        let now = clock(second * 1_000);
        if second == 40 {
            store.transact(&delayed.take().expect("a recording was given up"));
            token = FencingToken(2);
            reporter = UsageReporter::new(SETTINGS);
        }
        while let Some(step) = reporter.next(token, &tally, at(second * 1_000), now) {
            match step {
                Step::Record {
                    window,
                    counts,
                    transaction,
                    ..
                } if window == second_window && delayed.is_none() && second < 40 => {
                    reporter.on_recorded(window, counts, &Err(PlatformError::AnswerLost), now);
                    delayed = Some(transaction);
                    let late = word(second_window, true, &[("a", 4)]);
                    tally.take(&incarnation("late", 1), &late, at(60_000));
                }
                step => carry_out(step, token, &mut reporter, &mut store, &mut platform, now),
            }
        }
    }
    assert_eq!(platform.taken[&second_window], counts(&[("a", 8), ("b", 1)]));
}

/// Makes the call of a step at once and answers it.
fn carry_out(
    step: Step,
    token: FencingToken,
    reporter: &mut UsageReporter,
    store: &mut Store,
    platform: &mut Reports,
    now: MonotonicTime,
) {
    match step {
        Step::Load => reporter.on_loaded(Ok(Some(store.records())), now),
        Step::Claim { transaction, .. } => {
            let outcome = store.transact(&transaction);
            reporter.on_claimed(&Ok(outcome), now);
        }
        Step::Record {
            window,
            counts,
            transaction,
            ..
        } => {
            let outcome = store.transact(&transaction);
            reporter.on_recorded(window, counts, &Ok(outcome), now);
        }
        Step::Send { window, counts } => {
            let outcome = platform.take(token, window, &counts);
            reporter.on_sent(window, outcome, now);
        }
        Step::Rewrite { window, .. } | Step::GivenUp(window) => panic!("lost or gave up {window}"),
    }
}

#[test]
fn records_of_many_tenants_take_several_rows_and_are_read_whole_or_not_at_all() {
    let many: TenantCounts = (0..2_500)
        .map(|number| (tenant(&format!("t{number}")), number))
        .collect();
    let mut store = Store::default();
    let mut record = |window: WindowNumber, served: &[Served]| {
        let confirmed = WindowNumber(window.0 - 1);
        let progress = Progress {
            token: FencingToken(1),
            recorded_through: Some(confirmed),
            confirmed_through: Some(confirmed),
        };
        if store.0.is_empty() {
            store.transact(&record::claiming(None, 0, progress));
        }
        let before = store.records().progress.unwrap();
        let transaction = record::recording(window, &many, before, progress, served);
        let values = transaction.writes.iter().filter_map(|write| write.value.as_ref());
        assert!(values.map(String::len).max().unwrap() < 40_000);
        let outcome = store.transact(&transaction);
        assert!(matches!(outcome, TransactionOutcome::Committed { .. }));
        store.records()
    };
    let records = record(FIRST, &[]);
    assert_eq!(records.reports[&FIRST], many);
    assert_eq!(records.confirmed_through, Some(WindowNumber(FIRST.0 - 1)));
    let next = WindowNumber(FIRST.0 + 1);
    let records = record(next, &[Served::of(FIRST, &many)]);
    assert_eq!(records.reports.keys().copied().collect::<Vec<_>>(), [next]);
    let lost = store.0.keys().nth(1).unwrap().clone();
    store.0.remove(&lost);
    let rows: Vec<Row> = store
        .0
        .into_iter()
        .map(|(key, (version, value))| Row {
            key,
            version: RowVersion(version),
            value,
        })
        .collect();
    let (records, faults) = record::read(&rows);
    assert!(
        records.unwrap().reports.is_empty() && faults.len() == 1,
        "{faults:?}"
    );
}

#[test]
fn wrong_settings_are_named_with_their_value() {
    let wrong = MeteringSettings {
        window_seconds: 0.0,
        due_after_seconds: f64::NAN,
    };
    let fields: Vec<String> = wrong.validate().into_iter().map(|fault| fault.field).collect();
    assert_eq!(fields, ["metering.window_seconds", "metering.due_after_seconds"]);
    assert!(SETTINGS.validate().is_empty());
}

/// What befalls one call of a holder.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    /// It takes effect and its answer is lost.
    AnswerLost,
    /// It never arrives.
    Lost,
    /// The holder dies, before or after the call has taken effect, and a successor takes over.
    Dies {
        done: bool,
    },
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Done),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Lost),
        1 => any::<bool>().prop_map(|done| Fate::Dies { done }),
    ]
}

proptest! {
    /// Lost, late and doubled words never make a figure wrong: in any order, what was counted is what is summed.
    #[test]
    fn words_in_any_order_lost_or_doubled_give_the_same_sums(
        begins in prop::collection::vec((0_usize..3, 0_usize..3, 0_u64..9_000), 1..60),
        order in prop::collection::vec((any::<prop::sample::Index>(), any::<bool>()), 0..200),
    ) {
        let names = ["a", "b", "c"];
        let mut counters = vec![UsageCounter::new(LENGTH); 3];
        let mut words = Vec::new();
        counters.iter_mut().for_each(|counter| drop(counter.words(at(0), false, 2)));
        for (node, name, millis) in &begins {
            counters[*node].count(&tenant(names[*name]), at(*millis));
            words.extend(counters[*node].words(at(*millis), false, 2).into_iter().map(|word| (*node, word)));
        }
        for (node, counter) in counters.iter_mut().enumerate() {
            words.extend(counter.words(at(16_000), true, 2).into_iter().map(|word| (node, word)));
        }
        let mut tally = UsageTally::new(LENGTH);
        let take = |tally: &mut UsageTally, position: usize| {
            let (node, word) = &words[position];
            tally.take(&incarnation(names[*node], 7), word, at(16_000));
        };
        for (index, doubled) in &order {
            for _ in 0..=usize::from(*doubled) {
                take(&mut tally, index.index(words.len()));
            }
        }
        // The last telling comes through in the end.
        (0..words.len()).for_each(|position| take(&mut tally, position));
        for window in [FIRST, WindowNumber(FIRST.0 + 1)] {
            let mut expected = TenantCounts::new();
            let inside = begins.iter().filter(|begin| WindowNumber::of(at(begin.2), LENGTH) == window);
            inside.for_each(|begin| *expected.entry(tenant(names[begin.1])).or_default() += 1);
            prop_assert_eq!(tally.counts(window), expected);
            prop_assert!(tally.is_whole(window, at(16_000)));
        }
    }

    /// Holders that die between any two steps, answers that are lost and successors that know other figures: no
    /// window gets two different reports, and each gets one.
    #[test]
    fn no_window_ever_gets_two_different_reports(fates in prop::collection::vec(fate(), 0..40)) {
        let mut store = Store::default();
        let mut platform = Reports::default();
        let mut fates = fates.into_iter();
        let mut token = FencingToken(1);
        let mut reporter = UsageReporter::new(SETTINGS);
        // Each holder has heard something else of the windows that were not told in time.
        let mut tally = whole_tally(3, at(16_400));
        let mut millis = 22_000;
        for _ in 0..400 {
            millis += 100;
            let Some(step) = reporter.next(token, &tally, at(millis), clock(millis)) else {
                continue;
            };
            let fate = fates.next().unwrap_or(Fate::Done);
            let takes_effect = matches!(fate, Fate::Done | Fate::AnswerLost | Fate::Dies { done: true });
            let answers = matches!(fate, Fate::Done);
            let now = clock(millis);
            match step {
                Step::Load => {
                    let records = if answers { Ok(Some(store.records())) } else { Err(PlatformError::AnswerLost) };
                    reporter.on_loaded(records, now);
                }
                Step::Claim { transaction, .. } => {
                    let outcome = takes_effect.then(|| store.transact(&transaction));
                    reporter.on_claimed(&outcome.filter(|_| answers).ok_or(PlatformError::AnswerLost), now);
                }
                Step::Record { window, counts, transaction, .. } => {
                    let outcome = takes_effect.then(|| store.transact(&transaction));
                    let outcome = outcome.filter(|_| answers).ok_or(PlatformError::AnswerLost);
                    reporter.on_recorded(window, counts, &outcome, now);
                }
                Step::Send { window, counts } => {
                    let outcome = takes_effect.then(|| platform.take(token, window, &counts));
                    reporter.on_sent(window, outcome.filter(|_| answers).unwrap_or(SendOutcome::Unknown), now);
                }
                Step::Rewrite { window, .. } | Step::GivenUp(window) => {
                    prop_assert!(false, "lost or gave up {}", window);
                }
            }
            if let Fate::Dies { .. } = fate {
                token = FencingToken(token.0 + 1);
                reporter = UsageReporter::new(SETTINGS);
                tally.take(&incarnation("late", token.0), &word(FIRST, true, &[("a", 1)]), at(16_400));
            }
        }
        for window in 0..3 {
            prop_assert!(platform.taken.contains_key(&WindowNumber(FIRST.0 + window)));
        }
        prop_assert!(store.records().reports.len() <= 4 + 8, "served rows are cleared");
    }
}
