//! How well the engine model foretells the stand-in engine that runs as a process.
//!
//! The same open-loop arrivals go to the model, in model time, and to the process over HTTP. What differs is what the
//! simulator leaves out: connections, JSON, threads and the machine they share.

mod observe;
mod predict;
mod report;
mod workload;

pub use observe::ObservedEngines;
pub use report::{CalibrationReport, Comparison, Percentiles};

use crate::engine::EngineConfig;
use std::time::Duration;

/// What to run.
#[derive(Clone, Debug)]
pub struct Calibration {
    /// The processes.
    pub engines: ObservedEngines,
    /// The settings that the processes were started with, but for their names and roles.
    pub config: EngineConfig,
    /// Calls in each run.
    pub calls: usize,
    /// Calls per second, one run each.
    pub rates: Vec<f64>,
    /// Decides arrivals and prompts.
    pub seed: u64,
}

/// Times of one call, from its planned arrival on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTimes {
    /// To the first token.
    pub first_token: Duration,
    /// Mean between two tokens; zero with one token.
    pub between_tokens: Duration,
}

/// Runs every rate, one after the other.
pub fn run(calibration: &Calibration) -> CalibrationReport {
    let mut report = CalibrationReport::default();
    for (index, rate) in calibration.rates.iter().enumerate() {
        let seed = calibration.seed + index as u64;
        let calls = workload::draw(&calibration.config, calibration.calls, *rate, seed);
        let split = calibration.engines.decode.is_some();
        let predicted = predict::run(&calibration.config, split, &calls);
        let observed = observe::run(calibration.engines, &calls);
        report.add(*rate, &predicted, &observed);
    }
    report
}
