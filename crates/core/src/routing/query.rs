//! What the router is asked and what it answers.

use crate::bundle::content::ModelKind;
use crate::identity::{AdapterId, EngineId, ModelId, ZoneId};
use crate::outcome::RefusalReason;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// One request that needs an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// Model to run, or application to call.
    pub model: ModelId,
    /// Adapter on top of the model.
    pub adapter: Option<AdapterId>,
    /// Kind of back end that serves the model.
    pub kind: ModelKind,
    /// Salted hashes of the prompt's blocks, each covering everything before it.
    pub prompt_blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that similar requests needed.
    pub expected_output_tokens: u32,
    /// Class of the request.
    pub class: ServiceClass,
    /// Zones that may see the request; no engine elsewhere is ever chosen.
    pub allowed_zones: Vec<ZoneId>,
    /// Zone of the gateway that asks.
    pub home_zone: ZoneId,
    /// Engines that this request has tried already.
    pub excluded: Vec<EngineId>,
}

impl RouteQuery {
    /// The part of a split request that its prefill engine runs; note that engine's dispatch with it.
    pub fn prefill_query(&self) -> Self {
        Self {
            expected_output_tokens: 0,
            ..self.clone()
        }
    }

    /// The part of a split request that its decode engine runs; note that engine's dispatch with it, when the KV
    /// cache is handed over.
    pub fn decode_query(&self) -> Self {
        Self {
            prompt_tokens: 0,
            prompt_blocks: Vec::new(),
            ..self.clone()
        }
    }
}

/// One engine that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The engine.
    pub engine: EngineId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// One engine runs prompt and output.
    Whole {
        /// The engine.
        engine: EngineId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// One engine runs the prompt; another imports its KV cache and runs the output.
    Split {
        /// Engine for the prompt.
        prefill: RouteTarget,
        /// Engine for the output.
        decode: RouteTarget,
    },
    /// No engine can take the request now.
    Nowhere(RefusalReason),
}

/// Receipt of one dispatch, to be handed back when the request moves on; for a split route one per engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchTicket {
    /// Position among the dispatches of this router.
    pub(crate) number: u64,
    /// When the request was sent.
    pub sent_at: MonotonicTime,
    /// Time to the first token that was expected at dispatch.
    pub expected_first_token: Duration,
    /// Prompt tokens that the engine was believed to hold; prefill engines do not tell how many they found.
    pub expected_cached_tokens: u32,
}

/// What one dispatch came to, as its gateway saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedWork {
    /// Output tokens received.
    pub output_tokens: u32,
    /// Time from dispatch to the first part, where one came.
    pub first_token: Option<Duration>,
    /// Time from dispatch to the end.
    pub total: Duration,
}

/// Delays that a request would meet if it were sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEstimate {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the last token.
    pub total: Duration,
}
