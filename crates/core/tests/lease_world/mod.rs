//! Keepers of one lease, each behind what the adapter of the platform's store does, against a store that is restored from older copies
//! and may execute a call late; in virtual time.

use shelfjunction_core::identity::{NodeId, ZoneId};
use shelfjunction_core::lease::{
    CallId, LeaseEffect, LeaseEvent, LeaseKeeper, LeaseTimings, TableAnswer, TableCall,
};
use shelfjunction_core::table::{
    PlatformError, Row, RowKey, RowVersion, StorePosition, Transaction, TransactionOutcome,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};

/// The node's own times.
pub const TIMINGS: LeaseTimings = LeaseTimings {
    duration_millis: 4_500,
    renew_every_millis: 1_000,
    margin_millis: 1_000,
    read_every_millis: 1_000,
    retry_after_millis: 250,
};

/// Time within which holders may not act by turns, in milliseconds.
const TURN_MILLIS: u64 = 3_000;

/// Time that the node waits before it acts under a lease that was given up, in milliseconds.
const AFTER_RELEASE_MILLIS: u64 = 3_500;

/// Time between two messages of a holder to the other processes, in milliseconds.
const DIGEST_MILLIS: u64 = 1_000;

/// Time between two looks at the world, in milliseconds.
pub const STEP_MILLIS: u64 = 50;

pub fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(10_000 + millis)
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Executed at once; answered so many milliseconds later.
    Answered(u64),
    /// Executed, and the answer is lost.
    AnswerLost,
    /// Executed so many milliseconds later, if its conditions hold then; there is no answer.
    Late(u64),
    /// Turned away.
    Refused,
}

/// Rows of a store with the versions that it gave out itself.
#[derive(Clone, Default)]
pub struct Copy {
    rows: BTreeMap<RowKey, (u64, String)>,
    version: u64,
}

impl Copy {
    fn holds(&self, transaction: &Transaction) -> Result<(), RowKey> {
        for check in &transaction.checks {
            let expected = check
                .expected
                .map_or(0, |version| StorePosition::of_number(version.0).version);
            if self.rows.get(&check.key).map_or(0, |(version, _)| *version) != expected {
                return Err(check.key.clone());
            }
        }
        Ok(())
    }

    fn execute(&mut self, transaction: &Transaction) -> Result<u64, RowKey> {
        self.holds(transaction)?;
        self.version += 1;
        for write in &transaction.writes {
            let value = write.value.clone().expect("no row is deleted");
            self.rows.insert(write.key.clone(), (self.version, value));
        }
        Ok(self.version)
    }

    fn row(&self, key: &RowKey, era: u64) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.clone(),
            version: position(era, *version),
            value: value.clone(),
        })
    }
}

fn position(era: u64, version: u64) -> RowVersion {
    RowVersion(StorePosition { era, version }.to_number())
}

/// One process, which makes one call at a time.
pub struct Process {
    pub keeper: LeaseKeeper,
    /// Newest era that an answer has named.
    era: u64,
    pub alive: bool,
    pub frozen_until: u64,
    /// When it acts under the lease at the earliest.
    acts_from: u64,
    /// Whether it gives the lease up for good.
    pub stopping: bool,
    /// Whether other threads of it ask the store as well, so that its adapter knows of an era before its keeper does.
    pub learns: bool,
    /// Whether its calls don't reach the store.
    pub cut: bool,
    /// Fates of its next calls; later ones are answered at once.
    pub fates: VecDeque<Fate>,
    in_flight: Option<(u64, CallId, TableAnswer, u64)>,
}

#[derive(Default)]
pub struct World {
    pub now: u64,
    pub store: Copy,
    era: u64,
    late: Vec<(u64, Transaction)>,
    /// Versions of renewals on their way to the other processes.
    digests: Vec<(u64, RowVersion)>,
    pub processes: Vec<Process>,
    /// Process that used each token.
    users: BTreeMap<u64, usize>,
    highest: u64,
    /// Spans in which one process after the other has acted: process, first and last moment.
    turns: Vec<(usize, u64, u64)>,
    /// What broke the rule.
    pub broken: Vec<String>,
}

impl World {
    /// Starts another process.
    pub fn start(&mut self) -> usize {
        let index = self.processes.len();
        let (node, zone) = (NodeId::new(format!("node-{index}")), ZoneId::new("fleet"));
        self.processes.push(Process {
            keeper: LeaseKeeper::new(TIMINGS, node, zone, index as u64 + 1),
            era: 0,
            alive: true,
            frozen_until: 0,
            acts_from: 0,
            stopping: false,
            learns: false,
            cut: false,
            fates: VecDeque::new(),
            in_flight: None,
        });
        index
    }

    /// The store comes back from a copy, in a new era.
    pub fn restore(&mut self, copy: &Copy) {
        self.store = copy.clone();
        self.era += 1;
    }

    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until somebody holds the lease; the time that it took.
    pub fn run_until_held(&mut self, most_millis: u64) -> Option<u64> {
        let begin = self.now;
        while self.holder().is_none() {
            if self.now > begin + most_millis {
                return None;
            }
            self.step();
        }
        Some(self.now - begin)
    }

    /// The process that may act now and its token.
    pub fn holder(&self) -> Option<(usize, u64)> {
        let mut acting = (0..self.processes.len()).filter_map(|index| Some((index, self.token(index)?)));
        acting.next()
    }

    fn token(&self, index: usize) -> Option<u64> {
        let process = &self.processes[index];
        let authority = process.keeper.authority(at(self.now));
        let authority = authority.filter(|_| process.acts_at(self.now))?;
        Some(authority.token.0)
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(due, _)| *due <= self.now);
        self.late = late;
        for (_, transaction) in due as Vec<(u64, Transaction)> {
            let _whether_it_still_held = self.store.execute(&transaction);
        }
        self.pass_digests();
        for index in 0..self.processes.len() {
            if self.processes[index].acts_at(self.now) {
                self.step_process(index);
            }
        }
        for index in 0..self.processes.len() {
            if let Some(token) = self.token(index) {
                self.judge(index, token);
            }
        }
    }

    /// Holders name their last renewal once a second; it arrives up to two seconds later.
    fn pass_digests(&mut self) {
        let now = self.now;
        for process in self.processes.iter_mut().filter(|process| process.acts_at(now)) {
            for (_, version) in self.digests.iter().filter(|(due, _)| *due <= now) {
                process.keeper.note_heard(*version, at(now));
            }
        }
        self.digests.retain(|(due, _)| *due > now);
        if now.is_multiple_of(DIGEST_MILLIS) {
            let acting = self.processes.iter().filter(|process| process.acts_at(now));
            let versions = acting.filter_map(|process| process.keeper.renewed_version());
            let delay = now / DIGEST_MILLIS * 450 % 2_000;
            self.digests
                .extend(versions.map(|version| (now + delay, version)));
        }
    }

    fn step_process(&mut self, index: usize) {
        let now = at(self.now);
        let process = &mut self.processes[index];
        let mut effects = match process.in_flight.take() {
            Some((due, call, answer, era)) if due <= self.now => process.take_answer(call, answer, era, now),
            waiting @ Some(_) => {
                process.in_flight = waiting;
                return;
            }
            None => {
                process.keeper.note_era(process.era);
                let stopping = process.stopping;
                let event = if stopping {
                    LeaseEvent::Release
                } else {
                    LeaseEvent::Tick
                };
                process.keeper.handle(event, now)
            }
        };
        while let Some(effect) = effects.pop() {
            match effect {
                LeaseEffect::Call { call, request } => {
                    if let Some((answer, era)) = self.call(index, call, &request) {
                        effects.extend(self.processes[index].take_answer(call, answer, era, now));
                    }
                }
                LeaseEffect::Gained(_) => {
                    let process = &mut self.processes[index];
                    let released = process.keeper.took_released();
                    process.acts_from = self.now + if released { AFTER_RELEASE_MILLIS } else { 0 };
                }
                LeaseEffect::Lost(_) => {}
            }
        }
    }

    /// The answer and its era; absent where it comes later.
    fn call(&mut self, index: usize, call: CallId, request: &TableCall) -> Option<(TableAnswer, u64)> {
        let process = &mut self.processes[index];
        if process.learns && !process.cut {
            process.era = self.era;
        }
        let known = process.era;
        let fate = process.fates.pop_front().unwrap_or(Fate::Answered(0));
        if process.cut || fate == Fate::Refused {
            return Some((TableAnswer::Failed(PlatformError::Unavailable), known));
        }
        let lost = TableAnswer::Failed(PlatformError::AnswerLost);
        if let Fate::Late(after) = fate {
            if let TableCall::Transact(transaction) = request {
                self.late.push((self.now + after, transaction.clone()));
            }
            return Some((lost, known));
        }
        let answer = self.execute(known, request);
        match fate {
            Fate::AnswerLost => Some((lost, known)),
            Fate::Answered(after) if after > 0 => {
                self.processes[index].in_flight = Some((self.now + after, call, answer, self.era));
                None
            }
            _ => Some((answer, self.era)),
        }
    }

    /// What the adapter makes of a call, by the newest era that it knows.
    fn execute(&mut self, known: u64, request: &TableCall) -> TableAnswer {
        let transaction = match request {
            TableCall::Read(key) => return TableAnswer::Row(self.store.row(key, self.era)),
            TableCall::Scan(_) => return TableAnswer::Rows(Vec::new()),
            TableCall::Transact(transaction) => transaction,
        };
        let expected = transaction.checks.iter().filter_map(|check| check.expected);
        let condition_era = expected.map(|version| StorePosition::era_of(version.0)).min();
        if condition_era.is_some_and(|era| era < known) {
            let key = transaction.checks[0].key.clone();
            let found = self.store.row(&key, self.era);
            return TableAnswer::Transacted(TransactionOutcome::Conflict { key, found });
        }
        match self.store.execute(transaction) {
            Ok(_) if condition_era.is_some_and(|era| era < self.era) => {
                TableAnswer::Failed(PlatformError::AnswerLost)
            }
            Ok(version) => {
                let version = position(self.era, version);
                TableAnswer::Transacted(TransactionOutcome::Committed { version })
            }
            Err(key) => {
                let found = self.store.row(&key, self.era);
                TableAnswer::Transacted(TransactionOutcome::Conflict { key, found })
            }
        }
    }

    fn judge(&mut self, index: usize, token: u64) {
        let now = self.now;
        let user = *self.users.entry(token).or_insert(index);
        if user != index {
            self.broken
                .push(format!("token {token} of {user} used by {index} at {now}"));
        }
        if token < self.highest {
            self.broken
                .push(format!("token {token} after {} at {now}", self.highest));
        }
        self.highest = self.highest.max(token);
        if now < self.processes[index].acts_from {
            return;
        }
        match self.turns.last_mut() {
            Some((last, _, until)) if *last == index => *until = now,
            _ => {
                let before = self.turns.iter().rev().find(|(process, ..)| *process == index);
                if before.is_some_and(|(.., until)| now - until <= TURN_MILLIS) {
                    self.broken.push(format!("{index} takes turns at {now}"));
                }
                self.turns.push((index, now, now));
            }
        }
    }
}

impl Process {
    fn acts_at(&self, now: u64) -> bool {
        self.alive && self.frozen_until <= now
    }

    fn take_answer(
        &mut self,
        call: CallId,
        answer: TableAnswer,
        era: u64,
        now: MonotonicTime,
    ) -> Vec<LeaseEffect> {
        self.era = self.era.max(era);
        self.keeper.note_era(self.era);
        self.keeper.handle(LeaseEvent::Answer { call, answer }, now)
    }
}
