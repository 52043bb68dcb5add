//! Begins, watches, completes and gives up planned changes, a bounded number at once.

use super::floors::{BlockedByFloor, may_leave_service};
use super::goals::{holds, leaving_goal, merged, reached};
use super::view::{ChangeLimits, ChangeRequest, EngineView};
use crate::bundle::content::ModelRule;
use crate::identity::EngineId;
use crate::orders::EngineGoal;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};

/// How a planned change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The engine is what was asked for and serves.
    Completed,
    /// The engine did not run empty in time, stopped answering or rejected an order; it is put back into service.
    GivenUp,
    /// The engine's machine is leaving.
    Overtaken,
}

/// What is decided in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeDecision {
    /// The engine is wanted to be this from now on.
    SetGoal {
        /// The engine.
        engine: EngineId,
        /// The goal.
        goal: EngineGoal,
    },
    /// A change began.
    Began {
        /// The engine.
        engine: EngineId,
        /// What it is to become.
        goal: EngineGoal,
    },
    /// A change ended.
    Ended {
        /// The engine.
        engine: EngineId,
        /// How.
        outcome: ChangeOutcome,
    },
    /// A change may not begin now.
    Blocked(BlockedByFloor),
}

#[derive(Clone, Debug)]
struct Change {
    goal: EngineGoal,
    /// What to go back to when the change is given up; absent when an earlier holder began it.
    before: Option<EngineGoal>,
    since: MonotonicTime,
    /// Whether the engine served something that the change takes away for a while.
    takes_from_service: bool,
}

/// Decides what each engine of a zone is wanted to be; kept by the holder of the lease for as long as it holds it.
#[derive(Clone, Debug)]
pub struct ChangeCoordinator {
    limits: ChangeLimits,
    changes: BTreeMap<EngineId, Change>,
    paused_until: BTreeMap<EngineId, MonotonicTime>,
    /// What engines go back to whose change was given up in this step.
    given_up: BTreeMap<EngineId, EngineGoal>,
    /// Engines that said they can't carry an order of their change out.
    rejected: BTreeSet<EngineId>,
}

impl ChangeCoordinator {
    /// A coordinator that knows of no change.
    pub fn new(limits: ChangeLimits) -> Self {
        Self {
            limits,
            changes: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            given_up: BTreeMap::new(),
            rejected: BTreeSet::new(),
        }
    }

    /// Replaces the limits, as when a new bundle comes into force.
    pub fn set_limits(&mut self, limits: ChangeLimits) {
        self.limits = limits;
    }

    /// Engines whose change has begun and not ended.
    pub fn changing(&self) -> impl Iterator<Item = &EngineId> {
        self.changes.keys()
    }

    /// What each engine whose change is under way is to become.
    pub fn targets(&self) -> impl Iterator<Item = (&EngineId, &EngineGoal)> {
        self.changes.iter().map(|(engine, change)| (engine, &change.goal))
    }

    /// Takes in that an engine can't carry an order out: its change, if one is under way, is given up.
    pub fn on_rejected(&mut self, engine: &EngineId) {
        if self.changes.contains_key(engine) {
            self.rejected.insert(engine.clone());
        }
    }

    /// Looks at every engine of the zone once and decides.
    pub fn step(
        &mut self,
        views: &[EngineView],
        requests: &[ChangeRequest],
        models: &[ModelRule],
        now: MonotonicTime,
    ) -> Vec<ChangeDecision> {
        let mut decisions = Vec::new();
        self.forget_missing(views);
        for view in views {
            self.watch(view, now, &mut decisions);
        }
        for request in merged(requests) {
            self.begin_when_allowed(&request, views, models, now, &mut decisions);
        }
        for view in views {
            self.set_goal(view, &mut decisions);
        }
        self.given_up.clear();
        decisions
    }

    fn forget_missing(&mut self, views: &[EngineView]) {
        let listed = |engine: &EngineId| views.iter().any(|view| view.engine == *engine);
        self.changes.retain(|engine, _| listed(engine));
        self.paused_until.retain(|engine, _| listed(engine));
        self.rejected.retain(listed);
    }

    /// Ends a change that is over, and takes over one that an earlier holder began.
    fn watch(&mut self, view: &EngineView, now: MonotonicTime, decisions: &mut Vec<ChangeDecision>) {
        let Some(change) = self.changes.get(&view.engine) else {
            self.adopt(view, now);
            return;
        };
        let late = now.since(change.since) >= self.limits.empty_within;
        let outcome = match &view.status {
            _ if view.leaving => ChangeOutcome::Overtaken,
            Some(status) if reached(status, &change.goal) => ChangeOutcome::Completed,
            Some(status) if status.changing => return,
            _ if late || self.rejected.contains(&view.engine) => ChangeOutcome::GivenUp,
            _ => return,
        };
        self.rejected.remove(&view.engine);
        if outcome == ChangeOutcome::GivenUp {
            let until = now + self.limits.pause_after_give_up;
            self.paused_until.insert(view.engine.clone(), until);
            let before = change.before.clone().or_else(|| view.present_goal());
            self.given_up
                .extend(before.map(|goal| (view.engine.clone(), goal)));
        }
        self.changes.remove(&view.engine);
        decisions.push(ChangeDecision::Ended {
            engine: view.engine.clone(),
            outcome,
        });
    }

    fn adopt(&mut self, view: &EngineView, now: MonotonicTime) {
        let (Some(status), Some(goal)) = (&view.status, &view.goal) else {
            return;
        };
        let paused = self
            .paused_until
            .get(&view.engine)
            .is_some_and(|until| now < *until);
        if view.leaving || paused || goal.draining || holds(status, goal) {
            return;
        }
        self.changes.insert(
            view.engine.clone(),
            Change {
                goal: goal.clone(),
                before: None,
                since: now,
                takes_from_service: !status.weights.is_empty(),
            },
        );
    }

    fn begin_when_allowed(
        &mut self,
        request: &ChangeRequest,
        views: &[EngineView],
        models: &[ModelRule],
        now: MonotonicTime,
        decisions: &mut Vec<ChangeDecision>,
    ) {
        let Some(view) = views.iter().find(|view| view.engine == request.engine) else {
            return;
        };
        let (Some(goal), Some(status)) = (request.goal(view), &view.status) else {
            return;
        };
        if view.leaving || holds(status, &goal) || !self.is_free(view, now) {
            return;
        }
        let in_service = |view: &EngineView| view.serves() && !self.changes.contains_key(&view.engine);
        if let Err(blocked) = may_leave_service(view, views, models, in_service) {
            decisions.push(ChangeDecision::Blocked(blocked));
            return;
        }
        decisions.push(ChangeDecision::Began {
            engine: view.engine.clone(),
            goal: goal.clone(),
        });
        let change = Change {
            goal,
            before: view.present_goal(),
            since: now,
            takes_from_service: !status.weights.is_empty(),
        };
        self.changes.insert(view.engine.clone(), change);
    }

    fn is_free(&self, view: &EngineView, now: MonotonicTime) -> bool {
        let paused = self
            .paused_until
            .get(&view.engine)
            .is_some_and(|until| now < *until);
        let changing = self.changes.contains_key(&view.engine);
        let costly = self
            .changes
            .values()
            .filter(|change| change.takes_from_service)
            .count();
        let empty = view
            .status
            .as_ref()
            .is_some_and(|status| status.weights.is_empty());
        !paused && !changing && (empty || costly < self.limits.concurrent)
    }

    fn set_goal(&self, view: &EngineView, decisions: &mut Vec<ChangeDecision>) {
        let Some(goal) = self.wanted(view) else {
            return;
        };
        if view.goal.as_ref() != Some(&goal) {
            decisions.push(ChangeDecision::SetGoal {
                engine: view.engine.clone(),
                goal,
            });
        }
    }

    /// What an engine is wanted to be; absent while nothing is known of it.
    ///
    /// A goal once set stays until a change is begun or given up. One read off the engine's status each time would be
    /// as old as that status, and an order that was carried out meanwhile would be undone for it.
    fn wanted(&self, view: &EngineView) -> Option<EngineGoal> {
        if view.leaving {
            return leaving_goal(view);
        }
        let change = self.changes.get(&view.engine).map(|change| &change.goal);
        let chosen = change.or_else(|| self.given_up.get(&view.engine));
        if let Some(goal) = chosen.or(view.goal.as_ref()).filter(|goal| !goal.draining) {
            return Some(goal.clone());
        }
        view.present_goal()
    }
}
