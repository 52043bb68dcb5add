//! Brings engines into use and returns them to the reserve.

use super::WorkingSetChange;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, RegionId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::engine::{EngineStage, EngineState, PoolEngine};
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Interval at which the wanted numbers of engines are updated from the load. Shorter than the time that callers wait
/// for a first event, and cheap with several hundred engines in use.
const WORKING_SET_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

impl PoolRouter {
    /// Handles a new or changed list entry of an engine; earlier starts of the same name are marked as replaced.
    ///
    /// The engine's own drain signal takes precedence over its entry, which may be written late or come from a peer
    /// that lags behind.
    pub fn on_engine_listed(&mut self, mut engine: PoolEngine) {
        let start = engine.id.start();
        for state in self.starts_of(engine.id.as_str()) {
            state.replaced |= state.engine.id.start() < start;
        }
        let settings = self.weights.working_set;
        let handle = SubjectHandle::of_engine(&engine.id);
        engine.leaving |= self.signals.is_draining(handle);
        let previous_group = self.working_set.remove_engine(handle);
        let is_known = self.engines.contains_key(&engine.id);
        let uses_all = self.working_set.uses_all_engines(&engine.pool, &settings);
        if is_known || uses_all {
            self.begin_use(handle, engine);
        } else if !engine.leaving {
            let index = self.working_set.add_engine(handle, &engine, &settings);
            self.working_set.groups[index].reserve.insert(handle, engine);
        }
        for index in previous_group
            .into_iter()
            .chain(self.working_set.group_of.get(&handle).copied())
        {
            self.refill(index);
        }
    }

    /// Removes a delisted engine from its group and brings another one into use.
    pub(in crate::routing::pool) fn remove_delisted_engine(&mut self, engine: &EngineId) {
        self.remove_from_group(SubjectHandle::of_engine(engine));
    }

    /// Removes an engine from its group and brings another one into use.
    pub(in crate::routing::pool) fn remove_from_group(&mut self, engine: SubjectHandle) {
        if let Some(index) = self.working_set.remove_engine(engine) {
            self.refill(index);
        }
    }

    /// Brings the engine with this handle into use because a peer has chosen it. Absent if no such engine is known.
    pub fn bring_into_use(&mut self, handle: SubjectHandle) -> Option<EngineId> {
        if let Some(engine) = self.take_from_reserve(handle) {
            self.begin_use(handle, engine);
        }
        self.engine_by_handle(handle)
    }

    /// Updates the wanted numbers from the load, at most once in each interval, and brings engines into use or returns
    /// them to the reserve.
    pub fn update_working_set(&mut self, now: MonotonicTime) {
        let since = self.working_set.last_updated_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < WORKING_SET_UPDATE_INTERVAL) {
            return;
        }
        self.working_set.last_updated_at = Some(now);
        let settings = self.weights.working_set;
        let decay = (-since.unwrap_or_default().as_secs_f64() / settings.hold_seconds).exp();
        for index in 0..self.working_set.groups.len() {
            if self
                .working_set
                .uses_all_engines(&self.working_set.groups[index].pool, &settings)
            {
                self.refill(index);
                continue;
            }
            let load = self.load_of_group(index, now);
            let group = &mut self.working_set.groups[index];
            group.unusable = load.unusable;
            group.wanted = (load.busy_engines / settings.target_utilization)
                .max(group.wanted * decay)
                .max(settings.min_in_group as f64);
            self.refill(index);
            self.retire(index, now);
        }
        self.working_set.queue_changes_for_log();
    }

    /// Whether the reserve of a pool has engines of a stage, so that no engine needs to be moved to that stage.
    pub fn has_reserve(&self, pool: &PoolId, stage: EngineStage) -> bool {
        let mut groups = self.working_set.groups.iter();
        groups.any(|group| group.stage == stage && group.pool == *pool && !group.reserve.is_empty())
    }

    /// The same for the reserve in one region.
    pub fn has_reserve_in(&self, pool: &PoolId, region: &RegionId, stage: EngineStage) -> bool {
        let mut groups = self.working_set.groups.iter();
        groups.any(|group| {
            group.stage == stage
                && group.pool == *pool
                && !group.reserve.is_empty()
                && self.topology.region_of(&group.zone) == Some(region)
        })
    }

    /// Engines that are listed, not leaving and not in use.
    pub fn reserve(&self) -> impl Iterator<Item = &PoolEngine> {
        let groups = self.working_set.groups.iter();
        groups.flat_map(|group| group.reserve.values())
    }

    /// Zone of a listed engine, also of one that is not in use; absent if it is unknown.
    pub fn zone_of(&self, handle: SubjectHandle) -> Option<&ZoneId> {
        let used = self.engine_ids.get(&handle).and_then(|id| self.engines.get(id));
        if let Some(state) = used {
            return Some(&state.engine.zone);
        }
        let group = self.working_set.group_of.get(&handle)?;
        Some(&self.working_set.groups[*group].zone)
    }

    /// List entries of the engines in use that are still listed.
    pub fn in_use(&self) -> Vec<PoolEngine> {
        let listed = self.engines.values().filter(|state| state.is_listed());
        listed.map(|state| state.engine.clone()).collect()
    }

    /// Changes of the numbers of engines in use since the last call, for the log.
    pub fn take_working_set_changes(&mut self) -> Vec<WorkingSetChange> {
        std::mem::take(&mut self.working_set.unlogged_changes)
    }

    /// Brings engines of the reserve into use until the target is reached.
    pub(super) fn refill(&mut self, index: usize) {
        loop {
            let uses_all = {
                let pool = &self.working_set.groups[index].pool;
                self.working_set.uses_all_engines(pool, &self.weights.working_set)
            };
            let Some(handle) = self.working_set.groups[index].next_from_reserve(uses_all) else {
                break;
            };
            let Some(engine) = self.take_from_reserve(handle) else {
                break;
            };
            self.begin_use(handle, engine);
            if !uses_all {
                self.retire_without_state(index);
            }
        }
    }

    /// Removes an engine from the reserve of its group and returns it; absent if it is not in a reserve.
    fn take_from_reserve(&mut self, handle: SubjectHandle) -> Option<PoolEngine> {
        let index = *self.working_set.group_of.get(&handle)?;
        self.working_set.groups[index].reserve.remove(&handle)
    }

    fn begin_use(&mut self, handle: SubjectHandle, engine: PoolEngine) {
        if !engine.leaving {
            let settings = self.weights.working_set;
            let index = self.working_set.add_engine(handle, &engine, &settings);
            self.working_set.groups[index].in_use.insert(handle);
        }
        self.upsert_engine(engine);
    }

    /// Returns engines without any state to the reserve, the last in order first, while there are more than the target.
    fn retire_without_state(&mut self, index: usize) {
        while let Some(handle) = self.working_set.groups[index].next_to_retire() {
            if !self.engine_satisfies(handle, EngineState::has_no_state) {
                return;
            }
            self.return_to_reserve(index, handle);
        }
    }

    /// Returns engines that were unused for the hold time to the reserve, the last in order first.
    fn retire(&mut self, index: usize, now: MonotonicTime) {
        let hold = Duration::from_secs_f64(self.weights.working_set.hold_seconds);
        while let Some(handle) = self.working_set.groups[index].next_to_retire() {
            if !self.engine_satisfies(handle, |state| state.is_unused_for(hold, now)) {
                return;
            }
            self.return_to_reserve(index, handle);
        }
    }

    fn engine_satisfies(&self, handle: SubjectHandle, predicate: impl Fn(&EngineState) -> bool) -> bool {
        let engine = self.engine_ids.get(&handle);
        engine
            .and_then(|engine| self.engines.get(engine))
            .is_some_and(predicate)
    }

    fn return_to_reserve(&mut self, index: usize, handle: SubjectHandle) {
        let group = &mut self.working_set.groups[index];
        group.in_use.remove(&handle);
        let state = self.engine_ids.remove(&handle);
        let state = state.and_then(|engine| self.engines.remove(&engine));
        if let Some(state) = state {
            group.reserve.insert(handle, state.engine);
        }
    }
}
