//! What an engine remembers of what reached it.

use super::engine_crashes::CrashCause;
use std::time::{Duration, Instant};

/// One order that an engine took.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderRecord {
    /// Authority under which it was given.
    pub token: u64,
    /// Who gave it.
    pub holder: String,
}

/// A time for which an engine named a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitRecord {
    /// The start of the engine.
    pub engine: String,
    /// Requests a second.
    pub requests_per_second: f64,
    /// When it began to name it.
    pub from: Instant,
    /// When it ended, if it has.
    pub until: Option<Instant>,
}

/// When one start of an engine began to say in its answers that it drains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DrainRecord {
    /// The start of the engine.
    pub engine: String,
    /// When it began.
    pub from: Instant,
}

/// One refusal that asked for a time without requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackoffRecord {
    /// The start of the engine.
    pub engine: String,
    /// The request that was refused.
    pub request: String,
    /// When it was refused.
    pub at: Instant,
    /// The time that was asked for.
    pub backoff: Duration,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The request.
    pub request: String,
    /// Event behind which it went on.
    pub after_event: u64,
    /// Where its KV cache was fetched; absent where the engine read the prompt itself.
    pub source: Option<String>,
    /// The engine from which held parts were to be fetched.
    pub fetched_from: Option<String>,
    /// The tenant that the system named.
    pub tenant: Option<String>,
    /// The caller's API key, which no engine may see.
    pub key: Option<String>,
    /// Rank among the engine's requests.
    pub urgency: Option<u8>,
    /// Whether the engine crashed over it.
    pub crashed: bool,
    /// Software version of the engine.
    pub software_version: String,
    /// The request whose stream the caller takes up.
    pub resumes: Option<String>,
}

/// A request as it reached an engine, whatever became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalRecord {
    /// The request.
    pub request: String,
    /// Whether only its prompt was to be read.
    pub reads_prompt: bool,
    /// Whether the engine turned it away.
    pub refused: bool,
    /// What of it crashes engines.
    pub crashing: Option<CrashCause>,
    /// The start of the engine.
    pub engine: String,
    /// When it came.
    pub at: Instant,
}
