//! What a run of streams is made of, and how they went.

use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{PoolTicket, PoolWeights, PromptShape};
use std::collections::VecDeque;
use std::time::Duration;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Setup {
    pub nodes: usize,
    /// Factor by which work takes longer at each engine that reads prompts.
    pub reading_engines: Vec<f64>,
    /// The same at each engine that runs outputs.
    pub output_engines: Vec<f64>,
    /// Part of the time for which an engine's machine is busy with others' work.
    pub busy_share: f64,
    /// Mean over the run; the rate swings by half around it.
    pub requests_per_second: f64,
    pub seconds: u64,
    pub bound: Option<Duration>,
    pub first_event_within: Duration,
    pub weights: PoolWeights,
    pub seed: u64,
}

/// How the streams of a run went.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streams {
    pub ended: u32,
    pub late_by_pause: u32,
    pub late_by_first_event: u32,
    pub late_by_either: u32,
    pub nowhere: u32,
    /// Choices, in order; the same for runs that are served alike.
    pub choices: Vec<String>,
}

impl Streams {
    pub fn share_late_by_pause(&self) -> f64 {
        f64::from(self.late_by_pause) / f64::from(self.ended.max(1))
    }

    pub fn share_late(&self) -> f64 {
        f64::from(self.late_by_either) / f64::from(self.ended.max(1))
    }

    pub fn share_late_by_first_event(&self) -> f64 {
        f64::from(self.late_by_first_event) / f64::from(self.ended.max(1))
    }
}

#[derive(Clone, Debug)]
pub(super) struct Request {
    pub(super) node: usize,
    pub(super) prompt: PromptShape,
    pub(super) arrived: u64,
    pub(super) ticket: Option<PoolTicket>,
    pub(super) prefill: Option<EngineId>,
    pub(super) events_left: u32,
    pub(super) steps: u32,
    pub(super) events: u32,
    pub(super) last_event: Option<u64>,
    pub(super) first_late: bool,
    pub(super) pause_late: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Engine {
    pub(super) factor: f64,
    pub(super) busy: bool,
    pub(super) reads_only: bool,
    pub(super) working: bool,
    /// Prompts to read, with the tokens that are left.
    pub(super) prompts: VecDeque<(usize, f64)>,
    pub(super) outputs: Vec<usize>,
}
