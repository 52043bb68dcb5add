//! Which changes of the platform's list of engines are new.
//!
//! A node hears of changes from the store and, where the store does not answer it, from other nodes. Both number them
//! by the store's version, so the older word of one never undoes the newer word of the other.

use super::engine::PoolEngine;
use crate::identity::EngineId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// An engine is listed so.
    Listed(PoolEngine),
    /// An engine is listed no longer.
    Gone(EngineId),
}

impl ListChange {
    fn engine(&self) -> &EngineId {
        match self {
            Self::Listed(engine) => &engine.id,
            Self::Gone(engine) => engine,
        }
    }
}

/// The list as of one version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// Version of the store that it reflects.
    pub version: u64,
    /// Engines.
    pub engines: Vec<PoolEngine>,
}

/// The list as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineListing {
    engines: BTreeMap<EngineId, PoolEngine>,
    /// Everything up to this version is reflected.
    reflected: u64,
    /// Version of the last change.
    changed: u64,
}

impl EngineListing {
    /// Takes changes in order, each with its version, up to `reflected`; returns those that are new.
    pub fn apply(&mut self, changes: Vec<(u64, ListChange)>, reflected: u64) -> Vec<ListChange> {
        let before = self.reflected;
        let mut taken = Vec::new();
        for (version, change) in changes {
            if version <= before || !self.take(&change) {
                continue;
            }
            self.changed = self.changed.max(version);
            taken.push(change);
        }
        self.reflected = self.reflected.max(reflected);
        taken
    }

    /// Takes the whole list, if it is newer than what is known; returns the changes that it amounts to.
    pub fn replace(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        if snapshot.version < self.reflected {
            return Vec::new();
        }
        let gone = self
            .engines
            .keys()
            .filter(|known| snapshot.engines.iter().all(|engine| engine.id != **known));
        let gone: Vec<ListChange> = gone.cloned().map(ListChange::Gone).collect();
        let listed = snapshot.engines.iter().cloned().map(ListChange::Listed);
        let changes: Vec<ListChange> = gone.into_iter().chain(listed).collect();
        let taken: Vec<ListChange> = changes.into_iter().filter(|change| self.take(change)).collect();
        if !taken.is_empty() {
            self.changed = snapshot.version;
        }
        self.reflected = snapshot.version;
        taken
    }

    /// The whole list, for another node.
    pub fn snapshot(&self) -> ListSnapshot {
        ListSnapshot {
            version: self.reflected,
            engines: self.engines.values().cloned().collect(),
        }
    }

    /// Version up to which everything is reflected.
    pub fn reflected(&self) -> u64 {
        self.reflected
    }

    /// Version of the last change; a node that reflects less lacks something.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Whether an engine is listed.
    pub fn lists(&self, engine: &EngineId) -> bool {
        self.engines.contains_key(engine)
    }

    /// Takes one change; false where it changes nothing.
    fn take(&mut self, change: &ListChange) -> bool {
        match change {
            ListChange::Listed(engine) => {
                self.engines.insert(engine.id.clone(), engine.clone()).as_ref() != Some(engine)
            }
            ListChange::Gone(_) => self.engines.remove(change.engine()).is_some(),
        }
    }
}
