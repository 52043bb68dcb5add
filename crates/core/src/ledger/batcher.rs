//! Groups writes to claim rows into few transactions, since the table service is rate-limited.

use super::row::{ClaimContent, StoredClaim};
use crate::table::{Check, PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Names one write handed to the batcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Names one transaction that was handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchId(pub u64);

/// One write to one claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWrite {
    /// The row.
    pub key: RowKey,
    /// Version it must have; absent: it must not exist.
    pub expected: Option<RowVersion>,
    /// New JSON text; absent: the row is deleted.
    pub value: Option<String>,
}

impl ClaimWrite {
    /// Looks a row up and changes nothing: the row is deleted on condition that there is none.
    pub fn look_up(key: RowKey) -> Self {
        Self {
            key,
            expected: None,
            value: None,
        }
    }

    /// The write alone in a transaction.
    pub fn transaction(&self) -> Transaction {
        Transaction {
            checks: vec![self.check()],
            writes: vec![self.change()],
        }
    }

    fn check(&self) -> Check {
        Check {
            key: self.key.clone(),
            expected: self.expected,
        }
    }

    fn change(&self) -> Write {
        Write {
            key: self.key.clone(),
            value: self.value.clone(),
        }
    }

    fn looks_up(&self) -> bool {
        self.expected.is_none() && self.value.is_none()
    }
}

/// What became of one write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteAnswer {
    /// It took effect.
    Committed {
        /// Version of the row.
        version: RowVersion,
    },
    /// There is no row; answers a look-up only.
    Absent,
    /// The row holds something else.
    Exists(StoredClaim),
    /// The row that was to be changed is gone.
    Gone,
    /// It did not take effect, or nobody can tell.
    Failed(PlatformError),
}

/// A transaction to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its name, to be handed back with the outcome.
    pub batch: BatchId,
    /// The transaction.
    pub transaction: Transaction,
}

/// Bounds of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchSettings {
    /// Most writes in one transaction.
    pub writes: usize,
    /// Longest time that a write waits for others.
    pub wait: Duration,
    /// Most transactions on their way at once.
    pub in_flight: usize,
    /// Most times one write is sent again after a lost answer.
    pub repeats: u32,
    /// Most writes that wait; more are refused at once.
    pub queue: usize,
    /// A write that is older than this is neither sent nor sent again.
    pub patience: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            writes: 64,
            wait: Duration::from_millis(2),
            in_flight: 2,
            repeats: 3,
            queue: 4_096,
            patience: Duration::from_secs(2),
        }
    }
}

#[derive(Clone, Debug)]
struct Pending {
    ticket: Ticket,
    write: ClaimWrite,
    submitted: MonotonicTime,
    since: MonotonicTime,
    repeats: u32,
}

/// Collects writes, hands out transactions and sorts out their outcomes.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: BatchSettings,
    waiting: VecDeque<Pending>,
    in_flight: BTreeMap<BatchId, Vec<Pending>>,
    next_ticket: u64,
    next_batch: u64,
}

impl ClaimBatcher {
    /// An empty batcher.
    pub fn new(settings: BatchSettings) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            in_flight: BTreeMap::new(),
            next_ticket: 0,
            next_batch: 0,
        }
    }

    /// Takes a write; absent when too many wait, in which case nothing is written.
    pub fn submit(&mut self, write: ClaimWrite, now: MonotonicTime) -> Option<Ticket> {
        if self.waiting.len() >= self.settings.queue {
            return None;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(Pending {
            ticket,
            write,
            submitted: now,
            since: now,
            repeats: 0,
        });
        Some(ticket)
    }

    /// Whether nothing waits and nothing is on its way.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_empty()
    }

    /// The instant from which [`Self::poll`] has a transaction to give; absent when only an outcome can bring one.
    pub fn due(&self) -> Option<MonotonicTime> {
        if self.in_flight.len() >= self.settings.in_flight {
            return None;
        }
        let oldest = self.waiting.front()?.since;
        if self.waiting.len() >= self.settings.writes {
            return Some(oldest);
        }
        Some(oldest + self.settings.wait)
    }

    /// The next transaction, if one is due at `now`. No two writes of one transaction, nor of two that are on
    /// their way, concern the same row.
    pub fn poll(&mut self, now: MonotonicTime) -> Option<Batch> {
        if self.due()? > now {
            return None;
        }
        let chosen = self.take_distinct_rows();
        if chosen.is_empty() {
            return None;
        }
        let batch = BatchId(self.next_batch);
        self.next_batch += 1;
        let transaction = transaction_of(&chosen);
        self.in_flight.insert(batch, chosen);
        Some(Batch { batch, transaction })
    }

    /// Takes the outcome of a transaction and answers the writes that are settled by it.
    pub fn on_outcome(
        &mut self,
        batch: BatchId,
        outcome: Result<TransactionOutcome, PlatformError>,
        now: MonotonicTime,
    ) -> Vec<(Ticket, WriteAnswer)> {
        let Some(pending) = self.in_flight.remove(&batch) else {
            return Vec::new();
        };
        let mut answers = self.sort_out(pending, outcome, now);
        answers.extend(self.give_up_old(now));
        answers
    }

    fn sort_out(
        &mut self,
        pending: Vec<Pending>,
        outcome: Result<TransactionOutcome, PlatformError>,
        now: MonotonicTime,
    ) -> Vec<(Ticket, WriteAnswer)> {
        match outcome {
            Ok(TransactionOutcome::Committed { version }) => pending
                .into_iter()
                .map(|pending| (pending.ticket, committed_answer(&pending.write, version)))
                .collect(),
            Ok(TransactionOutcome::Conflict { key, found }) => self.on_conflict(pending, &key, found, now),
            Err(error @ (PlatformError::AnswerLost | PlatformError::Malformed(_))) => {
                self.repeat(pending, &error, now)
            }
            Err(error) => pending
                .into_iter()
                .map(|pending| given_up(&pending, error.clone()))
                .collect(),
        }
    }

    /// A table that is silent holds up what waits behind it; whoever waits is answered in time all the same.
    fn give_up_old(&mut self, now: MonotonicTime) -> Vec<(Ticket, WriteAnswer)> {
        let patience = self.settings.patience;
        let waiting = std::mem::take(&mut self.waiting);
        let (old, young): (VecDeque<_>, VecDeque<_>) = waiting
            .into_iter()
            .partition(|pending| now.since(pending.submitted) >= patience);
        self.waiting = young;
        old.iter()
            .map(|pending| given_up(pending, PlatformError::Unavailable))
            .collect()
    }

    fn take_distinct_rows(&mut self) -> Vec<Pending> {
        let mut busy: Vec<RowKey> = self.in_flight.values().flatten().map(row_of).collect();
        let mut chosen = Vec::new();
        let mut left = VecDeque::new();
        while let Some(pending) = self.waiting.pop_front() {
            let row = row_of(&pending);
            if chosen.len() < self.settings.writes && !busy.contains(&row) {
                busy.push(row);
                chosen.push(pending);
            } else {
                busy.push(row);
                left.push_back(pending);
            }
        }
        self.waiting = left;
        chosen
    }

    /// Nothing was written: the write whose row differs is answered, the others go on without it.
    fn on_conflict(
        &mut self,
        pending: Vec<Pending>,
        key: &RowKey,
        found: Option<Row>,
        now: MonotonicTime,
    ) -> Vec<(Ticket, WriteAnswer)> {
        let (hit, others): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|pending| &pending.write.key == key);
        for pending in others.into_iter().rev() {
            self.waiting.push_front(Pending {
                since: now - self.settings.wait,
                ..pending
            });
        }
        hit.into_iter()
            .map(|pending| (pending.ticket, conflict_answer(&pending.write, found.as_ref())))
            .collect()
    }

    /// A repeated compare-and-set takes effect at most once: where the first one did, the second meets its value.
    fn repeat(
        &mut self,
        pending: Vec<Pending>,
        error: &PlatformError,
        now: MonotonicTime,
    ) -> Vec<(Ticket, WriteAnswer)> {
        let mut answers = Vec::new();
        for mut pending in pending.into_iter().rev() {
            let is_old = now.since(pending.submitted) >= self.settings.patience;
            if is_old || pending.repeats >= self.settings.repeats {
                answers.push((pending.ticket, WriteAnswer::Failed(error.clone())));
                continue;
            }
            pending.repeats += 1;
            pending.since = now;
            self.waiting.push_front(pending);
        }
        answers
    }
}

/// Once a copy of a write was lost, an error that speaks of the last copy alone settles nothing.
fn given_up(pending: &Pending, error: PlatformError) -> (Ticket, WriteAnswer) {
    let error = if pending.repeats == 0 {
        error
    } else {
        PlatformError::AnswerLost
    };
    (pending.ticket, WriteAnswer::Failed(error))
}

fn row_of(pending: &Pending) -> RowKey {
    pending.write.key.clone()
}

fn transaction_of(pending: &[Pending]) -> Transaction {
    Transaction {
        checks: pending.iter().map(|pending| pending.write.check()).collect(),
        writes: pending.iter().map(|pending| pending.write.change()).collect(),
    }
}

fn committed_answer(write: &ClaimWrite, version: RowVersion) -> WriteAnswer {
    if write.looks_up() {
        return WriteAnswer::Absent;
    }
    WriteAnswer::Committed { version }
}

fn conflict_answer(write: &ClaimWrite, found: Option<&Row>) -> WriteAnswer {
    let Some(row) = found else {
        return WriteAnswer::Gone;
    };
    if holds(row, write) {
        return WriteAnswer::Committed { version: row.version };
    }
    WriteAnswer::Exists(StoredClaim::read(row))
}

/// Whether the row holds what the write was to put there, as after a write whose answer was lost.
fn holds(row: &Row, write: &ClaimWrite) -> bool {
    let Some(value) = &write.value else {
        return false;
    };
    let wanted = ClaimContent::read(value);
    wanted != ClaimContent::Unreadable && ClaimContent::read(&row.value) == wanted
}
