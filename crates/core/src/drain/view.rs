//! What planned changes are decided from.

use crate::bundle::content::ModelKind;
use crate::engine::{EngineStatus, LoadedWeights, Role};
use crate::identity::EngineId;
use crate::orders::EngineGoal;
use std::time::Duration;

/// One engine of the zone as the holder of the lease sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub engine: EngineId,
    /// Kind of work it does.
    pub kind: ModelKind,
    /// Whether its machine is to be taken away.
    pub leaving: bool,
    /// Its last status; absent while it does not answer.
    pub status: Option<EngineStatus>,
    /// What it was last wanted to be, by this holder or the one before.
    pub goal: Option<EngineGoal>,
}

impl EngineView {
    /// Whether it takes new work.
    pub fn serves(&self) -> bool {
        let open = |status: &EngineStatus| !status.draining && !status.changing;
        !self.leaving && self.status.as_ref().is_some_and(open)
    }

    /// The goal under which it goes on as it is, in service.
    pub(super) fn present_goal(&self) -> Option<EngineGoal> {
        let status = self.status.as_ref()?;
        Some(EngineGoal {
            role: status.role,
            weights: status.weights.clone(),
            draining: false,
        })
    }
}

/// Bounds on planned changes in one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangeLimits {
    /// A change whose engine is not empty this long after it began is given up.
    pub empty_within: Duration,
    /// An engine whose change was given up is left alone this long.
    pub pause_after_give_up: Duration,
    /// Most engines that change at once.
    pub concurrent: usize,
}

/// A change that the planner or the bundle asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The engine.
    pub engine: EngineId,
    /// The role to take; absent: the present one.
    pub role: Option<Role>,
    /// Weights to hold; absent: the present ones.
    pub weights: Option<Vec<LoadedWeights>>,
}

impl ChangeRequest {
    /// The goal that carries the request out on an engine that is as `view` shows it.
    pub(super) fn goal(&self, view: &EngineView) -> Option<EngineGoal> {
        let mut goal = view.present_goal()?;
        if let Some(role) = self.role {
            goal.role = role;
        }
        if let Some(weights) = &self.weights {
            goal.weights.clone_from(weights);
        }
        Some(goal)
    }
}
