//! Parameters, results and state of the stream simulation.

use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{PoolTicket, PoolWeights, PromptShape};
use std::collections::VecDeque;
use std::time::Duration;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub nodes: usize,
    /// Slowdown factor of each prefill engine.
    pub prefill_engine_factors: Vec<f64>,
    /// Slowdown factor of each decode engine.
    pub decode_engine_factors: Vec<f64>,
    /// Fraction of time in which the machine of an engine is busy with other work.
    pub busy_share: f64,
    /// Mean request rate; the actual rate oscillates by half around it.
    pub requests_per_second: f64,
    pub seconds: u64,
    pub bound: Option<Duration>,
    pub first_event_target: Duration,
    pub weights: PoolWeights,
    pub seed: u64,
}

/// Results of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StreamStats {
    pub completed: u32,
    pub late_by_pause: u32,
    pub late_by_first_event: u32,
    pub late_by_either: u32,
    pub not_placed: u32,
    /// Chosen engines in order, to compare the routing of two runs.
    pub choices: Vec<String>,
}

impl StreamStats {
    pub fn share_late_by_pause(&self) -> f64 {
        f64::from(self.late_by_pause) / f64::from(self.completed.max(1))
    }

    pub fn share_late(&self) -> f64 {
        f64::from(self.late_by_either) / f64::from(self.completed.max(1))
    }

    pub fn share_late_by_first_event(&self) -> f64 {
        f64::from(self.late_by_first_event) / f64::from(self.completed.max(1))
    }
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) node: usize,
    pub(super) prompt: PromptShape,
    pub(super) arrived: u64,
    pub(super) ticket: Option<PoolTicket>,
    pub(super) prefill_engine: Option<EngineId>,
    pub(super) remaining_events: u32,
    pub(super) steps: u32,
    pub(super) events: u32,
    pub(super) last_event: Option<u64>,
    pub(super) is_first_event_late: bool,
    pub(super) is_pause_late: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) factor: f64,
    pub(super) is_machine_busy: bool,
    pub(super) is_prefill_only: bool,
    pub(super) is_working: bool,
    /// Queued prompts, with their remaining prefill tokens.
    pub(super) prompts: VecDeque<(usize, f64)>,
    pub(super) outputs: Vec<usize>,
}
