//! The newest record on each subject, indexed by the order in which they changed here.

use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::record::{
    EngineRecord, Liveness, Record, RecordBody, RecordKey, RecordVersion,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Position in this controller's own order of changes; zero stands before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeNumber(pub u64);

/// Records that changed, and where to go on from.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// The records, oldest change first, each with its present age.
    pub records: Vec<Record>,
    /// Position of the last of them.
    pub upto: ChangeNumber,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    received: MonotonicTime,
    change: ChangeNumber,
}

/// The newest record on each subject.
#[derive(Debug, Default)]
pub struct RecordTable {
    entries: BTreeMap<RecordKey, Entry>,
    order: BTreeMap<ChangeNumber, RecordKey>,
    last: ChangeNumber,
}

impl RecordTable {
    /// Takes in a record when its version is higher than the one known.
    pub fn merge(&mut self, record: Record, now: MonotonicTime) -> bool {
        let known = self.entries.get(&record.key);
        if known.is_some_and(|entry| entry.record.version >= record.version) {
            return false;
        }
        self.replace(record, now);
        true
    }

    /// Stores what was seen of an engine under a version above the one known.
    pub fn observe_engine(&mut self, engine: &EngineId, body: EngineRecord, now: MonotonicTime) {
        let key = RecordKey::Engine(engine.clone());
        let known = self
            .entries
            .get(&key)
            .map(|entry| entry.record.version)
            .unwrap_or_default();
        let incarnation = body.status.as_ref().map_or(0, |status| status.incarnation);
        let version = next_version(known, incarnation);
        let record = Record {
            key,
            version,
            age_millis: 0,
            body: RecordBody::Engine(body),
        };
        self.replace(record, now);
    }

    /// The record on a subject, with its present age.
    pub fn get(&self, key: &RecordKey, now: MonotonicTime) -> Option<Record> {
        self.entries.get(key).map(|entry| aged(entry, now))
    }

    /// Every record, with its present age.
    pub fn all(&self, now: MonotonicTime) -> Vec<Record> {
        self.entries.values().map(|entry| aged(entry, now)).collect()
    }

    /// Up to `limit` records that changed after the given position.
    pub fn changes_after(&self, after: ChangeNumber, limit: usize, now: MonotonicTime) -> Changes {
        let mut changes = Changes {
            records: Vec::new(),
            upto: after,
        };
        let first = ChangeNumber(after.0 + 1);
        for (change, key) in self.order.range(first..).take(limit) {
            changes.records.extend(self.get(key, now));
            changes.upto = *change;
        }
        changes
    }

    /// Position of the newest change.
    pub fn last_change(&self) -> ChangeNumber {
        self.last
    }

    /// Drops dead subjects that were last observed longer than `retention` ago.
    pub fn forget_dead(&mut self, retention: Duration, now: MonotonicTime) {
        let order = &mut self.order;
        self.entries.retain(|_, entry| {
            let age = Duration::from_millis(u64::from(aged(entry, now).age_millis));
            let keep = !is_dead(&entry.record) || age < retention;
            if !keep {
                order.remove(&entry.change);
            }
            keep
        });
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn replace(&mut self, record: Record, now: MonotonicTime) {
        self.last = ChangeNumber(self.last.0 + 1);
        let key = record.key.clone();
        let entry = Entry {
            record,
            received: now,
            change: self.last,
        };
        self.order.insert(self.last, key.clone());
        if let Some(previous) = self.entries.insert(key, entry) {
            self.order.remove(&previous.change);
        }
    }
}

fn next_version(known: RecordVersion, incarnation: u64) -> RecordVersion {
    if incarnation > known.incarnation {
        return RecordVersion {
            incarnation,
            sequence: 1,
        };
    }
    RecordVersion {
        incarnation: known.incarnation,
        sequence: known.sequence + 1,
    }
}

fn is_dead(record: &Record) -> bool {
    let liveness = match &record.body {
        RecordBody::Node(node) => node.liveness,
        RecordBody::Engine(engine) => engine.liveness,
    };
    liveness == Liveness::Dead
}

fn aged(entry: &Entry, now: MonotonicTime) -> Record {
    let kept = u32::try_from(now.since(entry.received).as_millis()).unwrap_or(u32::MAX);
    let mut record = entry.record.clone();
    record.age_millis = record.age_millis.saturating_add(kept);
    record
}
