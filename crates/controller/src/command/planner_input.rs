//! Gathers what the role planner decides from.

use crate::context::Context;
use crate::fleet::{self, KnownEngine};
use shelfjunction_core::bundle::BundleInForce;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::demand::DemandOutlook;
use shelfjunction_core::engine::{EngineStatus, LoadReport, Role};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::roles::{EngineProfile, EngineState, PlannerInput};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the holder of the lease has learned since it took it.
pub struct PlanningFacts<'a> {
    /// Speeds measured on the zone's engines.
    pub profile: EngineProfile,
    /// Demand over the planner's horizon.
    pub demand: DemandOutlook,
    /// Engines in the middle of a planned change, and the roles that they take.
    pub targets: BTreeMap<EngineId, Role>,
    /// When each engine last changed its role.
    pub changed_at: &'a BTreeMap<EngineId, MonotonicTime>,
    /// When the lease was taken. What changed before is not known, so every engine counts as changed then: holders
    /// that follow each other quickly must not each change what the one before has just changed.
    pub held_since: MonotonicTime,
}

/// Everything known now, for one decision.
pub fn build(
    context: &Context,
    bundle: &BundleInForce,
    facts: PlanningFacts<'_>,
    now: MonotonicTime,
) -> PlannerInput {
    let known = fleet::engines(context);
    let in_zone = known
        .iter()
        .filter(|known| known.record.zone == context.config.zone);
    let view_age = in_zone
        .filter(|known| known.live_status().is_some())
        .map(|known| known.age)
        .max();
    let engines = known
        .iter()
        .filter(|known| known.kind() == ModelKind::Model)
        .filter_map(|known| state(known, &facts))
        .collect();
    PlannerInput {
        zone: context.config.zone.clone(),
        engines,
        demand: facts.demand,
        profile: facts.profile,
        policy: bundle.fleet.roles.clone(),
        classes: bundle.fleet.classes.clone(),
        models: bundle.models.to_vec(),
        view_age: view_age.unwrap_or(Duration::MAX),
        // The lease is held, so the store has just taken a renewal down.
        store_available: true,
        now,
    }
}

fn state(known: &KnownEngine, facts: &PlanningFacts<'_>) -> Option<EngineState> {
    let status = known.record.status.as_ref()?;
    let model = status.weights.first()?.model.clone();
    let target = facts.targets.get(&known.engine).copied();
    let changed_at = facts.changed_at.get(&known.engine).copied();
    Some(EngineState {
        engine: known.engine.clone(),
        zone: known.record.zone.clone(),
        model,
        role: target.unwrap_or(status.role),
        usable: may_come_back(known),
        // An engine that leaves or does not answer is drained for good or unknown; it takes up no place among the
        // changes that may go on at once.
        changing: target.is_some() || (is_changing(status) && may_come_back(known)),
        changed_at: Some(changed_at.unwrap_or(facts.held_since)),
        drain_seconds: drain_seconds(&status.load),
    })
}

fn may_come_back(known: &KnownEngine) -> bool {
    known.live_status().is_some() && !known.is_leaving()
}

fn is_changing(status: &EngineStatus) -> bool {
    status.changing || status.draining
}

/// Time that the engine needs for the work it holds, in seconds.
fn drain_seconds(load: &LoadReport) -> f64 {
    let prefill = load.queued_prefill_tokens as f64 / (load.prefill_tokens_per_second as f64).max(1.0);
    let decode = load.queued_decode_tokens as f64 / (load.decode_tokens_per_second as f64).max(1.0);
    prefill + decode
}
