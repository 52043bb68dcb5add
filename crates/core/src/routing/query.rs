//! Queries to the router and its decisions.

use crate::bundle::content::ModelKind;
use crate::identity::{AdapterId, EngineId, ModelId, ZoneId};
use crate::outcome::RefusalReason;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// A request for which the router chooses engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteQuery {
    /// Model to run, or application to call.
    pub model: ModelId,
    /// Adapter applied to the model, if any.
    pub adapter: Option<AdapterId>,
    /// Whether a model engine or an application engine serves the model.
    pub kind: ModelKind,
    /// Salted hashes of the prompt's blocks; each covers all preceding blocks as well.
    pub prompt_blocks: Vec<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Expected number of output tokens, estimated from similar requests.
    pub expected_output_tokens: u32,
    /// Service class, which decides the priority in engine queues.
    pub class: ServiceClass,
    /// Zones that may process the request; engines in other zones are never chosen.
    pub allowed_zones: Vec<ZoneId>,
    /// Zone of the gateway that sends the query.
    pub home_zone: ZoneId,
    /// Engines that have already failed or refused the request.
    pub excluded: Vec<EngineId>,
}

impl RouteQuery {
    /// Query for the prefill part of a split request, to record the dispatch to the prefill engine.
    pub fn prefill_query(&self) -> Self {
        Self {
            expected_output_tokens: 0,
            ..self.clone()
        }
    }

    /// Query for the decode part of a split request, to record the dispatch to the decode engine when the KV cache is
    /// transferred.
    pub fn decode_query(&self) -> Self {
        Self {
            prompt_tokens: 0,
            prompt_blocks: Vec::new(),
            ..self.clone()
        }
    }
}

/// A chosen engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Identifier of the engine.
    pub engine: EngineId,
    /// Address at which the engine accepts requests.
    pub address: SocketAddr,
}

/// Engines that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// One engine runs both prefill and decode.
    Whole {
        /// Identifier of the engine.
        engine: EngineId,
        /// Address at which the engine accepts requests.
        address: SocketAddr,
    },
    /// One engine runs prefill; another one receives its KV cache and runs decode.
    Split {
        /// Engine that runs prefill.
        prefill: RouteTarget,
        /// Engine that runs decode.
        decode: RouteTarget,
    },
    /// No engine can accept the request now.
    Nowhere(RefusalReason),
}

/// Identifies one dispatch in later reports about its progress. A split route has one ticket per engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchTicket {
    /// Sequence number among the dispatches of this router.
    pub(crate) number: u64,
    /// Time at which the request was sent.
    pub sent_at: MonotonicTime,
    /// Time to first token that was expected at dispatch.
    pub expected_first_token: Duration,
    /// Prompt tokens that were expected to be cached; prefill engines do not report how many were.
    pub expected_cached_tokens: u32,
}

/// Measurements of a completed dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedWork {
    /// Number of output tokens received.
    pub output_tokens: u32,
    /// Time from dispatch to the first part of the output; `None` if the output was empty.
    pub first_token: Option<Duration>,
    /// Time from dispatch to the end of the response.
    pub total: Duration,
}

/// Expected delays of a request that is sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteEstimate {
    /// Time to first token.
    pub first_token: Duration,
    /// Time to last token.
    pub total: Duration,
}
