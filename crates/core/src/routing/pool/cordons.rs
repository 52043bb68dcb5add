//! Engines that operators have cordoned, and why an engine is left alone.

use super::engine::{EngineStage, EngineState};
use super::router::PoolRouter;
use crate::cordon::{CordonTarget, EngineStanding};
use crate::identity::EngineId;
use crate::time::MonotonicTime;
use std::time::Duration;

/// A cordon on this process's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveCordon {
    /// What is left alone.
    pub target: CordonTarget,
    /// Until when.
    pub until: MonotonicTime,
    /// Whether the engines are left alone even where no other can take a request.
    pub forced: bool,
}

/// How the cordons that cover one engine bear on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EngineCordon {
    /// End of the last of them.
    pub(super) until: MonotonicTime,
    /// End of the last forced one.
    pub(super) forced_until: MonotonicTime,
}

/// Why an engine gets no new work, the first cause that holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidanceReason {
    /// The platform lists it no longer, and there is no doubt that it has ended.
    Gone,
    /// It is about to leave.
    Leaving,
    /// It has been ordered to take another stage.
    ChangingStage(EngineStage),
    /// An operator has cordoned it, for so long still.
    Cordoned {
        /// Time until it lifts itself.
        remaining: Duration,
        /// Whether it gets nothing even where no other can take a request.
        forced: bool,
    },
    /// Its zone was seen to take spot engines back a moment ago.
    ZoneReclaimed,
    /// It broke or refused work, for so long still.
    Paused {
        /// Time until it is tried again.
        remaining: Duration,
    },
}

impl EngineState {
    fn is_cordoned_by_force(&self, now: MonotonicTime) -> bool {
        self.cordon.forced_until > now
    }

    /// Whether a cordon lets work come here, where no other engine can take it if `last_resort`.
    pub(super) fn cordon_allows(&self, now: MonotonicTime, last_resort: bool) -> bool {
        let is_free = self.cordon.until <= now;
        is_free || (last_resort && !self.is_cordoned_by_force(now))
    }

    /// Why it gets no new work; absent where it does.
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
    /// Takes all cordons that are in force, in place of those before.
    pub fn on_cordons(&mut self, cordons: Vec<ActiveCordon>) {
        self.cordons = cordons;
        for state in self.engines.values_mut() {
            state.cordon = of_all(&self.cordons, state);
        }
    }

    /// Looks whether a cordon covers an engine that was listed just now.
    pub(super) fn note_cordon(&mut self, engine: &EngineId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.cordon = of_all(&self.cordons, state);
        }
    }

    /// Every engine that is listed and stays.
    pub fn standings(&self) -> Vec<EngineStanding> {
        let staying = self.engines.values().filter(|state| state.stays());
        let staying = staying.map(|state| &state.engine).chain(self.reserve());
        staying
            .map(|engine| EngineStanding {
                engine: engine.id.clone(),
                pool: engine.pool.clone(),
                zone: engine.zone.clone(),
                stage: engine.stage,
            })
            .collect()
    }
}

/// All cordons that cover an engine, taken together.
fn of_all(cordons: &[ActiveCordon], state: &EngineState) -> EngineCordon {
    let engine = &state.engine;
    let covering = cordons
        .iter()
        .filter(|cordon| cordon.target.covers(&engine.id, &engine.pool, &engine.zone));
    let mut sum = EngineCordon::default();
    for cordon in covering {
        sum.until = sum.until.max(cordon.until);
        if cordon.forced {
            sum.forced_until = sum.forced_until.max(cordon.until);
        }
    }
    sum
}
