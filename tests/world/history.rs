//! What happened in the world, as the oracles read it.

use shelfjunction_core::engine::{Order, OrderReply};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::time::MonotonicTime;

/// One order that a controller handed to the network.
#[derive(Clone, Debug)]
pub struct OrderSend {
    /// When the sender looked at its clock, in virtual time.
    pub checked_at: MonotonicTime,
    /// When the order left, in virtual time.
    pub left_at: MonotonicTime,
    /// Index of the sending controller.
    pub controller: usize,
    /// Whether the sender's clock has ever stood still.
    pub clock_ever_stopped: bool,
    /// Index of the engine.
    pub engine: usize,
    /// The order.
    pub order: Order,
    /// Token in the zone's epoch row when the sender looked at its clock.
    pub epoch_at_check: FencingToken,
    /// Whether the engine was in the middle of another order's change when the order left.
    pub engine_changing: bool,
    /// When the sender learnt how the send ended, and how.
    pub end: Option<(MonotonicTime, SendEnd)>,
}

/// One order that the platform committed.
#[derive(Clone, Debug)]
pub struct OrderCommit {
    /// When.
    pub at: MonotonicTime,
    /// Index of the engine.
    pub engine: usize,
    /// The order.
    pub order: Order,
    /// Token in the zone's epoch row at that instant.
    pub epoch: FencingToken,
}

/// How one send ended for its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// The engine answered.
    Reply(OrderReply),
    /// The connection could not be made.
    NotSent,
    /// No answer came in time.
    Lost,
}

/// Something that happened at an engine.
#[derive(Clone, Debug)]
pub enum EngineEntry {
    /// It was told to do something.
    Told {
        /// When.
        at: MonotonicTime,
        /// Index of the engine.
        engine: usize,
        /// The engine's start.
        incarnation: u64,
        /// Index of the send that told it.
        send: usize,
        /// What it was told.
        order: Order,
        /// What it answered.
        reply: OrderReply,
        /// Whether it carried the order out now, and not before.
        obeyed: bool,
        /// Whether it refused new work just before it was told.
        draining: bool,
        /// Calls that ran or waited there just before it was told.
        in_flight: u32,
        /// Token in the zone's epoch row at that instant.
        epoch: FencingToken,
    },
    /// Its process ended and forgot everything.
    Crashed {
        /// When.
        at: MonotonicTime,
        /// Index of the engine.
        engine: usize,
    },
}

/// Everything that happened so far.
#[derive(Debug, Default)]
pub struct History {
    /// Orders committed to engine rows, in order.
    pub commits: Vec<OrderCommit>,
    /// Orders handed to the network, in order.
    pub sends: Vec<OrderSend>,
    /// What happened at engines, in order.
    pub engines: Vec<EngineEntry>,
    /// Pairs of zone index and instant at which its epoch rose, with the new token.
    pub takings: Vec<(usize, MonotonicTime, FencingToken)>,
}
