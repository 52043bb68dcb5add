//! What each engine of the zone is wanted to be, decided while the lease is held.

use super::planner_input::{self, PlanningFacts};
use super::status_board::StatusBoard;
use crate::config::millis;
use crate::context::Context;
use crate::demand;
use crate::fleet::{self, KnownEngine};
use shelfjunction_core::bundle::BundleInForce;
use shelfjunction_core::demand::{DemandHistory, DemandOutlook};
use shelfjunction_core::drain::{
    ChangeCoordinator, ChangeDecision, ChangeLimits, ChangeOutcome, ChangeRequest, EngineView, roll_requests,
};
use shelfjunction_core::engine::EngineStatus;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::orders::{CommanderEvent, ZoneCommander};
use shelfjunction_core::roles::{EngineProfile, Planner};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;

/// Changes at once while no bundle says how many.
const CONCURRENT_WITHOUT_BUNDLE: usize = 1;

/// Plans of one holding of the lease; a new holding starts afresh from the committed goals.
pub struct Planning {
    coordinator: ChangeCoordinator,
    role_requests: Vec<ChangeRequest>,
    changed_at: BTreeMap<EngineId, MonotonicTime>,
    profile: EngineProfile,
    demand_history: DemandHistory,
    plan_at: MonotonicTime,
    held_since: MonotonicTime,
}

impl Planning {
    /// Nothing planned yet.
    pub fn new(context: &Context) -> Self {
        Self {
            coordinator: ChangeCoordinator::new(limits(context, None)),
            role_requests: Vec::new(),
            changed_at: BTreeMap::new(),
            profile: EngineProfile::default(),
            demand_history: DemandHistory::default(),
            plan_at: context.now(),
            held_since: context.now(),
        }
    }

    /// Engines whose change is under way.
    pub fn changing(&self) -> Vec<EngineId> {
        self.coordinator.changing().cloned().collect()
    }

    /// Takes in that an engine can't carry an order out.
    pub fn on_rejected(&mut self, engine: &EngineId) {
        self.coordinator.on_rejected(engine);
    }

    /// Decides once and gives what the commander is to be told.
    pub fn step(
        &mut self,
        context: &Context,
        commander: &ZoneCommander,
        statuses: &StatusBoard,
        now: MonotonicTime,
    ) -> Vec<CommanderEvent> {
        let bundle = context.bundle.in_force();
        let known = fleet::zone_engines(context);
        let views: Vec<EngineView> = known
            .iter()
            .map(|known| view(known, commander, statuses.get(&known.engine, now)))
            .collect();
        let models = bundle
            .as_ref()
            .map(|bundle| bundle.models.as_slice())
            .unwrap_or_default();
        self.coordinator.set_limits(limits(context, bundle.as_deref()));
        if let Some(bundle) = &bundle {
            self.plan_when_due(context, bundle, &known, now);
        }
        let mut requests = roll_requests(&views, models, &context.command.weight_queues());
        requests.extend(self.role_requests.iter().cloned());
        let decisions = self.coordinator.step(&views, &requests, models, now);
        decisions
            .into_iter()
            .filter_map(|decision| self.follow(context, decision, now))
            .collect()
    }

    /// Demand over the planner's horizon, from the present reports and what this holder has seen before.
    fn outlook(&mut self, context: &Context, bundle: &BundleInForce, now: MonotonicTime) -> DemandOutlook {
        let present = demand::total(context);
        let horizon = millis(bundle.fleet.roles.horizon_millis);
        self.demand_history.record(&present, horizon, now);
        self.demand_history.outlook(&present, horizon)
    }

    fn plan_when_due(
        &mut self,
        context: &Context,
        bundle: &BundleInForce,
        zone_engines: &[KnownEngine],
        now: MonotonicTime,
    ) {
        if now < self.plan_at {
            return;
        }
        self.plan_at = now + millis(context.config.timings.plan_millis);
        for status in zone_engines.iter().filter_map(KnownEngine::live_status) {
            self.profile.learn(status.role, &status.load);
        }
        let demand = self.outlook(context, bundle, now);
        let targets = self
            .coordinator
            .targets()
            .map(|(engine, goal)| (engine.clone(), goal.role));
        let facts = PlanningFacts {
            profile: self.profile,
            demand,
            targets: targets.collect(),
            changed_at: &self.changed_at,
            held_since: self.held_since,
        };
        let input = planner_input::build(context, bundle, facts, now);
        let changes = Planner::plan(&input);
        for change in &changes {
            log::info!(
                engine:% = change.engine, from:? = change.from, to:? = change.to, net_gain = change.net_gain;
                "role_change_planned"
            );
        }
        self.role_requests = changes
            .into_iter()
            .map(|change| ChangeRequest {
                engine: change.engine,
                role: Some(change.to),
                weights: None,
            })
            .collect();
    }

    fn follow(
        &mut self,
        context: &Context,
        decision: ChangeDecision,
        now: MonotonicTime,
    ) -> Option<CommanderEvent> {
        match decision {
            ChangeDecision::SetGoal { engine, goal } => return Some(CommanderEvent::Goal { engine, goal }),
            ChangeDecision::Began { engine, goal } => {
                log::info!(engine:% = engine, role:? = goal.role; "change_began");
                self.role_requests.retain(|request| request.engine != engine);
            }
            ChangeDecision::Ended { engine, outcome } => {
                log::info!(engine:% = engine, outcome:? = outcome; "change_ended");
                if outcome == ChangeOutcome::GivenUp {
                    context.metrics.changes_given_up.inc();
                } else {
                    context.metrics.changes_completed.inc();
                }
                self.changed_at.insert(engine, now);
            }
            ChangeDecision::Blocked(blocked) => {
                log::debug!(
                    engine:% = blocked.engine, model:% = blocked.model, left = blocked.left, floor = blocked.floor;
                    "change_blocked_by_floor"
                );
            }
        }
        None
    }
}

fn view(known: &KnownEngine, commander: &ZoneCommander, status: Option<&EngineStatus>) -> EngineView {
    EngineView {
        engine: known.engine.clone(),
        kind: known.kind(),
        leaving: known.is_leaving(),
        status: status.cloned(),
        goal: commander.goal(&known.engine).cloned(),
    }
}

fn limits(context: &Context, bundle: Option<&BundleInForce>) -> ChangeLimits {
    let timings = &context.config.timings;
    let concurrent = bundle.map(|bundle| bundle.fleet.roles.concurrent_changes_per_zone as usize);
    ChangeLimits {
        empty_within: millis(timings.drain_limit_millis),
        pause_after_give_up: millis(timings.give_up_pause_millis),
        concurrent: concurrent.unwrap_or(CONCURRENT_WITHOUT_BUNDLE),
    }
}
