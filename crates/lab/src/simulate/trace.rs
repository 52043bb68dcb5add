//! One run's requests and disturbances, fixed before the run starts.

use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::sync::Arc;
use std::time::Duration;

/// One request of the trace.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// When it reaches its gateway.
    pub at: MonotonicTime,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of the zone whose gateway it reaches.
    pub home_zone: usize,
    /// Class.
    pub class: ServiceClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's blocks, shared between requests on the same history or transcript.
    pub prompt_blocks: Arc<[u64]>,
    /// Output tokens that it needs, which nobody knows before it has finished.
    pub output_tokens: u32,
}

/// One disturbance.
#[derive(Clone, Debug, PartialEq)]
pub struct Disturbance {
    /// When it happens.
    pub at: MonotonicTime,
    /// What happens.
    pub kind: DisturbanceKind,
}

/// Kind of a disturbance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisturbanceKind {
    /// An engine's process ends and starts again, empty, after the given time.
    EngineCrash {
        /// Index of the engine.
        engine: usize,
        /// Time until it answers again.
        back_after: Duration,
    },
    /// The next engine that changes its role ends in the middle of the change.
    CrashInNextChange,
    /// A zone's engines and gateway are gone for the given time.
    ZoneLost {
        /// Index of the zone.
        zone: usize,
        /// Time until it is back.
        back_after: Duration,
    },
    /// An engine's steps take this many times as long from now on.
    EngineSlow {
        /// Index of the engine.
        engine: usize,
        /// The factor; one is the normal speed.
        factor: f64,
    },
    /// An engine reports queues this many times the true ones from now on.
    EngineLies {
        /// Index of the engine.
        engine: usize,
        /// The factor; one is the truth.
        factor: f64,
    },
}

/// Everything a run meets.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Requests in order of time.
    pub requests: Vec<TraceRequest>,
    /// Disturbances in order of time.
    pub disturbances: Vec<Disturbance>,
    /// When arrivals end.
    pub end: MonotonicTime,
}
