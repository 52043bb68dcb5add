//! The next order that leads an engine from its status to its goal.

use super::record::EngineGoal;
use crate::engine::{EngineStatus, OrderAction};

/// The next order, or none when the goal is reached or the engine must first run empty.
///
/// Role and weights change only on a drained engine that reports nothing in flight. The report may lag, so the
/// engine checks again for itself and answers `Busy`; work in flight is never cut off by the change.
pub fn next_action(status: &EngineStatus, goal: &EngineGoal) -> Option<OrderAction> {
    if status.changing {
        return None;
    }
    let change = next_change(status, goal);
    if status.draining {
        return match change {
            Some(_) if status.load.requests_in_flight > 0 => None,
            Some(change) => Some(change),
            None => (!goal.draining).then_some(OrderAction::Undrain),
        };
    }
    (goal.draining || change.is_some()).then_some(OrderAction::Drain)
}

fn next_change(status: &EngineStatus, goal: &EngineGoal) -> Option<OrderAction> {
    if status.role != goal.role {
        return Some(OrderAction::ChangeRole { role: goal.role });
    }
    let missing = goal
        .weights
        .iter()
        .find(|weights| !status.weights.contains(weights))?;
    Some(OrderAction::LoadWeights {
        weights: missing.clone(),
    })
}
