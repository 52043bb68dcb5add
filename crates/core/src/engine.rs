//! Vocabulary shared with engines: roles, orders, status, load and cache events.

use crate::identity::{
    AdapterId, AttemptId, EngineId, FencingToken, ModelId, OrderId, RequestId, TenantId, WeightVersion,
};
use crate::outcome::RefusalReason;
use crate::service_class::ServiceClass;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Which phases of a request an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only; the KV cache then moves to a decode engine.
    Prefill,
    /// Output tokens only, from an imported KV cache.
    Decode,
    /// Both phases.
    Mixed,
}

/// One set of weights that an engine can hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// The model.
    pub model: ModelId,
    /// The model's version.
    pub version: WeightVersion,
    /// Adapters loaded on top of it.
    pub adapters: Vec<AdapterId>,
}

/// Position of an order among those to one engine under one fencing token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OrderSequence(pub u64);

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Accept nothing below this order's fencing token from now on; changes nothing else.
    RaiseFence,
    /// Refuse new work as not run; go on with what is in flight.
    Drain,
    /// Accept new work again.
    Undrain,
    /// Change role; accepted only while nothing is in flight.
    ChangeRole {
        /// The role to take.
        role: Role,
    },
    /// Load weights, in place of an older version of the same model.
    LoadWeights {
        /// The weights to load.
        weights: LoadedWeights,
    },
}

/// One fenced order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The engine it is meant for.
    pub engine: EngineId,
    /// Authority of the sender.
    pub token: FencingToken,
    /// Position under that token.
    pub sequence: OrderSequence,
    /// Identifier; an order already carried out is answered as done again.
    pub order: OrderId,
    /// What to do.
    pub action: OrderAction,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum OrderReply {
    /// Carried out, now or before.
    Done,
    /// Begun; the status tells when it is done.
    InProgress,
    /// The token or sequence is below what the engine has seen; nothing was done.
    Fenced {
        /// Highest token seen.
        highest: FencingToken,
    },
    /// Work or another change is in flight; nothing was done.
    Busy,
    /// The order can't be carried out by this engine; nothing was done.
    Rejected {
        /// What is wrong.
        reason: String,
    },
}

/// State of an engine's last order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderProgress {
    /// The order.
    pub order: OrderId,
    /// Its position.
    pub sequence: OrderSequence,
    /// Whether it has been carried out.
    pub done: bool,
}

/// Load of an engine at the moment of a report, which may be old when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run or wait.
    pub requests_in_flight: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prefill_tokens: u64,
    /// Output tokens that active and waiting requests may still need.
    pub queued_decode_tokens: u64,
    /// Sequences in the running batch.
    pub active_sequences: u32,
    /// KV cache in use, in tokens.
    pub cache_tokens_used: u64,
    /// KV cache in all, in tokens.
    pub cache_tokens_capacity: u64,
    /// Measured prefill speed, in tokens per second.
    pub prefill_tokens_per_second: u64,
    /// Measured decode speed over the whole batch, in tokens per second.
    pub decode_tokens_per_second: u64,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Raised at every start of the engine's process; an engine that restarts is empty.
    pub incarnation: u64,
    /// Highest fencing token seen since the start.
    pub fence: FencingToken,
    /// Last order seen since the start.
    pub last_order: Option<OrderProgress>,
    /// Present role.
    pub role: Role,
    /// Whether new work is refused.
    pub draining: bool,
    /// Whether a role change or load is going on; the engine serves nothing new meanwhile.
    pub changing: bool,
    /// Weights that can be served.
    pub weights: Vec<LoadedWeights>,
    /// Lagging load.
    pub load: LoadReport,
}

/// Part of a request that an engine is asked to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Prompt and output.
    Whole,
    /// Prompt only; the answer is one part with a KV handle and no text.
    PrefillOnly,
}

/// Where a decode engine fetches a KV cache that another engine computed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvTransfer {
    /// Address of the engine that holds the cache.
    pub source: SocketAddr,
    /// Handle given by that engine.
    pub handle: String,
}

/// One dispatch of a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCall {
    /// The request.
    pub request: RequestId,
    /// This dispatch.
    pub attempt: AttemptId,
    /// Model to run, or application to call.
    pub model: ModelId,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterId>,
    /// Text of the prompt; its tokens are its white-space separated words.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Class, which the engine's scheduler honours.
    pub class: ServiceClass,
    /// Salt of the tenant; prefixes are shared only under the same salt.
    pub cache_salt: String,
    /// Phase to run.
    pub phase: Phase,
    /// KV cache to import first.
    pub import: Option<KvTransfer>,
    /// Output tokens that the caller already has; the stream starts there.
    pub offset: u32,
}

/// One part of an engine's streamed answer, in order; one JSON line each on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "part", rename_all = "snake_case")]
pub enum AnswerPart {
    /// One output token.
    Token {
        /// The request it belongs to.
        request: RequestId,
        /// Position among the output tokens, from zero.
        offset: u32,
        /// Text.
        text: String,
    },
    /// End of the prefill phase.
    Prefilled {
        /// The request it belongs to.
        request: RequestId,
        /// Handle for the export of the KV cache.
        handle: String,
    },
    /// End of a whole answer.
    Finished {
        /// The request it belongs to.
        request: RequestId,
        /// Output tokens in all.
        tokens: u32,
        /// Prompt tokens found in the prefix cache.
        cached_prompt_tokens: u32,
    },
    /// The request ended early.
    Failed {
        /// The request it belongs to.
        request: RequestId,
        /// What went wrong.
        reason: String,
    },
}

/// An engine's answer to a call that it did not begin to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusal {
    /// The cause.
    pub reason: EngineRefusalReason,
    /// When to come back, in milliseconds.
    pub retry_after_millis: u64,
}

/// Why an engine did not begin to run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusalReason {
    /// Drained.
    Draining,
    /// In the middle of a change.
    Changing,
    /// The weights are not loaded.
    NotLoaded,
    /// The role does not serve this phase.
    WrongRole,
    /// The queue is full.
    QueueFull,
    /// The KV cache named for import is gone.
    TransferGone,
    /// The engine does not know the request whose answer was to be read again.
    UnknownRequest,
    /// The call is malformed.
    Malformed,
}

impl From<EngineRefusalReason> for RefusalReason {
    fn from(reason: EngineRefusalReason) -> Self {
        match reason {
            EngineRefusalReason::NotLoaded => RefusalReason::ModelUnavailable,
            EngineRefusalReason::QueueFull => RefusalReason::Overloaded,
            EngineRefusalReason::Malformed => RefusalReason::InvalidRequest,
            EngineRefusalReason::Draining
            | EngineRefusalReason::Changing
            | EngineRefusalReason::WrongRole
            | EngineRefusalReason::TransferGone
            | EngineRefusalReason::UnknownRequest => RefusalReason::EnginesRefused,
        }
    }
}

/// What an engine knows of a request it was once given; the answer to "did it run?".
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RunState {
    /// Never begun since the engine's start (see [`EngineStatus::incarnation`]).
    NeverSeen {
        /// The start of the engine that gives this answer.
        incarnation: u64,
    },
    /// Running.
    Running {
        /// Output tokens so far.
        tokens: u32,
    },
    /// Finished; the answer can be read again from any offset.
    Finished {
        /// Output tokens in all.
        tokens: u32,
    },
    /// Ended without a whole answer.
    Failed,
}

/// One change to an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEvent {
    /// Position in the engine's event stream since its start; a missing number is a gap.
    pub sequence: u64,
    /// The change.
    pub change: KvChange,
}

/// Kind of change to a prefix cache. Block hashes are [`crate::routing::prefix`]'s, salted with the tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum KvChange {
    /// Blocks now held.
    Stored {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Blocks no longer held.
    Removed {
        /// Hashes of the blocks.
        blocks: Vec<u64>,
    },
    /// Nothing is held any more.
    Cleared,
}

/// One record of what an engine ran, kept by the stand-in for an oracle to read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The request.
    pub request: RequestId,
    /// The dispatch.
    pub attempt: AttemptId,
    /// Tenant, when the engine was told.
    pub tenant: Option<TenantId>,
}
