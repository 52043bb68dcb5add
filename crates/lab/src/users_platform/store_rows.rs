//! The rows of the store: their versions and history, transactions with conditions, and their form on the wire.

use serde::{Deserialize, Serialize};
use shelfjunction_http::Answer;
use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

pub(super) const JSON: &str = "application/json";

/// Table and key of a row.
pub(super) type RowName = (String, String);

#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) value: String,
    pub(super) version: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) version: u64,
    pub(super) name: RowName,
    pub(super) value: Option<String>,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) rows: BTreeMap<RowName, Stored>,
    pub(super) history: Vec<Change>,
    /// Changes up to this version are forgotten.
    pub(super) forgotten: u64,
    pub(super) version: u64,
    /// Restores from a copy so far; answers name it from the first on.
    pub(super) era: u64,
    pub(super) calls: u64,
}

/// A copy of the store, to be restored later.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    pub(super) rows: BTreeMap<RowName, Stored>,
    pub(super) version: u64,
}

#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) state: Mutex<State>,
    pub(super) changed: Condvar,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WireRow {
    pub(super) table: String,
    pub(super) part: String,
    pub(super) private_key: String,
    #[serde(default)]
    pub(super) value: String,
    #[serde(default)]
    pub(super) ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) gone: bool,
}

#[derive(Serialize)]
pub(super) struct Rows {
    pub(super) rows: Vec<WireRow>,
    pub(super) more: bool,
    pub(super) ver: u64,
    pub(super) now_ms: u64,
}

#[derive(Deserialize)]
pub(super) struct Transaction {
    pub(super) expected: Vec<WireRow>,
    pub(super) put: Vec<WireRow>,
    pub(super) remove: Vec<WireRow>,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes a transaction whose conditions hold now.
    pub(super) fn transact(&self, body: &[u8]) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return Answer::new(400, JSON, "{}");
        };
        let mut state = self.lock();
        let holds = |row: &WireRow| state.version_of(&row_name(row)) == row.ver;
        if !transaction.expected.iter().all(holds) {
            let rows = transaction.expected.iter().filter_map(|row| {
                let name = row_name(row);
                let stored = state.rows.get(&name)?;
                Some(wire_row(&name, Some(&stored.value), stored.version))
            });
            return rows_answer(412, rows.collect(), false, state.version);
        }
        state.version += 1;
        for row in transaction.put {
            let value = row.value.clone();
            state.record(row_name(&row), Some(value));
        }
        for row in transaction.remove {
            state.record(row_name(&row), None);
        }
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        rows_answer(200, Vec::new(), false, version)
    }
}

impl State {
    pub(super) fn write(&mut self, name: RowName, value: Option<String>) {
        self.version += 1;
        self.record(name, value);
    }

    pub(super) fn record(&mut self, name: RowName, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                let stored = Stored {
                    value: value.clone(),
                    version,
                };
                self.rows.insert(name.clone(), stored);
            }
            None => {
                self.rows.remove(&name);
            }
        }
        self.history.push(Change { version, name, value });
    }

    pub(super) fn version_of(&self, name: &RowName) -> u64 {
        self.rows.get(name).map_or(0, |stored| stored.version)
    }
}

/// The last change of each row of a table since a version, in order.
pub(super) fn changed_rows(state: &State, table: &str, after: u64) -> Vec<WireRow> {
    let mut last: BTreeMap<&RowName, &Change> = BTreeMap::new();
    for change in state
        .history
        .iter()
        .filter(|change| change.version > after && change.name.0 == table)
    {
        last.insert(&change.name, change);
    }
    let mut rows: Vec<WireRow> = last
        .into_values()
        .map(|change| wire_row(&change.name, change.value.as_ref(), change.version))
        .collect();
    rows.sort_by_key(|row| row.ver);
    rows
}

pub(super) fn rows_answer(status: u16, rows: Vec<WireRow>, more: bool, version: u64) -> Answer {
    let rows = Rows {
        rows,
        more,
        ver: version,
        now_ms: 0,
    };
    Answer::new(status, JSON, serde_json::to_vec(&rows).unwrap_or_default())
}

pub(super) fn wire_row(name: &RowName, value: Option<&String>, version: u64) -> WireRow {
    WireRow {
        table: name.0.clone(),
        part: String::new(),
        private_key: name.1.clone(),
        value: value.cloned().unwrap_or_default(),
        ver: version,
        gone: value.is_none(),
    }
}

pub(super) fn row_name(row: &WireRow) -> RowName {
    name(&row.table, &row.private_key)
}

pub(super) fn name(table: &str, key: &str) -> RowName {
    (table.to_owned(), key.to_owned())
}
