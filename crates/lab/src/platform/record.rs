//! What the stand-in platform was told, kept for an oracle to read.

use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::{ModelId, WeightVersion};
use shelfjunction_core::table::{RowKey, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;

/// One call and what was done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformRecord {
    /// Position since the start, from one.
    pub sequence: u64,
    /// When the call came.
    pub at: MonotonicTime,
    /// What was asked.
    pub call: RecordedCall,
    /// What was done, and what the caller was told of it.
    pub verdict: RecordedVerdict,
}

/// What was asked; reads of contents are kept by name only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum RecordedCall {
    /// A transaction.
    Transact {
        /// The transaction in full.
        transaction: Transaction,
    },
    /// A read of one row.
    ReadRow {
        /// The row.
        key: RowKey,
    },
    /// A read of rows.
    Scan {
        /// Start of their keys.
        prefix: String,
    },
    /// An object was to be stored.
    PutObject {
        /// Its name.
        name: String,
        /// Its size.
        bytes: usize,
    },
    /// A read of an object.
    GetObject {
        /// Its name.
        name: String,
    },
    /// A read of the machine list.
    Machines,
    /// A question about the weight store's queue.
    WeightQueue {
        /// The model.
        model: ModelId,
        /// Its version.
        version: WeightVersion,
    },
    /// A load of weights.
    LoadWeights {
        /// The model.
        model: ModelId,
        /// Its version.
        version: WeightVersion,
        /// Size of the weights.
        bytes: u64,
    },
}

/// What was done, and what the caller was told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum RecordedVerdict {
    /// Nothing was done: out of service.
    Unavailable,
    /// Nothing was done and nothing was answered.
    Silent,
    /// Nothing was done: over the rate.
    Throttled,
    /// Done; for a transaction, with its outcome.
    Done {
        /// Outcome of a transaction.
        transaction: Option<TransactionOutcome>,
        /// Whether the caller got the answer.
        answered: bool,
    },
}

/// Records in order, the oldest dropped first.
#[derive(Clone, Debug)]
pub(super) struct RecordLog {
    records: VecDeque<PlatformRecord>,
    kept: usize,
    last_sequence: u64,
}

impl RecordLog {
    /// An empty log that keeps so many records.
    pub(super) fn new(kept: usize) -> Self {
        Self {
            records: VecDeque::new(),
            kept,
            last_sequence: 0,
        }
    }

    /// Adds a record.
    pub(super) fn push(&mut self, at: MonotonicTime, call: RecordedCall, verdict: RecordedVerdict) {
        self.last_sequence += 1;
        if self.records.len() == self.kept {
            self.records.pop_front();
        }
        self.records.push_back(PlatformRecord {
            sequence: self.last_sequence,
            at,
            call,
            verdict,
        });
    }

    /// Records after the given position.
    pub(super) fn after(&self, sequence: u64) -> impl Iterator<Item = &PlatformRecord> {
        let start = self.records.partition_point(|record| record.sequence <= sequence);
        self.records.range(start..)
    }
}
