//! What became of a request; one vocabulary from the engine to the caller.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Final outcome of a request as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed,
    /// No engine ran any part of the request.
    NotRun(Refusal),
    /// An engine began to run the request and it ended without a whole answer.
    Failed(Failure),
    /// Nobody can tell whether the request ran.
    Unknown(Failure),
}

/// Why a request was refused before it ran, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The cause.
    pub reason: RefusalReason,
    /// When coming back makes sense; absent where it never helps.
    pub retry_after: Option<Duration>,
}

/// Cause of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The body or a header is malformed.
    InvalidRequest,
    /// No tenant has this bearer token.
    Unauthenticated,
    /// The tenant may not use this model or adapter, or it does not exist.
    ModelUnavailable,
    /// The bundle asks for an idempotency key and none was given.
    KeyRequired,
    /// The same key came before with another body.
    KeyConflict,
    /// No engine in the zones the rules allow can serve the request.
    NoEngineInPlace,
    /// The tenant is over one of its limits.
    OverLimit,
    /// The queues are full.
    Overloaded,
    /// The deadline can't be met or has passed.
    DeadlineUnreachable,
    /// The claim could not be committed.
    LedgerUnavailable,
    /// The node cannot know whether its bundle is current.
    Isolated,
    /// The node is stopping.
    Stopping,
    /// Every engine that was asked refused before running.
    EnginesRefused,
    /// Too many engines crashed while the same request was under way there.
    Quarantined,
    /// The caller cancelled before any engine was asked.
    Cancelled,
}

/// Why a request that may have run has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Failure {
    /// The connection to the engine broke after the request was handed over.
    ConnectionLost,
    /// The engine reported an error while running.
    EngineError,
    /// The engine's answer broke its own order, identity or offsets.
    InvalidStream,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// The caller cancelled.
    Cancelled,
    /// The claim could not be read or written, so this call sent nothing; an earlier one with its key may have run.
    LedgerUnavailable,
    /// The claim could not be settled.
    ClaimUnsettled,
    /// The request ran to its end before; its answer is no longer held.
    AnswerExpired,
    /// The node stopped while the request was under way.
    NodeStopped,
}
