//! What the planner is told and what it answers.

use super::profile::EngineProfile;
use crate::bundle::content::{ClassRule, ModelRule, RolePolicy};
use crate::demand::DemandOutlook;
use crate::engine::Role;
use crate::identity::{EngineId, ModelId, ZoneId};
use crate::time::MonotonicTime;
use std::time::Duration;

/// One engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineState {
    /// The engine.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// The model it serves.
    pub model: ModelId,
    /// Its role, or the one it is changing to.
    pub role: Role,
    /// Whether it may be counted on: alive, staying, and answering.
    pub usable: bool,
    /// Whether it is drained for a change, or in one.
    pub changing: bool,
    /// When its last change ended; absent when it never changed as far as is known.
    pub changed_at: Option<MonotonicTime>,
    /// Work in flight, in seconds of the engine's time; what a drain must wait for.
    pub drain_seconds: f64,
}

/// Everything one decision depends on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerInput {
    /// Zone whose engines this planner may change.
    pub zone: ZoneId,
    /// All engines that share the demand, of this zone and of others.
    pub engines: Vec<EngineState>,
    /// Demand on all of them over the policy's horizon.
    pub demand: DemandOutlook,
    /// What an engine can do.
    pub profile: EngineProfile,
    /// Weights and bounds.
    pub policy: RolePolicy,
    /// Limits of each class.
    pub classes: Vec<ClassRule>,
    /// Models, with their floors.
    pub models: Vec<ModelRule>,
    /// Age of the oldest part of the view that the decision rests on.
    pub view_age: Duration,
    /// Whether the table service takes orders down.
    pub store_available: bool,
    /// The present instant.
    pub now: MonotonicTime,
}

/// One change that is worth its price.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub engine: EngineId,
    /// Its present role.
    pub from: Role,
    /// The role to take.
    pub to: Role,
    /// Requests of goodput expected over the horizon beyond what the change costs, weighted by the policy.
    pub net_gain: f64,
}

/// Why the planner changes nothing whatever the demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlannerHold {
    /// The view is too old to act on.
    StaleView,
    /// Orders can't be committed.
    StoreUnavailable,
}

/// Engines of each role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoleCounts {
    /// Prefill engines.
    pub prefill: u32,
    /// Decode engines.
    pub decode: u32,
    /// Mixed engines.
    pub mixed: u32,
}

impl RoleCounts {
    /// Engines of one role.
    pub fn of(&self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
        }
    }

    /// One more of a role.
    pub fn add(&mut self, role: Role) {
        *self.slot(role) += 1;
    }

    /// One fewer of a role; none stays none.
    pub fn remove(&mut self, role: Role) {
        let slot = self.slot(role);
        *slot = slot.saturating_sub(1);
    }

    /// Whether a whole request can be served.
    pub fn serves_whole_requests(&self) -> bool {
        self.mixed > 0 || (self.prefill > 0 && self.decode > 0)
    }

    fn slot(&mut self, role: Role) -> &mut u32 {
        match role {
            Role::Prefill => &mut self.prefill,
            Role::Decode => &mut self.decode,
            Role::Mixed => &mut self.mixed,
        }
    }
}
