//! What the commander is told and what it wants done.

use super::course_phase::OrderAnswer;
use super::record::EngineGoal;
use crate::engine::{EngineStatus, Order};
use crate::identity::{EngineId, FencingToken, OrderId};
use crate::lease::{Authority, CallId, TableAnswer, TableCall};
use crate::time::MonotonicTime;

/// What the commander is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommanderEvent {
    /// Time has passed.
    Tick,
    /// A table call has ended.
    Answer {
        /// The call.
        call: CallId,
        /// How it ended.
        answer: TableAnswer,
    },
    /// A sent order has been answered, or will not be.
    OrderAnswer {
        /// The engine.
        engine: EngineId,
        /// The order.
        order: OrderId,
        /// How the send ended.
        answer: OrderAnswer,
    },
    /// The zone's engines, all of them, as the machine list has them.
    Engines(Vec<EngineId>),
    /// An engine's own status.
    Status {
        /// Earliest instant at which the status can have been true: when it was asked for.
        observed_at: MonotonicTime,
        /// The status.
        status: Box<EngineStatus>,
    },
    /// What an engine is wanted to be.
    Goal {
        /// The engine.
        engine: EngineId,
        /// The goal.
        goal: EngineGoal,
    },
    /// Give the lease up and take it no more.
    Release,
}

/// What the commander wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommanderEffect {
    /// Make this table call and answer it exactly once.
    Call {
        /// Name for the answer.
        call: CallId,
        /// The call.
        request: TableCall,
    },
    /// Send this order once, unless `not_after` has passed on the caller's clock right before the send.
    SendOrder {
        /// The order.
        order: Order,
        /// End of the right to send it.
        not_after: MonotonicTime,
    },
    /// This controller now holds the lease.
    Gained(Authority),
    /// This controller no longer holds the lease.
    Lost(FencingToken),
    /// An engine has carried an order out.
    Settled {
        /// The engine.
        engine: EngineId,
        /// The order.
        order: OrderId,
    },
    /// An engine can't carry an order out.
    Rejected {
        /// The engine.
        engine: EngineId,
        /// The order.
        order: OrderId,
        /// What the engine said.
        reason: String,
    },
}
