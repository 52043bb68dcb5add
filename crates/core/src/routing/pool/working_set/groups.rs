//! The groups of engines, and which of them are in use; knows nothing of their work.

use super::{WorkingSetChange, WorkingSetSettings};
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::engine::{EngineStage, PoolEngine};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Most changes that wait to be told in the log.
const MAX_PENDING_SILENCES: usize = 64;

/// Engines of one pool, zone and stage.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) pool: PoolId,
    pub(super) zone: ZoneId,
    pub(super) stage: EngineStage,
    /// Engines in use that stay.
    pub(super) in_use: BTreeSet<SubjectHandle>,
    /// The others.
    pub(super) reserve: BTreeMap<SubjectHandle, PoolEngine>,
    /// Engines that the load of late asks for.
    pub(super) wanted: f64,
    /// Engines in use that took no work at the last look.
    pub(super) unusable: usize,
    /// Engines in use when the log was last told.
    told: usize,
}

impl Group {
    pub(super) fn is_of(&self, engine: &PoolEngine) -> bool {
        self.stage == engine.stage && self.zone == engine.zone && self.pool == engine.pool
    }

    pub(super) fn target(&self) -> usize {
        self.wanted.ceil() as usize + self.unusable
    }

    /// The first of the reserve, if it should be in use.
    pub(super) fn next_due(&self, whole: bool) -> Option<SubjectHandle> {
        let first = *self.reserve.keys().next()?;
        let precedes = self.in_use.last().is_some_and(|last| first < *last);
        (whole || self.in_use.len() < self.target() || precedes).then_some(first)
    }

    /// The last engine in use, if there are more than wanted.
    pub(super) fn excess(&self) -> Option<SubjectHandle> {
        (self.in_use.len() > self.target()).then(|| self.in_use.last().copied())?
    }
}

/// Which of the listed engines are in use.
#[derive(Clone, Debug, Default)]
pub(in crate::routing::pool) struct WorkingSet {
    pub(super) groups: Vec<Group>,
    /// Number of the group of each engine that is listed and stays.
    pub(super) group_of: HashMap<SubjectHandle, usize>,
    /// Engines of each pool that are listed and stay.
    listed: BTreeMap<PoolId, usize>,
    /// Pools whose engines are paid by the second.
    pub(in crate::routing::pool) billed_pools: BTreeSet<PoolId>,
    pub(super) looked_at: Option<MonotonicTime>,
    pub(super) untold: Vec<WorkingSetChange>,
}

impl WorkingSet {
    pub(super) fn is_whole(&self, pool: &PoolId, settings: &WorkingSetSettings) -> bool {
        let listed = self.listed.get(pool).copied().unwrap_or_default();
        listed <= settings.whole_up_to || self.billed_pools.contains(pool)
    }

    /// Lists an engine in its group, in use or not; the number of the group.
    pub(super) fn enter(
        &mut self,
        handle: SubjectHandle,
        engine: &PoolEngine,
        settings: &WorkingSetSettings,
    ) -> usize {
        let found = self.groups.iter().position(|group| group.is_of(engine));
        let number = found.unwrap_or_else(|| {
            self.groups.push(Group {
                pool: engine.pool.clone(),
                zone: engine.zone.clone(),
                stage: engine.stage,
                in_use: BTreeSet::new(),
                reserve: BTreeMap::new(),
                wanted: settings.least_in_group as f64,
                unusable: 0,
                told: 0,
            });
            self.groups.len() - 1
        });
        if self.group_of.insert(handle, number).is_none() {
            *self.listed.entry(engine.pool.clone()).or_default() += 1;
        }
        number
    }

    /// Takes an engine out of its group; the number of the group.
    pub(super) fn leave(&mut self, handle: SubjectHandle) -> Option<usize> {
        let number = self.group_of.remove(&handle)?;
        let group = &mut self.groups[number];
        group.in_use.remove(&handle);
        group.reserve.remove(&handle);
        if let Some(listed) = self.listed.get_mut(&group.pool) {
            *listed -= 1;
        }
        Some(number)
    }

    pub(super) fn note_changes(&mut self) {
        for group in &mut self.groups {
            if group.told != group.in_use.len() && self.untold.len() < MAX_PENDING_SILENCES {
                group.told = group.in_use.len();
                self.untold.push(WorkingSetChange {
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
