//! Messages between nodes and placers: placement queries, their answers and progress reports.

use crate::engine::EngineRefusalReason;
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::{Admission, PromptShape, ReportedLoad, RequestConstraints, RequestTiming};
use crate::sharing::Standing;
use crate::streams::StreamOrigin;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Identifies a request at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// Node that sends the query.
    pub node: SubjectHandle,
    /// Random number that the node has assigned to the request.
    pub number: u64,
}

/// Properties of a request that a placer needs to choose engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSummary {
    /// Pool that serves the request.
    pub pool: PoolId,
    /// Model, prefixes and token counts of the prompt.
    pub prompt: PromptShape,
    /// Zone of the node that sends the query.
    pub zone: ZoneId,
    /// Limits and priority that apply to the request.
    pub constraints: RequestConstraints,
    /// Priority rank, from [`crate::routing::pool::rank_for_priority`] or [`crate::routing::pool::LATE_RANK`].
    pub rank: u8,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Where the stream began that the request continues. Earlier builds do not know the field, so a query with it is sent in another
    /// format.
    #[serde(skip)]
    pub origin: Option<StreamOrigin>,
}

/// Kind of decision that a node requests from a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementKind {
    /// Admission, and engines if the request is admitted.
    Admission(RequestTiming),
    /// Other engines after a failure.
    Retry {
        /// Engines that have already failed the request.
        excluded: Vec<SubjectHandle>,
    },
    /// Engine that runs decode, after prefill has finished.
    Decode {
        /// Engine that ran prefill.
        source: SubjectHandle,
        /// Load that this engine reported at the end of prefill.
        reported_load: Option<ReportedLoad>,
        /// Engines that have already failed the request.
        excluded: Vec<SubjectHandle>,
    },
}

/// A query about one request; it may arrive more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementQuery {
    /// Identifies the request.
    pub key: RequestKey,
    /// Sequence number of the query among those for the request.
    pub step: u32,
    /// Properties of the request. Every query includes them, because successive queries may go to different placers.
    pub request: RequestSummary,
    /// Requested decision.
    pub kind: PlacementKind,
}

/// An engine that a placer chose, with the state that the choice was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChosenEngine {
    /// Handle of the engine; a restarted engine has a new handle.
    pub engine: SubjectHandle,
    /// Address of the engine from which it fetches missing prefix blocks; `None` if it fetches none.
    pub fetch_from: Option<SocketAddr>,
    /// Queued prompt tokens that are prefilled before this request.
    pub prompt_tokens_ahead: u64,
    /// Number of requests running or waiting at the engine.
    pub requests: u32,
    /// Tokens of the prompt that are in the engine's prefix cache.
    pub held_tokens: u32,
    /// Age of the oldest report of another placer that the estimate includes.
    pub oldest_report_age: Duration,
    /// Current time for a unit of work, in percent of the usual time in the engine's pool.
    pub work_factor_percent: u16,
    /// Age of the momentary pace report included in `work_factor_percent`; `None` if there is none.
    pub reported_pace_age: Option<Duration>,
}

/// Engines that a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// One engine runs the rest of the request.
    One(ChosenEngine),
    /// One engine runs prefill; a further query after prefill decides which one runs decode.
    Split {
        /// Engine that runs prefill.
        prefill: ChosenEngine,
        /// Engine that would run decode if it were chosen now.
        decode: SubjectHandle,
        /// Expected time until the end of prefill.
        expected: Duration,
    },
    /// No engine can accept the request now.
    Nowhere,
}

/// Result of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionVerdict {
    /// Whether the request is admitted, and whether it is expected to be late.
    pub admission: Admission,
    /// Expected time to the first event; zero if there is no estimate.
    pub expected: Duration,
    /// Ratio of actual to expected time to the first event of recent requests.
    pub error: f32,
    /// Fraction of recent requests that were late or refused.
    pub late_or_refused_share: f32,
    /// Budget use of the request's tenant and kind.
    pub standing: Standing,
}

/// A placer's answer to the query with the same key and step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// Identifies the request.
    pub key: RequestKey,
    /// Sequence number of the query.
    pub step: u32,
    /// Result of admission; `None` if the query did not request it.
    pub verdict: Option<AdmissionVerdict>,
    /// Engines that the request is sent to.
    pub placement: Placement,
}

/// Progress of a dispatch that a placer has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchProgress {
    /// The first event has arrived.
    Started {
        /// Load that the engine reported in its response.
        reported_load: Option<ReportedLoad>,
    },
    /// The response ended successfully.
    Answered {
        /// Sample of the pauses between events, in percent of the maximum event gap.
        pauses: Vec<u16>,
    },
    /// The engine refused the dispatch before running it.
    Refused {
        /// Reason given by the engine.
        reason: EngineRefusalReason,
        /// Load that the engine reported in its response.
        reported_load: Option<ReportedLoad>,
    },
    /// The connection broke or was refused.
    ConnectionFailed,
    /// An output paused for longer than the maximum event gap and continues.
    Paused {
        /// Length of the pause, in percent of the maximum event gap.
        hundredths: u16,
    },
    /// The dispatch ended for a reason unrelated to the engine, or the placer's answer is no longer needed.
    Abandoned,
    /// The engine did not respond in time, or no connection could be established in time.
    Unresponsive,
}

/// Reports the progress of a dispatch to the placer that chose it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReport {
    /// Identifies the request.
    pub key: RequestKey,
    /// Sequence number of the query that the placer answered with this dispatch.
    pub step: u32,
    /// Progress of the dispatch.
    pub progress: DispatchProgress,
}
