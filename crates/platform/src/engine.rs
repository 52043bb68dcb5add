//! What engines offer.

use shelfjunction_core::engine::{
    AnswerPart, EngineCall, EngineRefusal, EngineStatus, KvEvent, Order, OrderReply, RunState,
};
use shelfjunction_core::identity::RequestId;
use std::net::SocketAddr;

/// Why a call to an engine did not give a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The engine refused before running anything.
    Refused(EngineRefusal),
    /// No byte of the call was sent, as when the connection was refused.
    NotSent,
    /// The call was sent, in part at least, and no answer came; it may run.
    Ambiguous,
}

/// Why reading a stream stopped early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The connection broke.
    Disconnected,
    /// A part could not be understood.
    Malformed(String),
}

/// Why a control call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlError {
    /// The engine could not be reached.
    Unreachable,
    /// The call was sent and the answer lost; it may have taken effect.
    AnswerLost,
    /// The answer could not be understood.
    Malformed(String),
}

/// Cache events after a position, with the position to ask from next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvEventBatch {
    /// Start of the engine's process that the sequence numbers belong to.
    pub incarnation: u64,
    /// The events, in order; gaps are possible.
    pub events: Vec<KvEvent>,
}

/// Parts of an answer as they arrive.
pub trait AnswerStream: Send {
    /// Waits for the next part; absent after the last.
    fn next_part(&mut self) -> Result<Option<AnswerPart>, StreamError>;
}

/// One way to speak with engines; the address names the engine.
pub trait EngineClient: Send + Sync {
    /// Hands a call to an engine, at most once, and gives its stream of parts.
    fn call(&self, address: SocketAddr, call: &EngineCall) -> Result<Box<dyn AnswerStream>, CallError>;

    /// Reads the answer of a request the engine was given before, from an offset on.
    fn resume(
        &self,
        address: SocketAddr,
        request: &RequestId,
        offset: u32,
    ) -> Result<Box<dyn AnswerStream>, CallError>;

    /// Asks what became of a request.
    fn run_state(&self, address: SocketAddr, request: &RequestId) -> Result<RunState, ControlError>;

    /// Cancels a request; one that has ended stays as it is.
    fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), ControlError>;

    /// Sends a fenced order.
    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, ControlError>;

    /// Reads the engine's status.
    fn status(&self, address: SocketAddr) -> Result<EngineStatus, ControlError>;

    /// Reads cache events after the given sequence number.
    fn kv_events(&self, address: SocketAddr, after: u64) -> Result<KvEventBatch, ControlError>;
}
