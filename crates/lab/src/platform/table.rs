//! The versioned table with transactions.

use shelfjunction_core::table::{Check, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write};
use std::collections::BTreeMap;

/// Rows by key; every transaction that writes takes the next version.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<RowKey, Row>,
    last_version: u64,
}

impl Table {
    /// One row; absent when it does not exist.
    pub(super) fn read(&self, key: &RowKey) -> Option<Row> {
        self.rows.get(key).cloned()
    }

    /// Every row whose key starts with `prefix`, sorted by key.
    pub(super) fn scan(&self, prefix: &str) -> Vec<Row> {
        let start = RowKey(prefix.to_owned());
        self.rows
            .range(start..)
            .take_while(|(key, _)| key.0.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Applies checks and writes together or not at all.
    pub(super) fn transact(&mut self, transaction: &Transaction) -> TransactionOutcome {
        if let Some(failed) = transaction.checks.iter().find(|check| !self.holds(check)) {
            return TransactionOutcome::Conflict {
                key: failed.key.clone(),
                found: self.read(&failed.key),
            };
        }
        self.last_version += 1;
        let version = RowVersion(self.last_version);
        for write in &transaction.writes {
            self.apply(write, version);
        }
        TransactionOutcome::Committed { version }
    }

    fn holds(&self, check: &Check) -> bool {
        self.rows.get(&check.key).map(|row| row.version) == check.expected
    }

    fn apply(&mut self, write: &Write, version: RowVersion) {
        match &write.value {
            None => {
                self.rows.remove(&write.key);
            }
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
}
