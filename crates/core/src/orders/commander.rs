//! One controller's command of its zone: the lease, the barrier of fences, and a course per engine.

use super::config::OrderTimings;
use super::course_phase::{CourseEffect, CoursePhase, OrderAnswer, Permission};
use super::engine_course::EngineCourse;
use super::event::{CommanderEffect, CommanderEvent};
use super::record::{EngineGoal, engine_key, engine_prefix};
use crate::engine::EngineStatus;
use crate::identity::{EngineId, NodeId, OrderId, ZoneId};
use crate::lease::{
    Authority, CallId, LeaseEffect, LeaseEvent, LeaseKeeper, LeaseTimings, TableAnswer, TableCall,
};
use crate::table::Row;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;

/// How far a controller has come with its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommanderPhase {
    /// Another controller holds the lease, or nobody does.
    Following,
    /// The lease was taken; the rows of the zone are being read.
    Scanning,
    /// The fence is being raised at every engine; no change is ordered yet.
    Fencing,
    /// Changes are ordered.
    Commanding,
}

/// What an outstanding table call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallPurpose {
    Lease(CallId),
    Scan(Authority),
    Engine(Authority, EngineId),
}

/// Decides for one controller which orders the engines of its zone get; see the module's documentation.
#[derive(Clone, Debug)]
pub struct ZoneCommander {
    zone: ZoneId,
    timings: OrderTimings,
    keeper: LeaseKeeper,
    phase: CommanderPhase,
    /// Token and epoch of the present taking; its `not_after` is refreshed from the keeper.
    authority: Option<Authority>,
    engines: Option<Vec<EngineId>>,
    goals: BTreeMap<EngineId, EngineGoal>,
    statuses: BTreeMap<EngineId, (MonotonicTime, EngineStatus)>,
    courses: BTreeMap<EngineId, EngineCourse>,
    rows: BTreeMap<String, Row>,
    calls: BTreeMap<CallId, CallPurpose>,
    next_call: u64,
    commits: u64,
    scan_at: MonotonicTime,
}

impl ZoneCommander {
    /// A commander that holds nothing. `process` tells this start of the process from every other and is random.
    pub fn new(lease: LeaseTimings, orders: OrderTimings, node: NodeId, zone: ZoneId, process: u64) -> Self {
        Self {
            keeper: LeaseKeeper::new(lease, node, zone.clone(), process),
            zone,
            timings: orders,
            phase: CommanderPhase::Following,
            authority: None,
            engines: None,
            goals: BTreeMap::new(),
            statuses: BTreeMap::new(),
            courses: BTreeMap::new(),
            rows: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            commits: 0,
            scan_at: MonotonicTime::default(),
        }
    }

    /// How far this controller has come with its zone.
    pub fn phase(&self) -> &CommanderPhase {
        &self.phase
    }

    /// The right to order at `now`; the planner runs only while it is present and the phase is `Commanding`.
    pub fn authority(&self, now: MonotonicTime) -> Option<Authority> {
        let current = self.keeper.authority(now)?;
        (self.authority.map(|known| known.token) == Some(current.token)).then_some(current)
    }

    /// The lease's keeper, for status pages.
    pub fn keeper(&self) -> &LeaseKeeper {
        &self.keeper
    }

    /// Where an engine's course stands; absent without the lease.
    pub fn course_phase(&self, engine: &EngineId) -> Option<&CoursePhase> {
        self.courses.get(engine).map(EngineCourse::phase)
    }

    /// The goal in force for an engine: the last one set here, or else the one its row holds.
    pub fn goal(&self, engine: &EngineId) -> Option<&EngineGoal> {
        let adopted = self.courses.get(engine).and_then(EngineCourse::goal);
        adopted.or_else(|| self.goals.get(engine))
    }

    /// Takes one event in and gives the effects, in order.
    pub fn handle(&mut self, event: CommanderEvent, now: MonotonicTime) -> Vec<CommanderEffect> {
        let mut effects = Vec::new();
        self.run_lease(LeaseEvent::Tick, now, &mut effects);
        match event {
            CommanderEvent::Tick => {}
            CommanderEvent::Release => self.run_lease(LeaseEvent::Release, now, &mut effects),
            CommanderEvent::Engines(engines) => self.set_engines(engines),
            CommanderEvent::Goal { engine, goal } => self.set_goal(engine, goal),
            CommanderEvent::Status { observed_at, status } => {
                self.take_status(*status, observed_at, now, &mut effects);
            }
            CommanderEvent::Answer { call, answer } => self.take_answer(call, answer, now, &mut effects),
            CommanderEvent::OrderAnswer {
                engine,
                order,
                answer,
            } => {
                self.take_order_answer(&engine, &order, answer, now, &mut effects);
            }
        }
        self.advance(now, &mut effects);
        effects
    }

    fn run_lease(&mut self, event: LeaseEvent, now: MonotonicTime, effects: &mut Vec<CommanderEffect>) {
        for effect in self.keeper.handle(event, now) {
            match effect {
                LeaseEffect::Call { call, request } => {
                    self.call(CallPurpose::Lease(call), request, effects);
                }
                LeaseEffect::Gained(authority) => {
                    self.begin(authority, now);
                    effects.push(CommanderEffect::Gained(authority));
                }
                LeaseEffect::Lost(token) => {
                    self.stand_down();
                    effects.push(CommanderEffect::Lost(token));
                }
            }
        }
    }

    fn begin(&mut self, authority: Authority, now: MonotonicTime) {
        self.authority = Some(authority);
        self.phase = CommanderPhase::Scanning;
        self.scan_at = now;
    }

    fn stand_down(&mut self) {
        self.authority = None;
        self.phase = CommanderPhase::Following;
        self.courses.clear();
        self.rows.clear();
        // A goal set under a former lease is older than what a later holder has committed.
        self.goals.clear();
    }

    fn set_engines(&mut self, engines: Vec<EngineId>) {
        self.statuses.retain(|engine, _| engines.contains(engine));
        self.courses.retain(|engine, _| engines.contains(engine));
        self.engines = Some(engines);
        if matches!(self.phase, CommanderPhase::Fencing | CommanderPhase::Commanding) {
            self.open_courses();
        }
    }

    /// Starts a course for each listed engine that has none.
    fn open_courses(&mut self) {
        for engine in self.engines.iter().flatten() {
            if self.courses.contains_key(engine) {
                continue;
            }
            let row = self.rows.get(&engine_key(&self.zone, engine).0);
            let mut course = EngineCourse::new(engine.clone(), self.timings, row);
            if let Some(goal) = self.goals.get(engine) {
                course.set_goal(goal.clone());
            }
            self.courses.insert(engine.clone(), course);
        }
    }

    fn set_goal(&mut self, engine: EngineId, goal: EngineGoal) {
        if self.authority.is_none() {
            return;
        }
        if let Some(course) = self.courses.get_mut(&engine) {
            course.set_goal(goal.clone());
        }
        self.goals.insert(engine, goal);
    }

    fn take_status(
        &mut self,
        status: EngineStatus,
        observed_at: MonotonicTime,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
    ) {
        let engine = status.engine.clone();
        let known = self.statuses.get(&engine);
        if known.is_some_and(|(known_at, _)| *known_at > observed_at) {
            return;
        }
        self.statuses
            .insert(engine.clone(), (observed_at, status.clone()));
        self.with_course(&engine, now, effects, |course, permission, course_effects| {
            course.take_status(status, observed_at, permission.authority, course_effects);
        });
    }

    fn take_order_answer(
        &mut self,
        engine: &EngineId,
        order: &OrderId,
        answer: OrderAnswer,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
    ) {
        self.with_course(engine, now, effects, |course, permission, course_effects| {
            course.take_order_answer(order, answer, permission.authority, now, course_effects);
        });
    }

    fn take_answer(
        &mut self,
        call: CallId,
        answer: TableAnswer,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
    ) {
        match self.calls.remove(&call) {
            Some(CallPurpose::Lease(call)) => {
                self.run_lease(LeaseEvent::Answer { call, answer }, now, effects);
            }
            Some(CallPurpose::Scan(authority)) if self.is_current(authority) => {
                self.take_scan(answer, now);
            }
            Some(CallPurpose::Engine(authority, engine)) if self.is_current(authority) => {
                self.with_course(&engine, now, effects, |course, permission, course_effects| {
                    course.take_table_answer(answer, permission, now, course_effects);
                });
            }
            // Calls of a former lease.
            Some(CallPurpose::Scan(_) | CallPurpose::Engine(..)) | None => {}
        }
    }

    fn is_current(&self, authority: Authority) -> bool {
        self.authority.map(|known| known.token) == Some(authority.token)
    }

    fn take_scan(&mut self, answer: TableAnswer, now: MonotonicTime) {
        let TableAnswer::Rows(rows) = answer else {
            self.scan_at = now + self.timings.table_retry();
            return;
        };
        self.rows = rows.into_iter().map(|row| (row.key.0.clone(), row)).collect();
        self.phase = CommanderPhase::Fencing;
        self.open_courses();
    }

    /// Begins whatever is due.
    fn advance(&mut self, now: MonotonicTime, effects: &mut Vec<CommanderEffect>) {
        let Some(authority) = self.authority(now) else {
            return;
        };
        self.scan_when_due(authority, now, effects);
        self.pass_barrier();
        let engines: Vec<EngineId> = self.courses.keys().cloned().collect();
        for engine in engines {
            self.with_course(&engine, now, effects, |course, permission, course_effects| {
                course.step(permission, now, course_effects);
            });
        }
    }

    fn scan_when_due(
        &mut self,
        authority: Authority,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
    ) {
        let purpose = CallPurpose::Scan(authority);
        let scanning = self
            .calls
            .values()
            .any(|purpose| matches!(purpose, CallPurpose::Scan(known) if self.is_current(*known)));
        if self.phase != CommanderPhase::Scanning || scanning || now < self.scan_at {
            return;
        }
        let request = TableCall::Scan(engine_prefix(&self.zone));
        self.call(purpose, request, effects);
    }

    /// Changes may begin once each listed engine has been fenced or could not be reached for it.
    fn pass_barrier(&mut self) {
        if self.phase != CommanderPhase::Fencing || self.engines.is_none() {
            return;
        }
        if self.courses.values().all(EngineCourse::fence_tried) {
            self.phase = CommanderPhase::Commanding;
        }
    }

    /// Runs one engine's course under the present authority and carries its effects on.
    fn with_course(
        &mut self,
        engine: &EngineId,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
        act: impl FnOnce(&mut EngineCourse, Permission<'_>, &mut Vec<CourseEffect>),
    ) {
        let Some(authority) = self.authority(now) else {
            return;
        };
        let Some(course) = self.courses.get_mut(engine) else {
            return;
        };
        self.commits += 1;
        let permission = Permission {
            zone: &self.zone,
            authority,
            commit_number: self.commits,
            changes: self.phase == CommanderPhase::Commanding,
        };
        let mut course_effects = Vec::new();
        act(course, permission, &mut course_effects);
        for effect in course_effects {
            self.carry_on(engine, authority, effect, now, effects);
        }
    }

    fn carry_on(
        &mut self,
        engine: &EngineId,
        authority: Authority,
        effect: CourseEffect,
        now: MonotonicTime,
        effects: &mut Vec<CommanderEffect>,
    ) {
        match effect {
            CourseEffect::Call(request) => {
                self.call(CallPurpose::Engine(authority, engine.clone()), request, effects);
            }
            CourseEffect::Send(order) => {
                effects.push(CommanderEffect::SendOrder {
                    order,
                    not_after: authority.not_after,
                });
            }
            CourseEffect::Settled(order) => {
                effects.push(CommanderEffect::Settled {
                    engine: engine.clone(),
                    order,
                });
            }
            CourseEffect::Rejected(order, reason) => {
                effects.push(CommanderEffect::Rejected {
                    engine: engine.clone(),
                    order,
                    reason,
                });
            }
            CourseEffect::Superseded => self.run_lease(LeaseEvent::Verify, now, effects),
        }
    }

    fn call(&mut self, purpose: CallPurpose, request: TableCall, effects: &mut Vec<CommanderEffect>) {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.calls.insert(call, purpose);
        effects.push(CommanderEffect::Call { call, request });
    }
}
