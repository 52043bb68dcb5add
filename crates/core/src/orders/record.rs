//! The row that holds the last order committed for an engine.

use crate::engine::{LoadedWeights, Order, OrderAction, OrderSequence, Role};
use crate::identity::{EngineId, FencingToken, OrderId, ZoneId};
use crate::table::RowKey;
use serde::{Deserialize, Serialize};

/// What an engine is wanted to be once no order is left to give.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineGoal {
    /// The role.
    pub role: Role,
    /// Weights that must be loaded; others may stay.
    pub weights: Vec<LoadedWeights>,
    /// Whether it takes no new work, as when its machine leaves.
    pub draining: bool,
}

/// Value of `engine/{zone}/{engine}`: the last order committed for that engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRow {
    /// Token under which the order was committed.
    pub token: FencingToken,
    /// Position under that token.
    pub sequence: OrderSequence,
    /// Identifier of the order; unique among every attempt to commit one.
    pub order: OrderId,
    /// What was ordered.
    pub action: OrderAction,
    /// What the engine was wanted to be; a new holder goes on from here.
    pub goal: Option<EngineGoal>,
}

impl EngineRow {
    /// The order as it is sent.
    pub fn to_order(&self, engine: &EngineId) -> Order {
        Order {
            engine: engine.clone(),
            token: self.token,
            sequence: self.sequence,
            order: self.order.clone(),
            action: self.action.clone(),
        }
    }
}

/// Key of an engine's row.
pub fn engine_key(zone: &ZoneId, engine: &EngineId) -> RowKey {
    RowKey(format!("{}{engine}", engine_prefix(zone)))
}

/// What the keys of all engine rows of a zone start with.
pub fn engine_prefix(zone: &ZoneId) -> String {
    format!("engine/{zone}/")
}
