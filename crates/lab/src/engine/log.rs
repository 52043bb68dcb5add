//! What the stand-in was told and ran, for an oracle to read by `GET /log`.

use serde::{Deserialize, Serialize};
use shelfjunction_core::engine::{Order, OrderReply, RunRecord};

/// One order as it arrived, with the answer given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Start of the engine's process that answered.
    pub incarnation: u64,
    /// The order.
    pub order: Order,
    /// The answer.
    pub reply: OrderReply,
}

/// Body of `GET /log`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLog {
    /// Present start of the engine's process.
    pub incarnation: u64,
    /// Every call that was begun, in order, also before crashes.
    pub runs: Vec<RunRecord>,
    /// Every order, in order.
    pub orders: Vec<OrderRecord>,
    /// Requests that could not be understood.
    pub malformed_requests: u64,
}
