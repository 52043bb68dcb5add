//! Cordons set by operators, and the reasons why an engine gets no new work.

use super::engine::{EngineStage, EngineState};
use super::router::PoolRouter;
use crate::cordon::{CordonTarget, EngineStanding};
use crate::identity::EngineId;
use crate::time::MonotonicTime;
use crate::topology::Topology;
use std::time::Duration;

/// A cordon in force, with its expiry on the monotonic clock of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveCordon {
    /// Engine, pool in a zone, or region that the cordon covers.
    pub target: CordonTarget,
    /// Time at which the cordon expires.
    pub until: MonotonicTime,
    /// Whether covered engines get no requests even if no other engine can take them.
    pub forced: bool,
}

/// Combined effect of all cordons that cover one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EngineCordon {
    /// Time at which the last cordon expires.
    pub(super) until: MonotonicTime,
    /// Time at which the last forced cordon expires.
    pub(super) forced_until: MonotonicTime,
}

/// Why an engine gets no new work. If several reasons apply, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidanceReason {
    /// The engine has ended: the platform no longer lists it, or a later start replaced it.
    Gone,
    /// The engine is about to shut down.
    Leaving,
    /// The engine was ordered to change to this stage.
    ChangingStage(EngineStage),
    /// An operator cordoned the engine.
    Cordoned {
        /// Time until the last cordon expires.
        remaining: Duration,
        /// Whether the engine gets no requests even if no other engine can take them.
        forced: bool,
    },
    /// The engine is a spot instance and its zone recently reclaimed other spot instances.
    ZoneReclaimed,
    /// The engine recently failed, did not answer or refused work.
    Paused {
        /// Time until the engine gets requests again.
        remaining: Duration,
    },
}

impl EngineState {
    fn is_cordoned_by_force(&self, now: MonotonicTime) -> bool {
        self.cordon.forced_until > now
    }

    /// Whether cordons allow new work; as a `last_resort`, only forced cordons exclude the engine.
    pub(super) fn cordon_allows(&self, now: MonotonicTime, last_resort: bool) -> bool {
        let is_free = self.cordon.until <= now;
        is_free || (last_resort && !self.is_cordoned_by_force(now))
    }

    /// Why the engine gets no new work; absent if it does get work.
    pub fn avoidance_reason(&self, now: MonotonicTime) -> Option<AvoidanceReason> {
        if self.has_ended(now) {
            return Some(AvoidanceReason::Gone);
        }
        if self.engine.leaving {
            return Some(AvoidanceReason::Leaving);
        }
        if let Some(stage) = self.ordered_stage(now) {
            return Some(AvoidanceReason::ChangingStage(stage));
        }
        if self.cordon.until > now {
            return Some(AvoidanceReason::Cordoned {
                remaining: self.cordon.until.since(now),
                forced: self.is_cordoned_by_force(now),
            });
        }
        if self.is_being_reclaimed(now) {
            return Some(AvoidanceReason::ZoneReclaimed);
        }
        self.health
            .remaining_backoff(now)
            .map(|remaining| AvoidanceReason::Paused { remaining })
    }
}

impl PoolRouter {
    /// Replaces the active cordons.
    pub fn on_cordons(&mut self, cordons: Vec<ActiveCordon>) {
        self.cordons = cordons;
        self.combine_all_cordons();
    }

    /// Applies the active cordons to every engine, since the cordons or the regions of zones have changed.
    pub(super) fn combine_all_cordons(&mut self) {
        for state in self.engines.values_mut() {
            state.cordon = combine_cordons(&self.cordons, &self.topology, state);
        }
    }

    /// Applies the active cordons to a newly listed engine.
    pub(super) fn apply_cordons_to(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.cordon = combine_cordons(&self.cordons, &self.topology, state);
        }
    }

    /// Engines that are listed and not about to leave, including the reserve.
    pub fn standings(&self) -> Vec<EngineStanding> {
        let staying = self.engines.values().filter(|state| state.is_active());
        let staying = staying.map(|state| &state.engine).chain(self.reserve());
        staying
            .map(|engine| EngineStanding {
                engine: engine.id.clone(),
                pool: engine.pool.clone(),
                zone: engine.zone.clone(),
                region: self.topology.region_of(&engine.zone).cloned(),
                stage: engine.stage,
            })
            .collect()
    }
}

/// Combines all cordons that cover an engine.
fn combine_cordons(cordons: &[ActiveCordon], topology: &Topology, state: &EngineState) -> EngineCordon {
    let engine = &state.engine;
    let region = topology.region_of(&engine.zone);
    let covering = cordons.iter().filter(|cordon| {
        cordon
            .target
            .covers(&engine.id, &engine.pool, &engine.zone, region)
    });
    let mut combined = EngineCordon::default();
    for cordon in covering {
        combined.until = combined.until.max(cordon.until);
        if cordon.forced {
            combined.forced_until = combined.forced_until.max(cordon.until);
        }
    }
    combined
}
