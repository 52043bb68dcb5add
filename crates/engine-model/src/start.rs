//! What an engine's process starts with.

use crate::config::{EngineKind, EngineModelConfig};
use crate::orders::OrderExecutor;
use shelfjunction_core::engine::{LoadedWeights, Role};
use shelfjunction_core::identity::{EngineId, WeightVersion};

/// Version that an application gives as its weights.
const APPLICATION_VERSION: &str = "1";

/// The part of a new process that answers orders.
pub(crate) fn executor(
    engine: &EngineId,
    config: &EngineModelConfig,
    role: Role,
    weights: Vec<LoadedWeights>,
) -> OrderExecutor {
    let changeable = matches!(config.kind, EngineKind::Model { .. });
    OrderExecutor::new(engine.clone(), config.changes, changeable, role, weights)
}

/// Role and weights of the first process.
pub(crate) fn first_role_and_weights(kind: &EngineKind) -> (Role, Vec<LoadedWeights>) {
    match kind {
        EngineKind::Model { role, weights } => (*role, weights.clone()),
        EngineKind::Application { .. } => restart_role_and_weights(kind),
    }
}

/// Role and weights of every later process: a restarted engine holds no weights; an application is always itself.
pub(crate) fn restart_role_and_weights(kind: &EngineKind) -> (Role, Vec<LoadedWeights>) {
    match kind {
        EngineKind::Model { .. } => (Role::Mixed, Vec::new()),
        EngineKind::Application { application } => {
            let itself = LoadedWeights {
                model: application.clone(),
                version: WeightVersion::new(APPLICATION_VERSION),
                adapters: Vec::new(),
            };
            (Role::Mixed, vec![itself])
        }
    }
}
