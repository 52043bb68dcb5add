//! Processes that take turns at the lease and report usage, over a store that fails, in virtual time.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use shelfjunction_core::identity::{FencingToken, NodeId, TenantId, ZoneId};
use shelfjunction_core::lease::{
    Authority, LeaseEffect, LeaseEvent, LeaseKeeper, LeaseTimings, TableAnswer, TableCall,
};
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
const START: UnixTime = UnixTime(1_000_000_000);
const STEP_MILLIS: u64 = 100;
const LATE_MILLIS: std::ops::Range<u64> = 1_000..6_000;

/// What strikes the world.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A process is killed and starts anew without memory.
    Kill(usize),
    KillAll,
    /// A process stands still while its clock goes on.
    Pause {
        process: usize,
        millis: u64,
    },
    /// A process reaches neither the store nor the platform.
    CutOff {
        process: usize,
        millis: u64,
    },
    /// The store is away, and comes back from a copy of that age.
    Restore {
        age_millis: u64,
        away_millis: u64,
    },
    /// Half of the calls get no answer; most of these are done late, also after a restore.
    CallsLate {
        millis: u64,
    },
    /// The platform's interface is down.
    PlatformDown {
        millis: u64,
    },
}

type Rows = BTreeMap<RowKey, (u64, String)>;

struct Store {
    era: u64,
    version: u64,
    rows: Rows,
    /// What it held, by time.
    copies: BTreeMap<u64, (u64, Rows)>,
    away_until: u64,
    restore_at: Option<(u64, u64)>,
}

impl Store {
    fn position(&self, version: u64) -> RowVersion {
        let era = self.era;
        RowVersion(StorePosition { era, version }.to_number())
    }

    /// Conditions name the version alone, as on the wire.
    fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key);
            let version = found.map(|(version, _)| *version);
            if version
                != check
                    .expected
                    .map(|expected| StorePosition::of_number(expected.0).version)
            {
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

    fn row(&self, key: &RowKey, (version, value): &(u64, String)) -> Row {
        Row {
            key: key.clone(),
            version: self.position(*version),
            value: value.clone(),
        }
    }

    fn restore(&mut self, at: u64) {
        let (version, rows) = self.copies.range(..=at).next_back().unwrap().1.clone();
        self.era += 1;
        self.version = version;
        self.rows = rows;
        // Engines and operators write too, so that the same versions fall to other rows.
        self.version += 3;
    }
}

/// Reports that the platform has taken.
#[derive(Default)]
pub struct Reports {
    /// Figures of each window, and how often they came.
    pub reports: BTreeMap<WindowNumber, (TenantCounts, usize)>,
}

impl Reports {
    fn take(&mut self, window: WindowNumber, counts: &TenantCounts) {
        let (before, times) = self.reports.entry(window).or_insert((counts.clone(), 0));
        *times += 1;
        assert_eq!(before, counts, "two reports of window {window}");
    }

    /// Windows between the first and the last reported that were not reported.
    pub fn missing(&self) -> Vec<WindowNumber> {
        let (first, last) = (self.reports.keys().next(), self.reports.keys().next_back());
        let all = first.zip(last).map(|(first, last)| first.0..=last.0);
        all.into_iter()
            .flatten()
            .map(WindowNumber)
            .filter(|window| !self.reports.contains_key(window))
            .collect()
    }
}

struct Process {
    name: NodeId,
    keeper: LeaseKeeper,
    reporter: UsageReporter,
    tally: UsageTally,
    /// Newest era that an answer to this process named.
    era: u64,
    paused_until: u64,
    cut_off_until: u64,
}

/// A call that is done late.
enum Late {
    Store(Transaction),
    Report(WindowNumber, TenantCounts),
}

pub struct World {
    random: StdRng,
    now: u64,
    store: Store,
    pub platform: Reports,
    processes: Vec<Process>,
    late: BTreeMap<(u64, u64), Late>,
    late_calls: u64,
    calls_late_until: u64,
    platform_down_until: u64,
}

impl World {
    pub fn new(processes: usize, seed: u64) -> Self {
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            now: 0,
            store: Store {
                era: 0,
                version: 0,
                rows: Rows::new(),
                copies: BTreeMap::from([(0, (0, Rows::new()))]),
                away_until: 0,
                restore_at: None,
            },
            platform: Reports::default(),
            processes: Vec::new(),
            late: BTreeMap::new(),
            late_calls: 0,
            calls_late_until: 0,
            platform_down_until: 0,
        };
        for number in 0..processes {
            let process = world.start(number);
            world.processes.push(process);
        }
        world
    }

    pub fn now(&self) -> u64 {
        self.now
    }

    pub fn last_reported(&self) -> WindowNumber {
        let last = self.platform.reports.keys().next_back();
        last.copied().unwrap_or_default()
    }

    pub fn holder(&self) -> Option<usize> {
        let holds = |process: &Process| process.keeper.authority(clock(self.now)).is_some();
        self.processes.iter().position(holds)
    }

    pub fn strike(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::Kill(process) => self.kill(process),
            Fault::KillAll => (0..self.processes.len()).for_each(|process| self.kill(process)),
            Fault::Pause { process, millis } => self.processes[process].paused_until = now + millis,
            Fault::CutOff { process, millis } => self.processes[process].cut_off_until = now + millis,
            Fault::Restore {
                age_millis,
                away_millis,
            } => {
                self.store.away_until = now + away_millis;
                self.store.restore_at = Some((now + away_millis, now.saturating_sub(age_millis)));
            }
            Fault::CallsLate { millis } => self.calls_late_until = now + millis,
            Fault::PlatformDown { millis } => self.platform_down_until = now + millis,
        }
    }

    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MILLIS;
            if let Some((_, copy)) = self.store.restore_at.filter(|(at, _)| *at <= self.now) {
                self.store.restore(copy);
                self.store.restore_at = None;
            }
            if !self.is_away() {
                let state = (self.store.version, self.store.rows.clone());
                self.store.copies.insert(self.now, state);
            }
            self.do_late_calls();
            for process in 0..self.processes.len() {
                if self.processes[process].paused_until <= self.now {
                    self.step(process);
                }
            }
        }
    }

    fn start(&mut self, number: usize) -> Process {
        let name = NodeId::new(format!("node-{number}"));
        Process {
            keeper: LeaseKeeper::new(
                LeaseTimings::default(),
                name.clone(),
                ZoneId::new("fleet"),
                self.random.random(),
            ),
            reporter: UsageReporter::new(SETTINGS),
            tally: UsageTally::new(LENGTH),
            name,
            era: 0,
            paused_until: 0,
            cut_off_until: 0,
        }
    }

    fn kill(&mut self, number: usize) {
        self.processes[number] = self.start(number);
    }

    fn is_away(&self) -> bool {
        self.now < self.store.away_until
    }

    fn do_late_calls(&mut self) {
        while let Some(entry) = self.late.first_entry()
            && entry.key().0 <= self.now
        {
            match entry.remove() {
                Late::Store(transaction) if !self.is_away() => drop(self.store.transact(&transaction)),
                Late::Store(transaction) => {
                    self.late_calls += 1;
                    let at = self.store.away_until.max(self.now) + 100;
                    self.late.insert((at, self.late_calls), Late::Store(transaction));
                }
                Late::Report(window, counts) => self.platform.take(window, &counts),
            }
        }
    }

    /// Whether a call is answered; otherwise it may be done late.
    fn is_answered(&mut self, late: impl FnOnce() -> Late) -> bool {
        if self.now >= self.calls_late_until || self.random.random_bool(0.5) {
            return true;
        }
        if self.random.random_bool(0.8) {
            self.late_calls += 1;
            let at = self.now + self.random.random_range(LATE_MILLIS);
            self.late.insert((at, self.late_calls), late());
        }
        false
    }

    fn transact(
        &mut self,
        process: usize,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, PlatformError> {
        if self.is_away() || self.now < self.processes[process].cut_off_until {
            return Err(PlatformError::Unavailable);
        }
        let versions = transaction.checks.iter().filter_map(|check| check.expected);
        let condition_era = versions.map(|version| StorePosition::era_of(version.0)).min();
        if condition_era.is_some_and(|era| era < self.processes[process].era) {
            let key = transaction.checks[0].key.clone();
            let found = self.read(process, &key)?;
            return Ok(TransactionOutcome::Conflict { key, found });
        }
        if self.now < self.calls_late_until && self.random.random_bool(0.25) {
            drop(self.store.transact(transaction));
            return Err(PlatformError::AnswerLost);
        }
        if !self.is_answered(|| Late::Store(transaction.clone())) {
            return Err(PlatformError::AnswerLost);
        }
        let outcome = self.store.transact(transaction);
        self.processes[process].era = self.store.era;
        let is_made = matches!(outcome, TransactionOutcome::Committed { .. });
        if is_made && condition_era.is_some_and(|era| era < self.store.era) {
            return Err(PlatformError::AnswerLost);
        }
        Ok(outcome)
    }

    fn read(&mut self, process: usize, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        Ok(self.scan(process, &key.0)?.into_iter().next())
    }

    fn scan(&mut self, process: usize, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        if self.is_away() || self.now < self.processes[process].cut_off_until {
            return Err(PlatformError::Unavailable);
        }
        self.processes[process].era = self.store.era;
        let rows = self.store.rows.iter();
        let rows = rows.filter(|(key, _)| key.0.starts_with(prefix));
        Ok(rows.map(|(key, row)| self.store.row(key, row)).collect())
    }

    fn step(&mut self, number: usize) {
        let now = clock(self.now);
        let era = self.processes[number].era;
        self.processes[number].keeper.note_era(era);
        let mut effects = self.processes[number].keeper.handle(LeaseEvent::Tick, now);
        while let Some(effect) = effects.pop() {
            if let LeaseEffect::Call { call, request } = effect {
                let answer = match request {
                    TableCall::Read(key) => TableAnswer::from(self.read(number, &key)),
                    TableCall::Scan(prefix) => TableAnswer::from(self.scan(number, &prefix)),
                    TableCall::Transact(transaction) => {
                        TableAnswer::from(self.transact(number, &transaction))
                    }
                };
                let era = self.processes[number].era;
                self.processes[number].keeper.note_era(era);
                let event = LeaseEvent::Answer { call, answer };
                effects.extend(self.processes[number].keeper.handle(event, now));
            }
        }
        self.count(number);
        let process = &mut self.processes[number];
        process.reporter.observe_era(process.era, now);
        if let Some(held) = process.keeper.authority(now) {
            let margin = Duration::from_millis(LeaseTimings::default().margin_millis);
            process
                .reporter
                .note_exclusive(held.token, held.not_after + margin);
            self.report(number, held);
        }
    }

    /// Every process knows other figures, which go on changing.
    fn count(&mut self, number: usize) {
        let unix = unix(self.now);
        let window = WindowNumber::of(unix, LENGTH);
        let count = self.random.random_range(1..1_000);
        let process = &mut self.processes[number];
        for window in window.0 - 2..=window.0 {
            let word = UsageWord {
                window: WindowNumber(window),
                began_in: WindowNumber(window),
                total: count,
                ended: true,
                counts: vec![(TenantId::new("a"), count)],
            };
            let from = Incarnation {
                node: process.name.clone(),
                start: u64::from(count % 7),
            };
            process.tally.take(&from, &word, unix);
        }
    }

    fn report(&mut self, number: usize, held: Authority) {
        let now = clock(self.now);
        let token = held.token;
        for _ in 0..20 {
            let unix = unix(self.now);
            let process = &mut self.processes[number];
            let Some(step) = process.reporter.next(token, &process.tally, unix, now) else {
                return;
            };
            self.carry_out(number, token, step);
            if self.now < self.calls_late_until && self.random.random_bool(0.2) {
                return;
            }
        }
        panic!("a holder makes calls without end");
    }

    fn carry_out(&mut self, number: usize, token: FencingToken, step: Step) {
        let now = clock(self.now);
        match step {
            Step::Load => {
                let rows = self.scan(number, record::PREFIX);
                let records = rows.map(|rows| record::read(&rows).0);
                self.processes[number].reporter.on_loaded(records, now);
            }
            Step::Claim { transaction, .. } => {
                let outcome = self.transact(number, &transaction);
                self.processes[number].reporter.on_claimed(&outcome, now);
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
                let outcome = self.transact(number, &transaction);
                let reporter = &mut self.processes[number].reporter;
                reporter.on_recorded(window, counts, &outcome, now);
            }
            Step::Send { window, counts } => {
                let is_cut_off =
                    self.now < self.processes[number].cut_off_until.max(self.platform_down_until);
                let report = || Late::Report(window, counts.clone());
                let outcome = if !is_cut_off && self.is_answered(report) {
                    self.platform.take(window, &counts);
                    SendOutcome::Accepted
                } else {
                    SendOutcome::Unknown
                };
                self.processes[number].reporter.on_sent(window, outcome, now);
            }
            Step::GivenUp(window) => panic!("{token} gave up {window}"),
        }
    }
}

fn unix(now: u64) -> UnixTime {
    START.later(Duration::from_millis(now))
}

fn clock(now: u64) -> MonotonicTime {
    MonotonicTime::from_millis(60_000 + now)
}
