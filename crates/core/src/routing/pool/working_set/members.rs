//! Brings engines into use and takes them out of it.

use super::WorkingSetChange;
use crate::forwarding::PoolId;
use crate::identity::EngineId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::engine::{EngineStage, EngineState, PoolEngine};
use crate::routing::pool::router::PoolRouter;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Time between two looks at the loads: shorter than callers wait for a first event, and cheap at some hundred engines.
const LOOK_EVERY: Duration = Duration::from_millis(100);

impl PoolRouter {
    /// Takes the listing of one engine; an earlier start of it has ended.
    ///
    /// What the engine said of itself outranks how it is listed: an entry may be written late, or read from a node that is
    /// behind.
    pub fn on_engine_listed(&mut self, mut engine: PoolEngine) {
        let start = engine.id.start();
        for state in self.starts_of(engine.id.as_str()) {
            state.replaced |= state.engine.id.start() < start;
        }
        let settings = self.weights.working_set;
        let handle = SubjectHandle::of_engine(&engine.id);
        engine.leaving |= self.signals.is_draining(handle);
        let before = self.working_set.leave(handle);
        let is_known = self.engines.contains_key(&engine.id);
        let whole = self.working_set.is_whole(&engine.pool, &settings);
        if is_known || whole {
            self.begin_use(handle, engine);
        } else if !engine.leaving {
            let number = self.working_set.enter(handle, &engine, &settings);
            self.working_set.groups[number].reserve.insert(handle, engine);
        }
        for number in before
            .into_iter()
            .chain(self.working_set.group_of.get(&handle).copied())
        {
            self.refill(number);
        }
    }

    /// An engine that is listed no longer is replaced.
    pub(in crate::routing::pool) fn end_use(&mut self, engine: &EngineId) {
        self.withdraw(SubjectHandle::of_engine(engine));
    }

    /// Takes an engine out of its group and brings another one into use.
    pub(in crate::routing::pool) fn withdraw(&mut self, engine: SubjectHandle) {
        if let Some(number) = self.working_set.leave(engine) {
            self.refill(number);
        }
    }

    /// The engine with a short name, which is in use from now on: another node has chosen it.
    pub fn bring_into_use(&mut self, handle: SubjectHandle) -> Option<EngineId> {
        if let Some(engine) = self.reserved(handle) {
            self.begin_use(handle, engine);
        }
        self.engine_named(handle)
    }

    /// Looks at the loads, if it is time to, and brings engines into use or takes them out of it.
    pub fn update_working_set(&mut self, now: MonotonicTime) {
        let since = self.working_set.looked_at.map(|at| now.since(at));
        if since.is_some_and(|since| since < LOOK_EVERY) {
            return;
        }
        self.working_set.looked_at = Some(now);
        let settings = self.weights.working_set;
        let kept = (-since.unwrap_or_default().as_secs_f64() / settings.hold_seconds).exp();
        for number in 0..self.working_set.groups.len() {
            if self
                .working_set
                .is_whole(&self.working_set.groups[number].pool, &settings)
            {
                self.refill(number);
                continue;
            }
            let load = self.load_of_group(number, now);
            let group = &mut self.working_set.groups[number];
            group.unusable = load.unusable;
            group.wanted = (load.busy / settings.full_share)
                .max(group.wanted * kept)
                .max(settings.least_in_group as f64);
            self.refill(number);
            self.retire(number, now);
        }
        self.working_set.note_changes();
    }

    /// Whether the reserve of a pool has engines of a stage, so that none need be ordered to take it.
    pub fn has_reserve(&self, pool: &PoolId, stage: EngineStage) -> bool {
        let mut groups = self.working_set.groups.iter();
        groups.any(|group| group.stage == stage && group.pool == *pool && !group.reserve.is_empty())
    }

    /// Engines that are listed and stay, and are not in use.
    pub fn reserve(&self) -> impl Iterator<Item = &PoolEngine> {
        let groups = self.working_set.groups.iter();
        groups.flat_map(|group| group.reserve.values())
    }

    /// Engines that are in use and listed, as they are listed.
    pub fn in_use(&self) -> Vec<PoolEngine> {
        let listed = self.engines.values().filter(|state| state.is_listed());
        listed.map(|state| state.engine.clone()).collect()
    }

    /// Changes of the numbers of engines in use since the last call, for the log.
    pub fn take_working_set_changes(&mut self) -> Vec<WorkingSetChange> {
        std::mem::take(&mut self.working_set.untold)
    }

    /// Brings engines of the reserve into use until as many are as wanted.
    pub(super) fn refill(&mut self, number: usize) {
        loop {
            let whole = {
                let pool = &self.working_set.groups[number].pool;
                self.working_set.is_whole(pool, &self.weights.working_set)
            };
            let Some(handle) = self.working_set.groups[number].next_due(whole) else {
                break;
            };
            let Some(engine) = self.reserved(handle) else {
                break;
            };
            self.begin_use(handle, engine);
            if !whole {
                self.retire_untouched(number);
            }
        }
    }

    /// Takes an engine out of its reserve.
    fn reserved(&mut self, handle: SubjectHandle) -> Option<PoolEngine> {
        let number = *self.working_set.group_of.get(&handle)?;
        self.working_set.groups[number].reserve.remove(&handle)
    }

    fn begin_use(&mut self, handle: SubjectHandle, engine: PoolEngine) {
        if !engine.leaving {
            let settings = self.weights.working_set;
            let number = self.working_set.enter(handle, &engine, &settings);
            self.working_set.groups[number].in_use.insert(handle);
        }
        self.put_engine(engine);
    }

    /// Puts engines of which nothing is known back into the reserve where others come before them.
    fn retire_untouched(&mut self, number: usize) {
        while let Some(handle) = self.working_set.groups[number].excess() {
            if !self.is_so(handle, EngineState::is_untouched) {
                return;
            }
            self.put_back(number, handle);
        }
    }

    /// Puts engines that were not used for the hold time back into the reserve, the last first.
    fn retire(&mut self, number: usize, now: MonotonicTime) {
        let hold = Duration::from_secs_f64(self.weights.working_set.hold_seconds);
        while let Some(handle) = self.working_set.groups[number].excess() {
            if !self.is_so(handle, |state| state.is_unused_for(hold, now)) {
                return;
            }
            self.put_back(number, handle);
        }
    }

    fn is_so(&self, handle: SubjectHandle, holds: impl Fn(&EngineState) -> bool) -> bool {
        let engine = self.engine_of.get(&handle);
        engine
            .and_then(|engine| self.engines.get(engine))
            .is_some_and(holds)
    }

    fn put_back(&mut self, number: usize, handle: SubjectHandle) {
        let group = &mut self.working_set.groups[number];
        group.in_use.remove(&handle);
        let state = self.engine_of.remove(&handle);
        let state = state.and_then(|engine| self.engines.remove(&engine));
        if let Some(state) = state {
            group.reserve.insert(handle, state.engine);
        }
    }
}
