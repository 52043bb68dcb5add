//! Which changes of the platform's list of engines are new.
//!
//! A node hears of changes from the store and, where the store does not answer it, from other nodes. Both number them
//! by the store's version, so the older word of one never undoes the newer word of the other.
//!
//! An engine that starts again may keep its name, so the list holds one start of each name: the latest that was ever
//! listed. What is said of an earlier one changes nothing, whatever version it bears, since the store may carry out the
//! write of an engine seconds after that engine has ended.

use super::ended_starts::EndedStarts;
use super::engine::PoolEngine;
use super::list_changes::KnownChanges;
use crate::identity::{EngineId, EngineStart};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// An engine is listed so.
    Listed(PoolEngine),
    /// An engine is listed no longer. Without a start, as the store tells it, whichever start is listed.
    Gone(EngineId),
    /// The entry of this name can't be read, so that it names no engine to use.
    Unreadable(EngineId),
}

impl ListChange {
    /// Name of the engine.
    pub fn name(&self) -> &str {
        match self {
            Self::Listed(engine) => engine.id.as_str(),
            Self::Gone(engine) | Self::Unreadable(engine) => engine.as_str(),
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
    /// Names of the entries that can't be read.
    pub unreadable: Vec<String>,
}

/// The list as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineListing {
    /// The start that is listed of each name.
    engines: BTreeMap<String, PoolEngine>,
    /// Names of the entries that can't be read.
    unreadable: BTreeSet<String>,
    ended: EndedStarts,
    /// Everything up to this version is reflected.
    reflected_version: u64,
    /// Version of the last change.
    last_change_version: u64,
    /// When entries last changed, those of engines that are not known here among them.
    known_changes: KnownChanges,
    /// Whether only the engines in use of another node are known.
    partial: bool,
}

impl EngineListing {
    /// Takes changes, each with its version, up to `reflected`; returns those that are new, in the order of versions.
    pub fn apply(&mut self, mut changes: Vec<(u64, ListChange)>, reflected: u64) -> Vec<ListChange> {
        let before = self.reflected_version;
        changes.sort_by_key(|(version, _)| *version);
        let mut taken = Vec::new();
        for (version, change) in changes {
            if version <= before {
                continue;
            }
            self.known_changes.note(change.name(), version);
            if self.partial && self.is_new(&change) {
                continue;
            }
            let new = self.take(change);
            if !new.is_empty() {
                self.last_change_version = self.last_change_version.max(version);
            }
            taken.extend(new);
        }
        self.reflected_version = self.reflected_version.max(reflected);
        taken
    }

    /// Takes the whole list, if it is newer than what is known; returns the changes that it amounts to.
    pub fn replace(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        if snapshot.version < self.reflected_version {
            return Vec::new();
        }
        let knew_all = self.reflected_version > 0 && !self.partial;
        let taken: Vec<ListChange> = self
            .changes_to(snapshot)
            .into_iter()
            .flat_map(|change| self.take(change))
            .collect();
        if !taken.is_empty() {
            self.last_change_version = snapshot.version;
        }
        if knew_all {
            let names = taken.iter().map(ListChange::name);
            names.for_each(|name| self.known_changes.note(name, snapshot.version));
        } else {
            self.known_changes = KnownChanges::complete_since(snapshot.version);
        }
        self.reflected_version = snapshot.version;
        self.partial = false;
        taken
    }

    /// Takes the engines in use of another node. Where the whole list is known and not older, they say nothing that it
    /// doesn't; an older one is given up, since nobody keeps it for a node that takes these. `changes` is what the other node
    /// knows of changes up to the version of the snapshot; of an older one only those engines are taken whose entries are known
    /// not to have changed since.
    pub fn apply_in_use_snapshot(
        &mut self,
        snapshot: &ListSnapshot,
        changes: &KnownChanges,
    ) -> Vec<ListChange> {
        if !self.partial && self.reflected_version >= snapshot.version {
            return Vec::new();
        }
        self.partial = true;
        if snapshot.version < self.reflected_version {
            return self.add_unknown(snapshot);
        }
        self.known_changes.extend(changes, self.reflected_version);
        self.reflected_version = snapshot.version;
        let mut taken = self.drop_unnamed(snapshot);
        let engines = snapshot.engines.iter().cloned();
        taken.extend(engines.flat_map(|engine| self.take_listed(engine)));
        if !taken.is_empty() {
            self.last_change_version = snapshot.version;
        }
        taken
    }

    /// Drops the engines that another node has no longer in use. They may live, so their starts don't count as ended.
    fn drop_unnamed(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        let named: BTreeSet<&str> = snapshot.engines.iter().map(|engine| engine.id.as_str()).collect();
        let (kept, dropped) = std::mem::take(&mut self.engines)
            .into_iter()
            .partition(|(name, _)| named.contains(name.as_str()));
        self.engines = kept;
        let dropped: BTreeMap<String, PoolEngine> = dropped;
        dropped
            .into_values()
            .map(|engine| ListChange::Gone(engine.id))
            .collect()
    }

    /// Adds the engines of an older list that are not known here, and whose entries have not changed since.
    fn add_unknown(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        let engines = snapshot.engines.iter();
        let unknown = engines.filter(|engine| {
            let name = engine.id.as_str();
            !self.engines.contains_key(name) && self.known_changes.is_unchanged_since(name, snapshot.version)
        });
        let unknown: Vec<PoolEngine> = unknown.cloned().collect();
        unknown
            .into_iter()
            .flat_map(|engine| self.take_listed(engine))
            .collect()
    }

    /// Whether only the engines in use of another node are known.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// Whether a change lists an engine of which nothing is known.
    fn is_new(&self, change: &ListChange) -> bool {
        matches!(change, ListChange::Listed(engine) if !self.engines.contains_key(engine.id.as_str()))
    }

    fn changes_to(&self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        let named: BTreeSet<&str> = snapshot
            .engines
            .iter()
            .map(|engine| engine.id.as_str())
            .chain(snapshot.unreadable.iter().map(String::as_str))
            .collect();
        let listed = self.engines.keys().chain(&self.unreadable);
        let gone = listed
            .filter(|name| !named.contains(name.as_str()))
            .map(|name| ListChange::Gone(EngineId::new(name.as_str())));
        let unreadable = snapshot.unreadable.iter();
        let unreadable = unreadable.map(|name| ListChange::Unreadable(EngineId::new(name.as_str())));
        let listed = snapshot.engines.iter().cloned().map(ListChange::Listed);
        gone.chain(unreadable).chain(listed).collect()
    }

    /// The whole list, for another node.
    pub fn snapshot(&self) -> ListSnapshot {
        ListSnapshot {
            version: self.reflected_version,
            engines: self.engines.values().cloned().collect(),
            unreadable: self.unreadable.iter().cloned().collect(),
        }
    }

    /// Some of the engines, for another node. They are told as this list has them, so that whoever takes them lacks nothing
    /// up to its version: who named them may not have taken the last change yet.
    pub fn snapshot_of(&self, named: &[PoolEngine]) -> ListSnapshot {
        let listed = named
            .iter()
            .filter_map(|engine| self.engines.get(engine.id.as_str()));
        ListSnapshot {
            version: self.reflected_version,
            engines: listed.cloned().collect(),
            unreadable: Vec::new(),
        }
    }

    /// What is known of the last changes of entries, for another node: of at most so many.
    pub fn known_changes(&self, most: usize) -> KnownChanges {
        self.known_changes.latest(most)
    }

    /// Version up to which everything is reflected.
    pub fn reflected_version(&self) -> u64 {
        self.reflected_version
    }

    /// Version of the last change; a node that reflects less lacks something.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    /// Whether this start of an engine is listed.
    pub fn lists(&self, engine: &EngineId) -> bool {
        self.engines
            .get(engine.as_str())
            .is_some_and(|listed| listed.id == *engine)
    }

    /// The latest start that was ever told of a name; zero where none was.
    pub fn latest_start(&self, name: &str) -> EngineStart {
        let listed = self.engines.get(name).map(|engine| engine.id.start());
        listed.unwrap_or_default().max(self.ended.latest(name))
    }

    /// Takes one change; what it amounts to, which is nothing where it changes nothing.
    fn take(&mut self, change: ListChange) -> Vec<ListChange> {
        match change {
            ListChange::Listed(engine) => self.take_listed(engine),
            ListChange::Gone(engine) => self.take_gone(&engine),
            ListChange::Unreadable(entry) => self.take_unreadable(entry),
        }
    }

    fn take_listed(&mut self, engine: PoolEngine) -> Vec<ListChange> {
        let name = engine.id.as_str();
        if engine.id.start() < self.latest_start(name) {
            return Vec::new();
        }
        self.unreadable.remove(name);
        self.ended.forget(name);
        let before = self.engines.insert(name.to_owned(), engine.clone());
        match before {
            Some(before) if before == engine => Vec::new(),
            Some(before) if before.id != engine.id => {
                vec![ListChange::Gone(before.id), ListChange::Listed(engine)]
            }
            _ => vec![ListChange::Listed(engine)],
        }
    }

    fn take_gone(&mut self, engine: &EngineId) -> Vec<ListChange> {
        let name = engine.as_str();
        let tells_start = engine.start() != EngineStart::default();
        if tells_start && engine.start() < self.latest_start(name) {
            return Vec::new();
        }
        self.unreadable.remove(name);
        self.ended.record(engine);
        self.end(name).map(ListChange::Gone).into_iter().collect()
    }

    fn take_unreadable(&mut self, entry: EngineId) -> Vec<ListChange> {
        let is_new = self.unreadable.insert(entry.as_str().to_owned());
        let listed = self.end(entry.as_str());
        match listed {
            Some(listed) => vec![ListChange::Unreadable(listed)],
            // One that is gone may still be in use for a while where the store was in trouble.
            None if is_new => vec![ListChange::Unreadable(entry)],
            None => Vec::new(),
        }
    }

    /// Takes whichever start is listed of a name off the list.
    fn end(&mut self, name: &str) -> Option<EngineId> {
        let listed = self.engines.remove(name)?;
        self.ended.record(&listed.id);
        Some(listed.id)
    }
}
