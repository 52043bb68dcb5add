//! A table service with compare-and-set, for batches of two gateways.

use shelfjunction_core::ledger::batcher::{
    Batch, BatchSettings, ClaimBatcher, ClaimWrite, Ticket, WriteAnswer,
};
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};

/// Rows, batchers and transactions on their way.
pub struct Table {
    rows: BTreeMap<RowKey, Row>,
    version: u64,
    batchers: [ClaimBatcher; 2],
    on_their_way: VecDeque<(usize, Batch)>,
    lost: Vec<Transaction>,
}

impl Default for Table {
    fn default() -> Self {
        let settings = BatchSettings {
            repeats: 1,
            writes: 2,
            ..BatchSettings::default()
        };
        Self {
            rows: BTreeMap::new(),
            version: 0,
            batchers: [ClaimBatcher::new(settings), ClaimBatcher::new(settings)],
            on_their_way: VecDeque::new(),
            lost: Vec::new(),
        }
    }
}

impl Table {
    pub fn submit(&mut self, gateway: usize, write: ClaimWrite, now: MonotonicTime) -> Ticket {
        self.batchers[gateway].submit(write, now).unwrap()
    }

    pub fn read(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key)
    }

    /// Ends the oldest transaction on its way; the gateway and its answered writes.
    pub fn step(&mut self, fate: u8, now: MonotonicTime) -> (usize, Vec<(Ticket, WriteAnswer)>) {
        for gateway in 0..2 {
            while let Some(batch) = self.batchers[gateway].poll(now) {
                self.on_their_way.push_back((gateway, batch));
            }
        }
        let Some((gateway, batch)) = self.on_their_way.pop_front() else {
            return (0, Vec::new());
        };
        let outcome = match fate % 10 {
            0 => Err(PlatformError::Unavailable),
            1 => {
                self.lost.push(batch.transaction);
                Err(PlatformError::AnswerLost)
            }
            2 => {
                self.transact(&batch.transaction);
                Err(PlatformError::AnswerLost)
            }
            _ => Ok(self.transact(&batch.transaction)),
        };
        let answers = self.batchers[gateway].on_outcome(batch.batch, outcome, now);
        (gateway, answers)
    }

    pub fn late_write(&mut self, which: u8) {
        if !self.lost.is_empty() {
            let index = usize::from(which) % self.lost.len();
            let transaction = self.lost.swap_remove(index);
            self.transact(&transaction);
        }
    }

    /// Everything that was lost takes effect.
    pub fn late_writes(&mut self) {
        while !self.lost.is_empty() {
            self.late_write(0);
        }
    }

    pub fn rows(&self) -> impl Iterator<Item = &Row> {
        self.rows.values()
    }

    pub fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for check in &transaction.checks {
            let found = self.rows.get(&check.key);
            if found.map(|row| row.version) != check.expected {
                return TransactionOutcome::Conflict {
                    key: check.key.clone(),
                    found: found.cloned(),
                };
            }
        }
        self.version += 1;
        let version = RowVersion(self.version);
        for write in &transaction.writes {
            match &write.value {
                None => drop(self.rows.remove(&write.key)),
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        version,
                        value: value.clone(),
                    };
                    self.rows.insert(write.key.clone(), row);
                }
            }
        }
        TransactionOutcome::Committed { version }
    }
}
