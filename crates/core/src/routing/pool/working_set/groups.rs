//! Groups of engines and which engines of each group are in use; independent of the engines' load.

use super::{WorkingSetChange, WorkingSetSettings};
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::engine::{EngineStage, PoolEngine};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of changes that wait to be logged; further ones are logged later.
const MAX_UNLOGGED_GROUP_CHANGES: usize = 64;

/// Engines of one pool, zone and stage.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) pool: PoolId,
    pub(super) zone: ZoneId,
    pub(super) stage: EngineStage,
    /// Engines in use that are not leaving.
    pub(super) in_use: BTreeSet<SubjectHandle>,
    /// Engines that are listed, not leaving and not in use.
    pub(super) reserve: BTreeMap<SubjectHandle, PoolEngine>,
    /// Number of engines that the recent load needs; decays after a peak.
    pub(super) wanted: f64,
    /// Number of engines in use that took no work at the last update.
    pub(super) unusable: usize,
    /// Number of engines in use when the last change was logged.
    last_logged_in_use: usize,
}

impl Group {
    pub(super) fn matches_engine(&self, engine: &PoolEngine) -> bool {
        self.stage == engine.stage && self.zone == engine.zone && self.pool == engine.pool
    }

    pub(super) fn target(&self) -> usize {
        self.wanted.ceil() as usize + self.unusable
    }

    /// The first engine of the reserve if it should be in use: all engines are, the target is not reached, or it
    /// precedes an engine in use.
    pub(super) fn next_from_reserve(&self, uses_all: bool) -> Option<SubjectHandle> {
        let first = *self.reserve.keys().next()?;
        let precedes = self.in_use.last().is_some_and(|last| first < *last);
        (uses_all || self.in_use.len() < self.target() || precedes).then_some(first)
    }

    /// The last engine in use if there are more than the target.
    pub(super) fn next_to_retire(&self) -> Option<SubjectHandle> {
        (self.in_use.len() > self.target()).then(|| self.in_use.last().copied())?
    }
}

/// The listed engines by group, and which of them are in use.
#[derive(Clone, Debug, Default)]
pub(in crate::routing::pool) struct WorkingSet {
    pub(super) groups: Vec<Group>,
    /// Index of the group of each engine that is listed and not leaving.
    pub(super) group_of: HashMap<SubjectHandle, usize>,
    /// Number of engines of each pool that are listed and not leaving.
    listed: BTreeMap<PoolId, usize>,
    /// Pools whose engines are billed by the second.
    pub(in crate::routing::pool) billed_pools: BTreeSet<PoolId>,
    pub(super) last_updated_at: Option<MonotonicTime>,
    pub(super) unlogged_changes: Vec<WorkingSetChange>,
}

impl WorkingSet {
    /// Whether all engines of the pool are in use.
    pub(super) fn uses_all_engines(&self, pool: &PoolId, settings: &WorkingSetSettings) -> bool {
        let listed = self.listed.get(pool).copied().unwrap_or_default();
        listed <= settings.use_all_up_to || self.billed_pools.contains(pool)
    }

    /// Adds an engine to its group without bringing it into use. Returns the index of the group.
    pub(super) fn add_engine(
        &mut self,
        handle: SubjectHandle,
        engine: &PoolEngine,
        settings: &WorkingSetSettings,
    ) -> usize {
        let found = self.groups.iter().position(|group| group.matches_engine(engine));
        let index = found.unwrap_or_else(|| {
            self.groups.push(Group {
                pool: engine.pool.clone(),
                zone: engine.zone.clone(),
                stage: engine.stage,
                in_use: BTreeSet::new(),
                reserve: BTreeMap::new(),
                wanted: settings.min_in_group as f64,
                unusable: 0,
                last_logged_in_use: 0,
            });
            self.groups.len() - 1
        });
        if self.group_of.insert(handle, index).is_none() {
            *self.listed.entry(engine.pool.clone()).or_default() += 1;
        }
        index
    }

    /// Removes an engine from its group. Returns the index of the group.
    pub(super) fn remove_engine(&mut self, handle: SubjectHandle) -> Option<usize> {
        let index = self.group_of.remove(&handle)?;
        let group = &mut self.groups[index];
        group.in_use.remove(&handle);
        group.reserve.remove(&handle);
        if let Some(listed) = self.listed.get_mut(&group.pool) {
            *listed -= 1;
        }
        Some(index)
    }

    /// Queues a change for the log for each group whose number of engines in use differs from the logged one.
    pub(super) fn queue_changes_for_log(&mut self) {
        for group in &mut self.groups {
            if group.last_logged_in_use != group.in_use.len()
                && self.unlogged_changes.len() < MAX_UNLOGGED_GROUP_CHANGES
            {
                group.last_logged_in_use = group.in_use.len();
                self.unlogged_changes.push(WorkingSetChange {
                    pool: group.pool.clone(),
                    zone: group.zone.clone(),
                    stage: group.stage,
                    in_use: group.in_use.len(),
                    reserve: group.reserve.len(),
                    wanted: group.target(),
                });
            }
        }
    }
}
