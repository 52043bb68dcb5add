//! Everything a controller knows of nodes and engines, with the order in which it changed.

mod table;

use crate::stop::lock;
use shelfjunction_core::engine::EngineStatus;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::record::{EngineRecord, Liveness, Record, RecordBody, RecordKey};
use shelfjunction_core::time::MonotonicTime;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;
use table::RecordTable;

pub use table::{ChangeNumber, Changes};

/// Record table shared by the threads that learn and those that tell.
#[derive(Debug, Default)]
pub struct FleetTable {
    records: Mutex<RecordTable>,
    changed: Condvar,
}

impl FleetTable {
    /// Takes in a record from elsewhere; false when it is no newer than what is known.
    pub fn merge(&self, record: Record, now: MonotonicTime) -> bool {
        let accepted = lock(&self.records).merge(record, now);
        if accepted {
            self.changed.notify_all();
        }
        accepted
    }

    /// Records what this controller itself saw of an engine, superseding every record known of it.
    pub fn observe_engine(&self, engine: &EngineId, body: EngineRecord, now: MonotonicTime) {
        lock(&self.records).observe_engine(engine, body, now);
        self.changed.notify_all();
    }

    /// The record on a subject, with its age at `now`.
    pub fn get(&self, key: &RecordKey, now: MonotonicTime) -> Option<Record> {
        lock(&self.records).get(key, now)
    }

    /// Every record, with its age at `now`.
    pub fn all(&self, now: MonotonicTime) -> Vec<Record> {
        lock(&self.records).all(now)
    }

    /// Every engine known, with its record and age.
    pub fn engines(&self, now: MonotonicTime) -> Vec<KnownEngine> {
        self.all(now)
            .into_iter()
            .filter_map(KnownEngine::from_record)
            .collect()
    }

    /// Up to `limit` records that changed after the given number, oldest change first.
    pub fn changes_after(&self, after: ChangeNumber, limit: usize, now: MonotonicTime) -> Changes {
        lock(&self.records).changes_after(after, limit, now)
    }

    /// Waits until something changed after the given number, or the time has passed.
    pub fn wait_for_change(&self, after: ChangeNumber, timeout: Duration) {
        let records = lock(&self.records);
        let _guard = self
            .changed
            .wait_timeout_while(records, timeout, |records| records.last_change() <= after)
            .unwrap_or_else(PoisonError::into_inner);
    }

    /// Forgets dead subjects that nobody has seen for `retention`.
    pub fn forget_dead(&self, retention: Duration, now: MonotonicTime) {
        lock(&self.records).forget_dead(retention, now);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        lock(&self.records).len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// An engine as the fleet's records describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its newest record.
    pub record: EngineRecord,
    /// Time since it was observed.
    pub age: Duration,
}

impl KnownEngine {
    fn from_record(record: Record) -> Option<Self> {
        let (RecordKey::Engine(engine), RecordBody::Engine(body)) = (record.key, record.body) else {
            return None;
        };
        Some(Self {
            engine,
            record: body,
            age: Duration::from_millis(u64::from(record.age_millis)),
        })
    }

    /// The last status, when the engine answers.
    pub fn live_status(&self) -> Option<&EngineStatus> {
        match self.record.liveness {
            Liveness::Alive | Liveness::Leaving => self.record.status.as_ref(),
            Liveness::Suspect | Liveness::Dead => None,
        }
    }
}
