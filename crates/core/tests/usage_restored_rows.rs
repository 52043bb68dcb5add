//! Reports of usage windows after a restore of the store on whose rows a recording of before was made late, step by step.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::{FencingToken, NodeId, TenantId};
use shelfjunction_core::lease::TOKENS_PER_ERA;
use shelfjunction_core::metering::config::MeteringSettings;
use shelfjunction_core::metering::counter::UsageWord;
use shelfjunction_core::metering::record;
use shelfjunction_core::metering::reporter::{SendOutcome, Step, UsageReporter};
use shelfjunction_core::metering::tally::{Incarnation, TenantCounts, UsageTally};
use shelfjunction_core::metering::{UnixTime, WindowNumber};
use shelfjunction_core::table::{
    PlatformError, Row, RowKey, RowVersion, StorePosition, Transaction, TransactionOutcome,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(5);
const SETTINGS: MeteringSettings = MeteringSettings {
    window_seconds: 5.0,
    due_after_seconds: 10.0,
};
const FIRST: WindowNumber = WindowNumber(200);
const SECOND: WindowNumber = WindowNumber(201);
const START: UnixTime = UnixTime(1_000_000_000);
/// Milliseconds at which the first window is recorded, and the first two are.
const FIRST_DUE: u64 = 12_000;
const SECOND_DUE: u64 = 17_000;

#[derive(Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    rows: BTreeMap<RowKey, (u64, String)>,
}

impl Store {
    fn position(&self, version: u64) -> RowVersion {
        let era = self.era;
        RowVersion(StorePosition { era, version }.to_number())
    }

    fn row(&self, key: &RowKey, row: &(u64, String)) -> Row {
        Row {
            key: key.clone(),
            version: self.position(row.0),
            value: row.1.clone(),
        }
    }

    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key);
            let expected = check
                .expected
                .map(|version| StorePosition::of_number(version.0).version);
            if found.map(|(version, _)| *version) != expected {
                return TransactionOutcome::Conflict {
                    key: check.key.clone(),
                    found: found.map(|row| self.row(&check.key, row)),
                };
            }
        }
        self.version += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => drop(self.rows.insert(write.key.clone(), (self.version, value.clone()))),
                None => drop(self.rows.remove(&write.key)),
            }
        }
        TransactionOutcome::Committed {
            version: self.position(self.version),
        }
    }

    fn records(&self) -> Option<record::Records> {
        let rows: Vec<Row> = self.rows.iter().map(|(key, row)| self.row(key, row)).collect();
        record::read(&rows).0
    }

    /// Comes back from a copy, in the next era.
    fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = copy.clone();
        self.era = era;
        self.version += 10;
    }
}

/// Reports that the platform has taken.
#[derive(Default)]
struct Platform(BTreeMap<WindowNumber, TenantCounts>);

impl Platform {
    fn take(&mut self, window: WindowNumber, counts: &TenantCounts) {
        let before = self.0.entry(window).or_insert_with(|| counts.clone());
        assert_eq!(before, counts, "two reports of window {window}");
    }
}

struct Holder {
    reporter: UsageReporter,
    tally: UsageTally,
    now: u64,
}

impl Holder {
    fn new(now: u64) -> Self {
        Self {
            reporter: UsageReporter::new(SETTINGS),
            tally: UsageTally::new(LENGTH),
            now,
        }
    }

    fn count(&mut self, window: WindowNumber, total: u32) {
        let from = Incarnation {
            node: NodeId::new("node"),
            start: 1,
        };
        let word = UsageWord {
            window,
            began_in: FIRST,
            total,
            ended: true,
            counts: vec![(TenantId::new("a"), total)],
        };
        self.tally.take(&from, &word, unix(self.now));
    }

    fn next(&mut self, token: FencingToken) -> Option<Step> {
        self.now += 400;
        let (unix, now) = (unix(self.now), clock(self.now));
        self.reporter.next(token, &self.tally, unix, now)
    }

    fn load(&mut self, store: &Store) {
        self.reporter.observe_era(store.era, clock(self.now));
        self.reporter.on_loaded(Ok(store.records()), clock(self.now));
    }

    /// Makes the next step, which the store and the platform answer; false if there is none.
    fn step(&mut self, token: FencingToken, store: &mut Store, platform: &mut Platform) -> bool {
        let Some(step) = self.next(token) else {
            return false;
        };
        let now = clock(self.now);
        match step {
            Step::Load => self.load(store),
            Step::Claim { transaction, .. } => {
                let outcome = store.transact(&transaction);
                self.reporter.on_claimed(&Ok(outcome), now);
            }
            Step::Record {
                window,
                counts,
                transaction,
                ..
            }
            | Step::Rewrite {
                window,
                counts,
                transaction,
            } => {
                let outcome = store.transact(&transaction);
                self.reporter.on_recorded(window, counts, &Ok(outcome), now);
            }
            Step::Send { window, counts } => {
                platform.take(window, &counts);
                self.reporter.on_sent(window, SendOutcome::Accepted, now);
            }
            Step::GivenUp(_) => {}
        }
        true
    }

    fn settle(&mut self, token: FencingToken, store: &mut Store, platform: &mut Platform) {
        let steps = (0..30).take_while(|_| self.step(token, store, platform)).count();
        assert!(steps < 30, "calls without end");
    }

    /// Records a window whose answer is lost; gives the call, which isn't made.
    fn record_in_vain(&mut self, token: FencingToken) -> Transaction {
        let Some(Step::Record {
            window,
            counts,
            transaction,
            ..
        }) = self.next(token)
        else {
            panic!("a window is due");
        };
        let lost = Err(PlatformError::AnswerLost);
        self.reporter.on_recorded(window, counts, &lost, clock(self.now));
        transaction
    }

    /// Reads the rows again and records the window that is due.
    fn record(&mut self, token: FencingToken, store: &mut Store, platform: &mut Platform) {
        assert!(self.step(token, store, platform));
        assert!(self.step(token, store, platform));
    }

    /// Sends a report that the platform takes; its answer is lost.
    fn send_unanswered(&mut self, token: FencingToken, platform: &mut Platform) {
        let Some(Step::Send { window, counts }) = self.next(token) else {
            panic!("a report is due");
        };
        platform.take(window, &counts);
        self.reporter
            .on_sent(window, SendOutcome::Unknown, clock(self.now));
    }
}

fn unix(now: u64) -> UnixTime {
    START.later(Duration::from_millis(now))
}

fn clock(now: u64) -> MonotonicTime {
    MonotonicTime::from_millis(60_000 + now)
}

fn token(era: u64, number: u64) -> FencingToken {
    FencingToken(era * TOKENS_PER_ERA + number)
}

/// The store after a holder has reported the first window with other figures than those that a late recording brings
/// back in the next era, and the holder.
fn a_late_recording_on_restored_rows(platform: &mut Platform) -> (Store, Holder) {
    let mut store = Store::default();
    let mut holder = Holder::new(FIRST_DUE);
    holder.count(FIRST, 10);
    holder.step(token(0, 1), &mut store, platform);
    holder.step(token(0, 1), &mut store, platform);
    let copy = store.clone();
    let late = holder.record_in_vain(token(0, 1));
    holder.count(FIRST, 20);
    holder.record(token(0, 1), &mut store, platform);
    holder.send_unanswered(token(0, 1), platform);
    store.restore(&copy);
    let outcome = store.transact(&late);
    assert!(matches!(outcome, TransactionOutcome::Committed { .. }));
    (store, holder)
}

#[test]
fn a_late_recording_with_other_figures_than_the_holder_knows_is_not_left_to_its_successor() {
    let mut platform = Platform::default();
    let (mut store, mut holder) = a_late_recording_on_restored_rows(&mut platform);
    let until = clock(holder.now + 4_500);
    holder.reporter.note_exclusive(token(0, 1), until);
    // Reads, claims and sends.
    for _ in 0..3 {
        holder.step(token(1, 0), &mut store, &mut platform);
    }
    let mut successor = Holder::new(holder.now + 4_500);
    successor.settle(token(1, 1), &mut store, &mut platform);
}

#[test]
fn figures_read_before_the_first_claim_in_an_era_stay_unproven_when_they_are_read_again() {
    let mut platform = Platform::default();
    let (mut store, holder) = a_late_recording_on_restored_rows(&mut platform);
    let mut successor = Holder::new(holder.now + 4_500);
    // The lease lapses behind the reading, and is taken again.
    successor.step(token(1, 0), &mut store, &mut platform);
    successor.settle(token(1, 1), &mut store, &mut platform);
}

/// The same for the second window, where a holder before has recorded the first and was replaced; gives the latter.
fn a_holder_of_before_meets_a_late_recording(platform: &mut Platform) -> (Store, Holder) {
    let mut store = Store::default();
    let mut before = Holder::new(FIRST_DUE);
    before.count(FIRST, 5);
    for _ in 0..3 {
        before.step(token(0, 1), &mut store, platform);
    }
    before.send_unanswered(token(0, 1), platform);
    let mut holder = Holder::new(SECOND_DUE);
    holder.count(SECOND, 10);
    holder.step(token(0, 2), &mut store, platform);
    holder.step(token(0, 2), &mut store, platform);
    let copy = store.clone();
    let late = holder.record_in_vain(token(0, 2));
    holder.count(SECOND, 20);
    holder.record(token(0, 2), &mut store, platform);
    holder.settle(token(0, 2), &mut store, platform);
    assert_eq!(platform.0.len(), 2);
    store.restore(&copy);
    let outcome = store.transact(&late);
    assert!(matches!(outcome, TransactionOutcome::Committed { .. }));
    before.now = holder.now + 5_000;
    (store, before)
}

#[test]
fn a_window_that_was_left_out_behind_one_that_is_not_confirmed_is_not_reported_by_a_successor() {
    let mut platform = Platform::default();
    let (mut store, mut holder) = a_holder_of_before_meets_a_late_recording(&mut platform);
    holder.step(token(1, 0), &mut store, &mut platform);
    holder.step(token(1, 0), &mut store, &mut platform);
    let mut successor = Holder::new(holder.now + 4_500);
    successor.settle(token(1, 1), &mut store, &mut platform);
}

#[test]
fn a_window_that_was_left_out_stays_so_when_the_answer_to_the_claim_is_lost() {
    let mut platform = Platform::default();
    let (mut store, mut holder) = a_holder_of_before_meets_a_late_recording(&mut platform);
    holder.step(token(1, 0), &mut store, &mut platform);
    let Some(Step::Claim { transaction, .. }) = holder.next(token(1, 0)) else {
        panic!("the rows are claimed");
    };
    store.transact(&transaction);
    let lost = Err(PlatformError::AnswerLost);
    holder.reporter.on_claimed(&lost, clock(holder.now));
    holder.settle(token(1, 0), &mut store, &mut platform);
}

#[test]
fn a_row_that_cannot_be_read_after_a_restore_does_not_stop_reports() {
    let mut platform = Platform::default();
    let (mut store, mut holder) = a_late_recording_on_restored_rows(&mut platform);
    let row = store.rows.get_mut(&RowKey("usage/200/000".to_owned()));
    row.unwrap().1 = "{".to_owned();
    let until = clock(holder.now + 4_500);
    holder.reporter.note_exclusive(token(0, 1), until);
    holder.settle(token(1, 0), &mut store, &mut platform);
}
