//! What callers asked for and what they were given.

use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::EngineCall;
use shelfjunction_core::identity::RequestId;
use shelfjunction_core::outcome::Outcome;
use shelfjunction_core::time::MonotonicTime;

/// Tenants of the world; the second may be served in the first zone only.
pub const TENANTS: [&str; 2] = ["chain-a", "chain-b"];

/// What one caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// Index of the tenant.
    pub tenant: usize,
    /// Idempotency key; absent for a request that may be repeated.
    pub key: Option<u32>,
    /// Which of a few bodies.
    pub body: u8,
    /// Model or application.
    pub kind: ModelKind,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Time until the deadline, in milliseconds.
    pub deadline_millis: u64,
}

/// How a caller's connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerEnd {
    /// With a final outcome.
    Outcome(Outcome),
    /// Refused at the door, before a course began.
    RefusedAtDoor,
    /// The gateway's process ended.
    ConnectionLost,
    /// The caller went away.
    Left,
}

/// One caller's connection.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What it asked for.
    pub ask: Ask,
    /// The request as its gateway named it.
    pub request: RequestId,
    /// Index of the gateway.
    pub gateway: usize,
    /// First output token asked for; above zero when an answer is read again.
    pub offset: u32,
    /// Whether an earlier answer is read again.
    pub reread: bool,
    /// Tokens received, in order of arrival.
    pub tokens: Vec<(u32, String)>,
    /// Tokens in all and cached prompt tokens, once the end was received.
    pub finished: Option<(u32, u32)>,
    /// When it asked, in virtual time.
    pub asked_at: MonotonicTime,
    /// When and how it ended.
    pub end: Option<(MonotonicTime, CallerEnd)>,
}

/// One call that an engine began to run.
#[derive(Clone, Debug)]
pub struct RunEntry {
    /// When.
    pub at: MonotonicTime,
    /// Index of the engine.
    pub engine: usize,
    /// The engine's start.
    pub incarnation: u64,
    /// The call.
    pub call: EngineCall,
    /// Index of the caller whose gateway sent it.
    pub caller: usize,
}

/// One call that left a gateway.
#[derive(Clone, Debug)]
pub struct DispatchEntry {
    /// When, in virtual time.
    pub at: MonotonicTime,
    /// Index of the engine.
    pub engine: usize,
    /// Index of the caller.
    pub caller: usize,
    /// Whether the sending gateway knew by then that the engine leaves.
    pub known_leaving: Option<MonotonicTime>,
}

/// Everything that concerns callers, in order.
#[derive(Debug, Default)]
pub struct CallerHistory {
    /// Callers.
    pub callers: Vec<Caller>,
    /// Calls begun by engines.
    pub runs: Vec<RunEntry>,
    /// Calls that left gateways.
    pub dispatches: Vec<DispatchEntry>,
}

/// Text of one of the bodies.
pub fn prompt(body: u8) -> String {
    let words: Vec<String> = (0..80).map(|word| format!("w{}-{word}", body / 2)).collect();
    format!("{} ask {body}", words.join(" "))
}
