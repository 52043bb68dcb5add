//! What a node asks a placer, and what it tells it afterwards.

use crate::engine::EngineRefusalReason;
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::pool::{Admission, PromptShape, ReportedLoad, RequestConstraints, RequestTiming};
use crate::sharing::Standing;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Names one request at a placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// The node that asks.
    pub node: SubjectHandle,
    /// Number that the node has drawn for the request.
    pub number: u64,
}

/// A request as a placer has to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestSummary {
    /// Pool that serves it.
    pub pool: PoolId,
    /// Its prompt.
    pub prompt: PromptShape,
    /// Zone of the node that asks.
    pub zone: ZoneId,
    /// What it is owed.
    pub constraints: RequestConstraints,
    /// Rank among requests, from [`crate::routing::pool::rank_for_priority`] or [`crate::routing::pool::LATE_RANK`].
    pub rank: u8,
    /// Time left.
    pub remaining: Duration,
}

/// What a node wants of a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementKind {
    /// Whether the request is taken, and its engines.
    Admission(RequestTiming),
    /// Engines anew, without those that failed it.
    Retry {
        /// Engines that failed the request.
        excluded: Vec<SubjectHandle>,
    },
    /// The engine that runs the output of the prompt, which has been read.
    Decode {
        /// The engine that has read the prompt.
        source: SubjectHandle,
        /// Load that it told when it had read the prompt.
        reported_load: Option<ReportedLoad>,
        /// Engines that failed the request.
        excluded: Vec<SubjectHandle>,
    },
}

/// A question about one request; the same one may arrive twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementQuery {
    /// The request.
    pub key: RequestKey,
    /// Number of the question among those about the request.
    pub step: u32,
    /// The request itself, since any placer may be asked at any time.
    pub request: RequestSummary,
    /// What is wanted.
    pub kind: PlacementKind,
}

/// An engine that a placer chose, and what spoke for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChosenEngine {
    /// The engine.
    pub engine: SubjectHandle,
    /// From where it fetches what it does not hold of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Prompt tokens that are read there first.
    pub prompt_tokens_ahead: u64,
    /// Requests that are there.
    pub requests: u32,
    /// Prompt tokens that it holds.
    pub held_tokens: u32,
    /// Age of the oldest word of another placer that counted.
    pub oldest_report_age: Duration,
    /// How much longer work takes there now, in hundredths of what is usual in its pool.
    pub work_factor_percent: u16,
    /// Age of the momentary figure in that; absent where none counts.
    pub reported_pace_age: Option<Duration>,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Placement {
    /// One engine serves what is left of it.
    One(ChosenEngine),
    /// One engine reads the prompt; who runs the output is asked when it was read.
    Split {
        /// Reads the prompt.
        prefill: ChosenEngine,
        /// Would run the output if it were chosen now.
        decode: SubjectHandle,
        /// Time until the prompt should have been read.
        expected: Duration,
    },
    /// No engine can take it now.
    Nowhere,
}

/// How a request was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionVerdict {
    /// What is done with it.
    pub admission: Admission,
    /// Expected time until the first event; zero where nothing is known of it.
    pub expected: Duration,
    /// Factor by which expectations are exceeded.
    pub error: f32,
    /// Share of the requests that were turned away of late.
    pub turned_away: f32,
    /// How its tenant and its kind stand.
    pub standing: Standing,
}

/// A placer's answer to the question with the same key and step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The request.
    pub key: RequestKey,
    /// The question.
    pub step: u32,
    /// Present where admission was wanted.
    pub verdict: Option<AdmissionVerdict>,
    /// Where the request goes.
    pub placement: Placement,
}

/// What became of a dispatch that a placer has counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatchProgress {
    /// The first event has come.
    Started {
        /// Load that the engine told.
        reported_load: Option<ReportedLoad>,
    },
    /// It has ended well.
    Answered {
        /// Some of the pauses between events, in hundredths of the longest harmless one.
        pauses: Vec<u16>,
    },
    /// The engine refused it before running it.
    Refused {
        /// Why.
        reason: EngineRefusalReason,
        /// Load that the engine told.
        reported_load: Option<ReportedLoad>,
    },
    /// The connection broke or was refused.
    ConnectionFailed,
    /// An output paused for longer than is harmless; it goes on.
    Paused {
        /// The pause, in hundredths of the longest harmless one.
        hundredths: u16,
    },
    /// It ended for a cause that is not the engine's, or nobody waits for the placer's answer any more.
    Abandoned,
    /// The engine said nothing for too long, or no connection could be made in time.
    Unresponsive,
}

/// Tells a placer what became of what it answered to a question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProgressReport {
    /// The request.
    pub key: RequestKey,
    /// The question whose answer it is about.
    pub step: u32,
    /// What became of it.
    pub progress: DispatchProgress,
}
