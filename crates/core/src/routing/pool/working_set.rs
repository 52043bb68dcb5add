//! The engines of a large pool that are in use.
//!
//! A fleet may list ten thousand engines while its load needs a few dozen. What a node keeps of an engine, and what a
//! choice costs, must follow the load, so of a large pool only some engines are in use; the others are a reserve, of which
//! nothing is known but how they are listed. Engines of one pool, zone and stage form a group:
//!
//! ```text
//! load of a group  = prefill: over its engines in use, the greater of 1 where prompts are to be read,
//!                             and seconds of reading ahead / QUEUE_OF_ONE
//!                    others:  over its engines in use, the greater of requests / places and tokens / memory
//! wanted in use    = max(least_in_group, load / full_share), which falls slowly after a peak
//!                  + engines in use that take no work now: paused, cordoned, changing their stage
//! in use           = the first by the numbers of their names' digests
//! ```
//!
//! The digest is the same at every node, so nodes agree on the engines without a word, and where they differ one has a few
//! more. One that leaves is replaced at once. Before a request is refused, or served late, while no engine of a stage
//! that is in use stands idle, the reserve is drawn upon ([`PoolRouter::admit_growing`]).
//!
//! An engine that is no longer wanted goes back into the reserve when it was not used for the hold time; what it was
//! believed to hold is forgotten then. A pool of up to `whole_up_to` engines, and one whose engines are paid by the second,
//! is in use as a whole.

use super::admission::{Admission, AdmissionDecision, PoolAdmission, Timing};
use super::choice::PoolRoute;
use super::engine::{EngineStage, EngineState, PoolEngine};
use super::query::PoolQuery;
use super::router::PoolRouter;
use super::speed::ReadingSpeed;
use crate::forwarding::PoolId;
use crate::identity::{EngineId, ZoneId};
use crate::membership::subject::SubjectHandle;
use crate::setting::FieldError;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time between two looks at the loads: shorter than callers wait for a first event, and cheap at some hundred engines.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Seconds of reading ahead that count as one busy engine: callers of short prompts are late after about as much.
const QUEUE_OF_ONE: f64 = 0.5;

/// Part by which groups grow where a request would be refused or late otherwise.
const GROWTH: f64 = 0.25;

/// Times that the reserve is drawn upon for one request: five growths by a quarter treble the engines in use.
const MOST_GROWTHS: usize = 5;

/// Most changes that wait to be told in the log.
const MOST_UNTOLD: usize = 64;

/// Settings of the working set.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkingSetSettings {
    /// Engines of a pool up to which all are in use: what a node keeps of so many is small.
    pub whole_up_to: usize,
    /// Fewest engines in use of one pool, zone and stage: room for a burst until the load is seen, and for losses.
    pub least_in_group: usize,
    /// Part of the engines in use that the load may keep busy; the rest keeps requests from queueing.
    pub full_share: f64,
    /// Time in which the wanted number falls by two thirds after a peak, and for which an engine must not have been used
    /// before it goes back into the reserve, in seconds.
    pub hold_seconds: f64,
}

impl Default for WorkingSetSettings {
    fn default() -> Self {
        Self {
            whole_up_to: 200,
            least_in_group: 20,
            full_share: 0.4,
            hold_seconds: 60.0,
        }
    }
}

impl WorkingSetSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut fault = |field: &str, value: String, allowed: &str| {
            errors.push(FieldError {
                field: format!("routing.working_set.{field}"),
                value,
                allowed: allowed.to_owned(),
            });
        };
        if self.least_in_group == 0 {
            fault("least_in_group", "0".to_owned(), "1 or more");
        }
        if !(self.full_share > 0.0 && self.full_share <= 1.0) {
            fault("full_share", self.full_share.to_string(), "above 0, at most 1");
        }
        if !(self.hold_seconds.is_finite() && self.hold_seconds >= 1.0) {
            fault("hold_seconds", self.hold_seconds.to_string(), "1 or more");
        }
        errors
    }
}

/// A change of the number of engines in use of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkingSetChange {
    /// The pool.
    pub pool: PoolId,
    /// The zone.
    pub zone: ZoneId,
    /// The stage.
    pub stage: EngineStage,
    /// Engines in use now.
    pub in_use: usize,
    /// Engines in the reserve now.
    pub reserve: usize,
    /// Engines that are wanted in use.
    pub wanted: usize,
}

/// Engines of one pool, zone and stage.
#[derive(Clone, Debug)]
struct Group {
    pool: PoolId,
    zone: ZoneId,
    stage: EngineStage,
    /// Engines in use that stay.
    in_use: BTreeSet<SubjectHandle>,
    /// The others.
    reserve: BTreeMap<SubjectHandle, PoolEngine>,
    /// Engines that the load of late asks for.
    wanted: f64,
    /// Engines in use that took no work at the last look.
    unusable: usize,
    /// Engines in use when the log was last told.
    told: usize,
}

impl Group {
    fn is_of(&self, engine: &PoolEngine) -> bool {
        self.stage == engine.stage && self.zone == engine.zone && self.pool == engine.pool
    }

    fn target(&self) -> usize {
        self.wanted.ceil() as usize + self.unusable
    }

    /// The first of the reserve, if it should be in use.
    fn next_due(&self, whole: bool) -> Option<SubjectHandle> {
        let first = *self.reserve.keys().next()?;
        let precedes = self.in_use.last().is_some_and(|last| first < *last);
        (whole || self.in_use.len() < self.target() || precedes).then_some(first)
    }

    /// The last engine in use, if there are more than wanted.
    fn excess(&self) -> Option<SubjectHandle> {
        (self.in_use.len() > self.target()).then(|| self.in_use.last().copied())?
    }
}

/// Which of the listed engines are in use.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkingSet {
    groups: Vec<Group>,
    /// Number of the group of each engine that is listed and stays.
    group_of: HashMap<SubjectHandle, usize>,
    /// Engines of each pool that are listed and stay.
    listed: BTreeMap<PoolId, usize>,
    /// Pools whose engines are paid by the second.
    pub(super) paid: BTreeSet<PoolId>,
    looked_at: Option<MonotonicTime>,
    untold: Vec<WorkingSetChange>,
}

impl WorkingSet {
    fn is_whole(&self, pool: &PoolId, settings: &WorkingSetSettings) -> bool {
        let listed = self.listed.get(pool).copied().unwrap_or_default();
        listed <= settings.whole_up_to || self.paid.contains(pool)
    }

    /// Lists an engine in its group, in use or not; the number of the group.
    fn enter(&mut self, handle: SubjectHandle, engine: &PoolEngine, settings: &WorkingSetSettings) -> usize {
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
    fn leave(&mut self, handle: SubjectHandle) -> Option<usize> {
        let number = self.group_of.remove(&handle)?;
        let group = &mut self.groups[number];
        group.in_use.remove(&handle);
        group.reserve.remove(&handle);
        if let Some(listed) = self.listed.get_mut(&group.pool) {
            *listed -= 1;
        }
        Some(number)
    }

    fn note_changes(&mut self) {
        for group in &mut self.groups {
            if group.told != group.in_use.len() && self.untold.len() < MOST_UNTOLD {
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

impl PoolRouter {
    /// Takes the listing of one engine; an earlier start of it has ended.
    pub fn on_engine(&mut self, engine: PoolEngine) {
        let start = engine.id.start();
        for state in self.starts_of(engine.id.as_str()) {
            state.replaced |= state.engine.id.start() < start;
        }
        let settings = self.weights.working_set;
        let handle = SubjectHandle::of_engine(&engine.id);
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
    pub(super) fn end_use(&mut self, engine: &EngineId) {
        if let Some(number) = self.working_set.leave(SubjectHandle::of_engine(engine)) {
            self.refill(number);
        }
    }

    /// The engine with a short name, which is in use from now on: another node has chosen it.
    pub fn bring_in(&mut self, handle: SubjectHandle) -> Option<EngineId> {
        if let Some(engine) = self.reserved(handle) {
            self.begin_use(handle, engine);
        }
        self.engine_named(handle)
    }

    /// Looks at the loads, if it is time to, and brings engines into use or takes them out of it.
    pub fn keep_working_set(&mut self, now: MonotonicTime) {
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

    /// Like [`Self::admit`]; a request is refused, served late or sent nowhere only if no engine of the reserve would
    /// stand idle meanwhile.
    pub fn admit_growing(
        &mut self,
        query: &PoolQuery<'_>,
        timing: Timing,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        self.keep_working_set(now);
        let mut decision = self.admit(query, timing, settings, now);
        for _ in 0..MOST_GROWTHS {
            let is_well = decision.admission == Admission::InTime && decision.route != PoolRoute::Nowhere;
            if is_well || !self.grow(query.pool, now) {
                break;
            }
            decision = self.admit(query, timing, settings, now);
        }
        decision
    }

    /// Like [`Self::choose`]; there is nowhere to go only where the reserve has nothing either.
    pub fn choose_growing(&mut self, query: &PoolQuery<'_>, now: MonotonicTime) -> PoolRoute {
        self.keep_working_set(now);
        let mut route = self.choose(query, now);
        for _ in 0..MOST_GROWTHS {
            if route != PoolRoute::Nowhere || !self.grow(query.pool, now) {
                break;
            }
            route = self.choose(query, now);
        }
        route
    }

    /// Like [`Self::choose_output`]; absent only where the reserve has nothing either.
    pub fn choose_output_growing(
        &mut self,
        query: &PoolQuery<'_>,
        source: &EngineId,
        now: MonotonicTime,
    ) -> Option<PoolEngine> {
        self.keep_working_set(now);
        let mut chosen = self.choose_output(query, source, now);
        for _ in 0..MOST_GROWTHS {
            if chosen.is_some() || !self.grow(query.pool, now) {
                break;
            }
            chosen = self.choose_output(query, source, now);
        }
        chosen
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

    /// Draws upon the reserve of each stage of which no engine in use stands idle; whether there was one to take.
    fn grow(&mut self, pool: &PoolId, now: MonotonicTime) -> bool {
        let mut grown = false;
        for stage in [EngineStage::Whole, EngineStage::Prefill, EngineStage::Decode] {
            let groups = self.working_set.groups.iter().enumerate();
            let of_stage: Vec<usize> = groups
                .filter(|(_, group)| group.stage == stage && group.pool == *pool)
                .map(|(number, _)| number)
                .collect();
            if of_stage.iter().any(|number| self.has_idle(*number, now)) {
                continue;
            }
            for number in of_stage {
                let group = &mut self.working_set.groups[number];
                let before = group.in_use.len();
                group.wanted = (before as f64 * (1.0 + GROWTH)).ceil().max(group.wanted) + 1.0;
                self.refill(number);
                grown |= self.working_set.groups[number].in_use.len() > before;
            }
        }
        grown
    }

    fn has_idle(&self, number: usize, now: MonotonicTime) -> bool {
        let mut states = self.states_of_group(number);
        states.any(|state| state.takes_work(now, false) && state.is_idle(now))
    }

    fn states_of_group(&self, number: usize) -> impl Iterator<Item = &EngineState> {
        let handles = self.working_set.groups[number].in_use.iter();
        handles.filter_map(|handle| self.engines.get(self.engine_of.get(handle)?))
    }

    fn load_of_group(&self, number: usize, now: MonotonicTime) -> GroupLoad {
        let line = self.speeds(&self.working_set.groups[number].pool).prefill;
        let mut load = GroupLoad::default();
        for state in self.states_of_group(number) {
            load.busy += state.busy(&line, now);
            load.unusable += usize::from(!state.takes_work(now, false));
        }
        load
    }

    /// Brings engines of the reserve into use until as many are as wanted.
    fn refill(&mut self, number: usize) {
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

/// What the engines in use of a group have to do.
#[derive(Clone, Copy, Debug, Default)]
struct GroupLoad {
    /// Engines that the work would keep busy.
    busy: f64,
    /// Engines that take no work now.
    unusable: usize,
}

impl EngineState {
    /// Engines that the work here would keep busy.
    fn busy(&self, line: &ReadingSpeed, now: MonotonicTime) -> f64 {
        let work = self.work(now);
        if self.engine.stage != EngineStage::Prefill {
            let places = work.requests / f64::from(self.engine.places.max(1));
            return places.max(work.memory_tokens / self.prefixes.capacity_tokens().max(1.0));
        }
        let tokens = work.all_prompt_tokens();
        if tokens == 0.0 {
            return 0.0;
        }
        (self.reading_seconds(line, tokens, now) / QUEUE_OF_ONE).max(1.0)
    }

    /// Whether a request that comes now would wait for no other.
    fn is_idle(&self, now: MonotonicTime) -> bool {
        match self.engine.stage {
            EngineStage::Prefill => self.work(now).all_prompt_tokens() == 0.0,
            EngineStage::Decode | EngineStage::Whole => self.has_place(now),
        }
    }

    /// Whether nothing was ever sent here or heard from here.
    fn is_untouched(&self) -> bool {
        self.sent.is_empty()
            && self.peers.is_empty()
            && self.prefixes.is_empty()
            && self.heard_at.is_none()
            && self.ordered.is_none()
    }

    /// Whether there was no work here for so long.
    fn is_unused_for(&self, hold: Duration, now: MonotonicTime) -> bool {
        let is_long_ago = |at: Option<MonotonicTime>| at.is_none_or(|at| now.since(at) >= hold);
        self.work(now).requests == 0.0
            && self.ordered_stage(now).is_none()
            && is_long_ago(self.heard_at)
            && is_long_ago(self.prefixes.latest_use())
    }
}
