//! The floors of a bundle: how many engines of each role must go on serving each model in a zone.

use super::view::EngineView;
use crate::bundle::content::{ModelRule, RoleFloor};
use crate::engine::Role;
use crate::identity::{EngineId, ModelId};

/// A floor that would be broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockedByFloor {
    /// The engine that was to leave service.
    pub engine: EngineId,
    /// The model.
    pub model: ModelId,
    /// The role whose floor would be broken.
    pub role: Role,
    /// Engines that would be left.
    pub left: u32,
    /// Fewest engines.
    pub floor: u32,
}

/// Whether an engine may leave service for a while without breaking a floor that holds now.
///
/// `in_service` tells of each engine whether it serves and no change of it has begun.
pub fn may_leave_service(
    engine: &EngineView,
    views: &[EngineView],
    models: &[ModelRule],
    in_service: impl Fn(&EngineView) -> bool,
) -> Result<(), BlockedByFloor> {
    if !in_service(engine) {
        return Ok(());
    }
    for rule in models {
        for floor in &rule.floors {
            if !counts_for(engine, &rule.model, floor) {
                continue;
            }
            let others = views
                .iter()
                .filter(|view| view.engine != engine.engine && in_service(view));
            let left = others.filter(|view| counts_for(view, &rule.model, floor)).count();
            let left = u32::try_from(left).unwrap_or(u32::MAX);
            if left < floor.engines {
                return Err(BlockedByFloor {
                    engine: engine.engine.clone(),
                    model: rule.model.clone(),
                    role: floor.role,
                    left,
                    floor: floor.engines,
                });
            }
        }
    }
    Ok(())
}

fn counts_for(view: &EngineView, model: &ModelId, floor: &RoleFloor) -> bool {
    let Some(status) = &view.status else {
        return false;
    };
    let holds = status.weights.iter().any(|weights| weights.model == *model);
    holds && status.role == floor.role
}
