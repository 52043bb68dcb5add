//! Who decides on roles in a run: the planner, a threshold rule, or the planner told the future.

use super::deployment::Deployment;
use super::engines::SimulatedEngine;
use super::policy::RolesPolicy;
use super::trace::Trace;
use super::world::{Event, PLAN_INTERVAL, World};
use shelfjunction_core::bundle::content::RolePolicy;
use shelfjunction_core::demand::{DemandEntry, DemandOutlook, DemandReport, DemandScenario};
use shelfjunction_core::engine::{LoadReport, Role};
use shelfjunction_core::membership::record::{EngineRecord, Liveness};
use shelfjunction_core::roles::{EngineState, Planner, PlannerInput};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Mean wait for prefill above which the threshold rule takes an engine from decode, in seconds.
const HIGH_PREFILL_WAIT: f64 = 0.6;
/// Mean wait for prefill below which the threshold rule may give an engine to decode, in seconds.
const LOW_PREFILL_WAIT: f64 = 0.15;
/// Part of the decode batches in use above which the threshold rule wants more decode engines.
const HIGH_DECODE_USE: f64 = 0.7;
/// Part of the decode batches in use below which the threshold rule may take an engine from decode.
const LOW_DECODE_USE: f64 = 0.5;
/// Shortest time between two reactions of the threshold rule.
const REACTION_INTERVAL: Duration = Duration::from_secs(10);
/// Parts into which the clairvoyant planner divides its horizon.
const CLAIRVOYANT_PARTS: u32 = 6;

impl World<'_> {
    pub(super) fn on_plan(&mut self, zone: usize) {
        if self.gateways[zone].alive {
            match self.policy.roles {
                RolesPolicy::Fixed => {}
                RolesPolicy::ReactiveThreshold => self.react(),
                RolesPolicy::Planner => self.plan(zone, self.deployment.policy.change_price),
                RolesPolicy::PlannerWithPrice(price) | RolesPolicy::Clairvoyant(price) => {
                    self.plan(zone, price)
                }
            }
        }
        self.schedule(self.now + PLAN_INTERVAL, Event::Plan(zone));
    }

    fn plan(&mut self, zone: usize, change_price: f64) {
        let input = self.planner_input(zone, change_price);
        for change in Planner::plan(&input) {
            let index = self.engines.iter().position(|engine| engine.id == change.engine);
            if let Some(index) = index {
                self.begin_change(index, change.to);
            }
        }
    }

    fn planner_input(&self, zone: usize, change_price: f64) -> PlannerInput {
        let engines: Vec<EngineState> = (0..self.engines.len())
            .filter_map(|index| self.engine_state(index))
            .collect();
        let ages = self
            .view
            .iter()
            .flatten()
            .filter(|(record, _)| record.liveness == Liveness::Alive)
            .map(|(_, observed_at)| self.now.since(*observed_at));
        PlannerInput {
            zone: self.deployment.zones[zone].clone(),
            engines,
            demand: self.outlook(),
            profile: self.profile,
            policy: RolePolicy {
                change_price,
                ..self.deployment.policy.clone()
            },
            classes: self.deployment.classes.clone(),
            models: Vec::new(),
            view_age: ages.max().unwrap_or_default(),
            store_available: true,
            now: self.now,
        }
    }

    fn engine_state(&self, index: usize) -> Option<EngineState> {
        let (record, _) = self.view[index].as_ref()?;
        let engine = &self.engines[index];
        let status = record.status.as_ref()?;
        Some(EngineState {
            engine: engine.id.clone(),
            zone: record.zone.clone(),
            model: self.deployment.model.clone(),
            role: engine.wanted,
            usable: record.liveness == Liveness::Alive && !status.weights.is_empty(),
            changing: is_changing(engine, record),
            changed_at: engine.changed_at,
            drain_seconds: drain_seconds(&status.load),
        })
    }

    fn total_demand(&self) -> DemandReport {
        let mut sum = DemandReport::default();
        for report in &self.demand {
            sum.add(report);
        }
        sum
    }

    pub(super) fn record_demand(&mut self) {
        let total = self.total_demand();
        self.history.record(&total, self.horizon(), self.now);
    }

    fn horizon(&self) -> Duration {
        Duration::from_millis(self.deployment.policy.horizon_millis)
    }

    fn outlook(&self) -> DemandOutlook {
        let present = self.total_demand();
        let horizon = self.horizon();
        if let RolesPolicy::Clairvoyant(_) = self.policy.roles {
            return future_outlook(self.trace, self.deployment, self.now, horizon, &present);
        }
        if !self.policy.weigh_past {
            return DemandOutlook::steady(present);
        }
        self.history.outlook(&present, horizon)
    }

    /// Moves one engine when one side's queues are long and the other's short.
    fn react(&mut self) {
        if self.now.since(self.last_reaction) < REACTION_INTERVAL {
            return;
        }
        let wait = self.mean_prefill_wait();
        let used = self.mean_decode_use();
        let (from, to) = if wait > HIGH_PREFILL_WAIT && used < LOW_DECODE_USE {
            (Role::Decode, Role::Prefill)
        } else if used > HIGH_DECODE_USE && wait < LOW_PREFILL_WAIT {
            (Role::Prefill, Role::Decode)
        } else {
            return;
        };
        let serving = self.engines.iter().filter(|engine| engine.wanted == from).count();
        let free = self
            .engines
            .iter()
            .position(|engine| engine.alive && engine.stage.is_none() && engine.wanted == from);
        if let Some(index) = free.filter(|_| serving > 1) {
            self.last_reaction = self.now;
            self.begin_change(index, to);
        }
    }

    fn mean_prefill_wait(&self) -> f64 {
        let (mut tokens, mut speed) = (0.0, 0.0);
        for load in self.loads(|role| role != Role::Decode) {
            tokens += load.queued_prefill_tokens as f64;
            speed += load.prefill_tokens_per_second as f64;
        }
        if speed > 0.0 { tokens / speed } else { 0.0 }
    }

    fn mean_decode_use(&self) -> f64 {
        let (mut active, mut places) = (0.0, 0.0);
        for load in self.loads(|role| role == Role::Decode) {
            active += f64::from(load.requests_in_flight);
            places += self.profile.batch_sequences;
        }
        if places > 0.0 { active / places } else { 1.0 }
    }

    fn loads(&self, with_role: impl Fn(Role) -> bool) -> impl Iterator<Item = LoadReport> {
        let alive = self
            .view
            .iter()
            .flatten()
            .filter(|(record, _)| record.liveness == Liveness::Alive);
        let statuses = alive.filter_map(|(record, _)| record.status.as_ref());
        statuses
            .filter(move |status| with_role(status.role))
            .map(|status| status.load)
    }
}

fn is_changing(engine: &SimulatedEngine, record: &EngineRecord) -> bool {
    let told = record
        .status
        .as_ref()
        .is_some_and(|status| status.changing || status.draining);
    told || engine.stage.is_some()
}

fn drain_seconds(load: &LoadReport) -> f64 {
    let prefill = load.queued_prefill_tokens as f64 / (load.prefill_tokens_per_second.max(1)) as f64;
    let decode = load.queued_decode_tokens as f64 / (load.decode_tokens_per_second.max(1)) as f64;
    prefill + decode
}

/// Demand of the coming time in equal parts, from the trace; the cached share is what the gateways have learned.
fn future_outlook(
    trace: &Trace,
    deployment: &Deployment,
    now: MonotonicTime,
    horizon: Duration,
    learned: &DemandReport,
) -> DemandOutlook {
    let length = horizon / CLAIRVOYANT_PARTS;
    let scenarios = (0..CLAIRVOYANT_PARTS).map(|index| DemandScenario {
        part: 1.0 / f64::from(CLAIRVOYANT_PARTS),
        demand: future_demand(trace, deployment, now + length * index, length, learned),
    });
    DemandOutlook {
        scenarios: scenarios.collect(),
    }
}

fn future_demand(
    trace: &Trace,
    deployment: &Deployment,
    from: MonotonicTime,
    length: Duration,
    learned: &DemandReport,
) -> DemandReport {
    let start = trace.requests.partition_point(|request| request.at < from);
    let end = trace
        .requests
        .partition_point(|request| request.at < from + length);
    let seconds = length.as_secs_f64();
    let mut entries: Vec<DemandEntry> = ServiceClass::ALL
        .into_iter()
        .map(|class| empty_entry(deployment, class))
        .collect();
    for request in &trace.requests[start..end] {
        let entry = &mut entries[request.class.index()];
        entry.requests += 1.0 / seconds;
        entry.prompt_tokens += f64::from(request.prompt_tokens) / seconds;
        entry.output_tokens += f64::from(request.output_tokens) / seconds;
    }
    for entry in &mut entries {
        let known = learned.entries.iter().find(|known| known.class == entry.class);
        let uncached = known
            .filter(|known| known.prompt_tokens > 0.0)
            .map_or(1.0, |known| known.uncached_prompt_tokens / known.prompt_tokens);
        entry.uncached_prompt_tokens = entry.prompt_tokens * uncached;
    }
    DemandReport { entries }
}

fn empty_entry(deployment: &Deployment, class: ServiceClass) -> DemandEntry {
    DemandEntry {
        model: deployment.model.clone(),
        class,
        requests: 0.0,
        prompt_tokens: 0.0,
        uncached_prompt_tokens: 0.0,
        output_tokens: 0.0,
    }
}
