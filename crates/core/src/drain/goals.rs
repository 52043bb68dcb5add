//! What goals follow from an engine's view, and whether a status has reached one.

use super::view::{ChangeRequest, EngineView};
use crate::engine::EngineStatus;
use crate::orders::EngineGoal;

/// A leaving engine is drained as it is: loading or changing roles there would be waste.
pub(super) fn leaving_goal(view: &EngineView) -> Option<EngineGoal> {
    let drained = view.goal.clone().filter(|goal| goal.draining);
    drained.or_else(|| {
        let status = view.status.as_ref()?;
        Some(EngineGoal {
            role: status.role,
            weights: Vec::new(),
            draining: true,
        })
    })
}

pub(super) fn holds(status: &EngineStatus, goal: &EngineGoal) -> bool {
    let loaded = goal
        .weights
        .iter()
        .all(|weights| status.weights.contains(weights));
    status.role == goal.role && loaded
}

pub(super) fn reached(status: &EngineStatus, goal: &EngineGoal) -> bool {
    holds(status, goal) && !status.changing && !status.draining
}

/// One request per engine, so that a new role and new weights cost one drain.
pub(super) fn merged(requests: &[ChangeRequest]) -> Vec<ChangeRequest> {
    let mut merged: Vec<ChangeRequest> = Vec::new();
    for request in requests {
        match merged.iter_mut().find(|known| known.engine == request.engine) {
            Some(known) => {
                known.role = known.role.or(request.role);
                if known.weights.is_none() {
                    known.weights.clone_from(&request.weights);
                }
            }
            None => merged.push(request.clone()),
        }
    }
    merged
}
