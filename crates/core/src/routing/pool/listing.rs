//! The platform's list of engines, as this node knows it.
//!
//! A node receives changes of the list from the store and, while the store does not answer, from its peers. All changes
//! carry the store's version, so an older message of one source never overrides a newer one of another.
//!
//! An engine that restarts may keep its name. The list holds only the latest start of each name. Messages about an
//! earlier start are ignored whatever their version, because the store may carry out an engine's write seconds after
//! that engine has ended.

use super::ended_starts::EndedStarts;
use super::engine::PoolEngine;
use super::list_changes::KnownChanges;
use crate::identity::{EngineId, EngineStart, SoftwareVersion};
use crate::table::StorePosition;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One change of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListChange {
    /// The engine was added, or its entry changed.
    Listed(PoolEngine),
    /// The engine was removed. Changes read from the store carry no start; they remove whichever start is listed.
    Gone(EngineId),
    /// The entry cannot be parsed, so no engine of this name is listed.
    Unreadable(EngineId),
}

impl ListChange {
    /// Name of the engine that the change concerns.
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
    /// Version of the store that the snapshot reflects.
    pub version: u64,
    /// Listed engines, at most one start of each name.
    pub engines: Vec<PoolEngine>,
    /// Names of the entries that cannot be parsed.
    pub unreadable: Vec<String>,
}

/// The list of engines as this node knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineListing {
    /// The listed start of each engine, by name.
    engines: BTreeMap<String, PoolEngine>,
    /// Names of the entries that cannot be parsed.
    unreadable: BTreeSet<String>,
    ended_starts: EndedStarts,
    /// Starts that were removed, oldest first: an older copy of the store does not bring them back.
    removed: VecDeque<EngineId>,
    /// Starts that drained when the store was restored. A start that drains never turns ready, whatever an older copy says.
    draining: BTreeSet<EngineId>,
    /// Names of engines that a restored store does not have: they may not have written themselves again yet.
    unconfirmed: BTreeSet<String>,
    /// All changes up to this version have been applied.
    applied_version: u64,
    /// Version of the last change that had an effect.
    last_change_version: u64,
    /// Version of the last change of each recently changed entry, including entries of engines that are not known here.
    known_changes: KnownChanges,
    /// Software versions that peers reported of starts before these were listed here.
    unlisted_versions: BTreeMap<EngineId, SoftwareVersion>,
    /// Whether the list holds only the engines that a peer had in use.
    partial: bool,
}

/// Maximum number of removed starts that are remembered.
const MAX_REMOVED: usize = 1_024;

/// Maximum number of software versions that are kept of starts that are not listed here.
const MAX_UNLISTED_VERSIONS: usize = 1_024;

impl EngineListing {
    /// Applies versioned changes that include every change up to `covered_version`. Returns those that had an effect,
    /// in the order of their versions.
    pub fn apply(&mut self, mut changes: Vec<(u64, ListChange)>, covered_version: u64) -> Vec<ListChange> {
        let before = self.applied_version;
        changes.sort_by_key(|(version, _)| *version);
        let mut applied = Vec::new();
        for (version, change) in changes {
            if version <= before {
                continue;
            }
            self.known_changes.record(change.name(), version);
            if self.partial && self.lists_unknown_engine(&change) {
                continue;
            }
            self.unconfirmed.remove(change.name());
            let new = self.apply_change(change);
            if !new.is_empty() {
                self.last_change_version = self.last_change_version.max(version);
            }
            applied.extend(new);
        }
        self.applied_version = self.applied_version.max(covered_version);
        applied
    }

    /// Replaces the list by a complete snapshot unless the snapshot is older. Returns the resulting changes.
    pub fn replace(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        if snapshot.version < self.applied_version {
            return Vec::new();
        }
        let was_complete = self.applied_version > 0 && !self.partial;
        let merged = self.merged_with_known(snapshot);
        let snapshot = merged.as_ref().unwrap_or(snapshot);
        let applied: Vec<ListChange> = self
            .changes_to_reach(snapshot)
            .into_iter()
            .flat_map(|change| self.apply_change(change))
            .collect();
        if !applied.is_empty() {
            self.last_change_version = snapshot.version;
        }
        if was_complete {
            let names = applied.iter().map(ListChange::name);
            names.for_each(|name| self.known_changes.record(name, snapshot.version));
        } else {
            self.known_changes = KnownChanges::complete_since(snapshot.version);
        }
        self.applied_version = snapshot.version;
        self.partial = false;
        applied
    }

    /// Whether a snapshot is of a later era of the store than this list.
    fn is_restored(&self, snapshot: &ListSnapshot) -> bool {
        self.applied_version > 0
            && StorePosition::era_of(snapshot.version) > StorePosition::era_of(self.applied_version)
    }

    /// Keeps what engines have announced, ahead of a list of a restored store.
    fn keep_drains(&mut self) {
        let leaving = self.engines.values().filter(|engine| engine.leaving);
        self.draining.extend(leaving.map(|engine| engine.id.clone()));
    }

    /// The snapshot with what this list knows against a restored store: starts that were removed are left out, and engines that it
    /// lacks are kept until [`Self::drop_unconfirmed`]. Absent if nothing is known against it.
    fn merged_with_known(&mut self, snapshot: &ListSnapshot) -> Option<ListSnapshot> {
        if self.is_restored(snapshot) {
            self.keep_drains();
            self.unconfirmed = self.engines.keys().cloned().collect();
        } else if self.unconfirmed.is_empty() {
            return None;
        }
        let mut merged = snapshot.clone();
        merged.engines.retain(|engine| !self.removed.contains(&engine.id));
        let names = merged.engines.iter().map(|engine| engine.id.as_str());
        for name in names.chain(merged.unreadable.iter().map(String::as_str)) {
            self.unconfirmed.remove(name);
        }
        let kept = self.engines.values();
        let kept = kept.filter(|engine| self.unconfirmed.contains(engine.id.as_str()));
        merged.engines.extend(kept.cloned());
        Some(merged)
    }

    /// Whether engines are kept that a restored store does not have.
    pub fn has_unconfirmed(&self) -> bool {
        !self.unconfirmed.is_empty()
    }

    /// Drops the engines that a restored store still does not have. Returns the resulting changes.
    pub fn drop_unconfirmed(&mut self) -> Vec<ListChange> {
        let names = std::mem::take(&mut self.unconfirmed).into_iter();
        names
            .flat_map(|name| self.apply_gone(&EngineId::new(name)))
            .collect()
    }

    /// Forgets that a start was removed: its entry may have lapsed only because the store was away.
    pub fn forget_removal(&mut self, engine: &EngineId) {
        self.removed.retain(|removed| removed != engine);
    }

    /// Applies a snapshot of the engines that a peer has in use, which makes the list partial.
    ///
    /// Ignored if the complete list is known here and is at least as new. A complete list that is older is discarded,
    /// because a node that relies on such snapshots does not receive the updates that would keep it current. `changes`
    /// are the peer's known changes up to the snapshot's version. If the snapshot is older than the partial list, only
    /// engines whose entries are known not to have changed since are taken from it. Returns the resulting changes.
    pub fn apply_in_use_snapshot(
        &mut self,
        snapshot: &ListSnapshot,
        changes: &KnownChanges,
    ) -> Vec<ListChange> {
        if !self.partial && self.applied_version >= snapshot.version {
            return Vec::new();
        }
        self.partial = true;
        if snapshot.version < self.applied_version {
            return self.add_unknown_engines(snapshot);
        }
        let is_restored = self.is_restored(snapshot);
        if is_restored {
            self.keep_drains();
        }
        self.known_changes.extend(changes, self.applied_version);
        self.applied_version = snapshot.version;
        let mut applied = self.drop_absent_engines(snapshot);
        let engines = snapshot.engines.iter();
        let engines = engines.filter(|engine| !is_restored || !self.removed.contains(&engine.id));
        let engines: Vec<PoolEngine> = engines.cloned().collect();
        applied.extend(engines.into_iter().flat_map(|engine| self.apply_listed(engine)));
        if !applied.is_empty() {
            self.last_change_version = snapshot.version;
        }
        applied
    }

    /// Drops the engines that are not in the snapshot. They may still run, so their starts are not recorded as ended.
    fn drop_absent_engines(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
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

    /// Adds engines of an older snapshot that are not known here and whose entries have not changed since.
    fn add_unknown_engines(&mut self, snapshot: &ListSnapshot) -> Vec<ListChange> {
        let engines = snapshot.engines.iter();
        let unknown = engines.filter(|engine| {
            let name = engine.id.as_str();
            !self.engines.contains_key(name) && self.known_changes.is_unchanged_since(name, snapshot.version)
        });
        let unknown: Vec<PoolEngine> = unknown.cloned().collect();
        unknown
            .into_iter()
            .flat_map(|engine| self.apply_listed(engine))
            .collect()
    }

    /// Whether the list holds only the engines that a peer had in use.
    pub fn is_partial(&self) -> bool {
        self.partial
    }

    /// Whether the change lists an engine whose name is not known here.
    fn lists_unknown_engine(&self, change: &ListChange) -> bool {
        matches!(change, ListChange::Listed(engine) if !self.engines.contains_key(engine.id.as_str()))
    }

    /// Changes that turn the current list into the snapshot.
    fn changes_to_reach(&self, snapshot: &ListSnapshot) -> Vec<ListChange> {
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

    /// The whole list, to be sent to a peer.
    pub fn snapshot(&self) -> ListSnapshot {
        ListSnapshot {
            version: self.applied_version,
            engines: self.engines.values().cloned().collect(),
            unreadable: self.unreadable.iter().cloned().collect(),
        }
    }

    /// The listed entries of the given engines, to be sent to a peer.
    ///
    /// Entries are taken from this list and not from `engines`, which may lag behind the snapshot's version.
    pub fn snapshot_of(&self, engines: &[PoolEngine]) -> ListSnapshot {
        let listed = engines
            .iter()
            .filter_map(|engine| self.engines.get(engine.id.as_str()));
        ListSnapshot {
            version: self.applied_version,
            engines: listed.cloned().collect(),
            unreadable: Vec::new(),
        }
    }

    /// The latest known changes of at most `max_entries` entries, to be sent to a peer.
    pub fn known_changes(&self, max_entries: usize) -> KnownChanges {
        self.known_changes.latest(max_entries)
    }

    /// Version up to which all changes have been applied; zero at the start.
    pub fn applied_version(&self) -> u64 {
        self.applied_version
    }

    /// Version of the last change that had an effect. A node whose applied version is lower lacks changes.
    pub fn last_change_version(&self) -> u64 {
        self.last_change_version
    }

    /// Whether exactly this start of the engine is listed.
    pub fn is_listed(&self, engine: &EngineId) -> bool {
        self.engines
            .get(engine.as_str())
            .is_some_and(|listed| listed.id == *engine)
    }

    /// The latest known start of this name, listed or ended; zero if none is known.
    pub fn latest_start(&self, name: &str) -> EngineStart {
        let listed = self.engines.get(name).map(|engine| engine.id.start());
        listed
            .unwrap_or_default()
            .max(self.ended_starts.latest_start(name))
    }

    /// Applies one change. Returns the resulting changes, none if the list stays as it is.
    fn apply_change(&mut self, change: ListChange) -> Vec<ListChange> {
        match change {
            ListChange::Listed(engine) => self.apply_listed(engine),
            ListChange::Gone(engine) => self.apply_gone(&engine),
            ListChange::Unreadable(entry) => self.apply_unreadable(entry),
        }
    }

    /// Takes the software versions of starts, as a peer reports them beside its changes of the list. Returns the resulting changes.
    pub fn learn_software_versions(
        &mut self,
        versions: impl IntoIterator<Item = (EngineId, SoftwareVersion)>,
    ) -> Vec<ListChange> {
        let mut applied = Vec::new();
        for (start, version) in versions {
            match self.engines.get(start.as_str()) {
                Some(listed) if listed.id == start && listed.software_version.is_some() => {}
                Some(listed) if listed.id == start => {
                    let engine = PoolEngine {
                        software_version: Some(version),
                        ..listed.clone()
                    };
                    applied.extend(self.apply_listed(engine));
                }
                _ if self.unlisted_versions.len() < MAX_UNLISTED_VERSIONS => {
                    self.unlisted_versions.insert(start, version);
                }
                _ => {}
            }
        }
        applied
    }

    /// Software versions of the starts that some changes list, to be sent to a peer beside them.
    pub fn software_versions_of(changes: &[(u64, ListChange)]) -> Vec<(EngineId, SoftwareVersion)> {
        let listed = changes.iter().filter_map(|(_, change)| match change {
            ListChange::Listed(engine) => Some((engine.id.clone(), engine.software_version.clone()?)),
            ListChange::Gone(_) | ListChange::Unreadable(_) => None,
        });
        listed.collect()
    }

    /// Fills in what is known of a start and its message does not say.
    fn with_known_facts(&mut self, mut engine: PoolEngine) -> PoolEngine {
        engine.leaving |= self.draining.contains(&engine.id);
        if engine.software_version.is_none() {
            let listed = self.engines.get(engine.id.as_str());
            let listed = listed.filter(|listed| listed.id == engine.id);
            engine.software_version = listed
                .and_then(|listed| listed.software_version.clone())
                .or_else(|| self.unlisted_versions.remove(&engine.id));
        }
        engine
    }

    fn apply_listed(&mut self, engine: PoolEngine) -> Vec<ListChange> {
        let engine = self.with_known_facts(engine);
        let name = engine.id.as_str();
        if engine.id.start() < self.latest_start(name) {
            return Vec::new();
        }
        self.unreadable.remove(name);
        self.ended_starts.remove(name);
        self.removed.retain(|removed| *removed != engine.id);
        let before = self.engines.insert(name.to_owned(), engine.clone());
        match before {
            Some(before) if before == engine => Vec::new(),
            Some(before) if before.id != engine.id => {
                vec![ListChange::Gone(before.id), ListChange::Listed(engine)]
            }
            _ => vec![ListChange::Listed(engine)],
        }
    }

    fn apply_gone(&mut self, engine: &EngineId) -> Vec<ListChange> {
        let name = engine.as_str();
        let has_start = engine.start() != EngineStart::default();
        if has_start && engine.start() < self.latest_start(name) {
            return Vec::new();
        }
        self.unreadable.remove(name);
        self.unlisted_versions.retain(|start, _| start.as_str() != name);
        self.ended_starts.record_end(engine);
        self.remove_listed(name)
            .map(ListChange::Gone)
            .into_iter()
            .collect()
    }

    fn apply_unreadable(&mut self, entry: EngineId) -> Vec<ListChange> {
        let is_new = self.unreadable.insert(entry.as_str().to_owned());
        let listed = self.remove_listed(entry.as_str());
        match listed {
            Some(listed) => vec![ListChange::Unreadable(listed)],
            // After store trouble, a removed engine may stay in use for a while, so the change is still reported.
            None if is_new => vec![ListChange::Unreadable(entry)],
            None => Vec::new(),
        }
    }

    /// Removes whichever start of this name is listed and records it as ended.
    fn remove_listed(&mut self, name: &str) -> Option<EngineId> {
        let listed = self.engines.remove(name)?;
        self.ended_starts.record_end(&listed.id);
        self.draining.remove(&listed.id);
        self.removed.push_back(listed.id.clone());
        if self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
        Some(listed.id)
    }
}
