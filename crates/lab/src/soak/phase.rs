//! One phase: load in one thread, disturbances in another, then the account.

use super::account::PhaseAccount;
use super::disturbance::{self, DisturbanceCounts};
use super::{SoakConfig, mixes, settle};
use crate::cluster::engine_log::{LogError, read_log};
use crate::cluster::layout::ClusterLayout;
use crate::cluster::readiness::NotReady;
use crate::cluster::running::{Cluster, ClusterError};
use crate::engine::EngineLog;
use crate::load::observation::Observation;
use crate::load::schedule::{self, ScheduleError};
use crate::load::{self, Progress};
use crate::platform::faults::PlatformFaults;
use serde::Serialize;
use std::fmt;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// What happens to the deployment during a phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PhaseKind {
    /// Rolling restarts and rollouts.
    PlannedChanges,
    /// Engine crashes and platform faults besides.
    Failures,
}

/// Why a soak could not be carried out.
#[derive(Debug)]
pub enum SoakError {
    /// No addresses.
    Addresses(io::Error),
    /// A part did not start, or not again.
    Cluster(ClusterError),
    /// The deployment does not serve.
    NotReady(NotReady),
    /// The load has no schedule.
    Schedule(ScheduleError),
    /// An engine's log, the oracle, can't be read.
    Log(LogError),
    /// The load ended by a panic.
    LoadEnded,
}

impl fmt::Display for SoakError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Addresses(error) => write!(formatter, "no loopback addresses: {error}"),
            Self::Cluster(error) => write!(formatter, "{error}"),
            Self::NotReady(error) => write!(formatter, "not ready: {error:?}"),
            Self::Schedule(error) => write!(formatter, "no schedule: {error:?}"),
            Self::Log(error) => write!(formatter, "engine log: {error}"),
            Self::LoadEnded => write!(formatter, "the load ended early"),
        }
    }
}

/// Runs one phase and accounts for every call.
pub(super) fn run(
    config: &SoakConfig,
    kind: PhaseKind,
    cluster: &mut Cluster,
) -> Result<PhaseAccount, SoakError> {
    let layout = cluster.layout().clone();
    let plan = mixes::load_plan(config, kind, &layout);
    let calls = schedule::generate(&plan).map_err(SoakError::Schedule)?;
    let before = read_logs(&layout)?;
    let ended = AtomicBool::new(false);
    let mut observations: Vec<Observation> = Vec::new();
    let disturbed = thread::scope(|scope| {
        let load = scope.spawn(|| {
            let observe = |observation: &Observation| observations.push(observation.clone());
            let summary = load::run(&plan, observe, print_progress);
            ended.store(true, Ordering::SeqCst);
            summary
        });
        let disturbed = disturbance::run(config, kind, cluster, &ended);
        let loaded = load.join().map_err(|_| SoakError::LoadEnded)?;
        loaded.map_err(SoakError::Schedule)?;
        disturbed
    });
    cluster.platform().set_faults(PlatformFaults::default());
    let disturbed: DisturbanceCounts = disturbed?;
    let settled = settle::settle(&plan, &calls, &observations);
    let after = read_logs(&layout)?;
    let mut account = PhaseAccount::new(kind, disturbed);
    account.add_all(&layout, &plan, &calls, &observations, &settled);
    account.add_runs(&layout, &before, &after, &plan, &observations, &settled);
    Ok(account)
}

fn read_logs(layout: &ClusterLayout) -> Result<Vec<EngineLog>, SoakError> {
    let logs = layout.engines.iter().map(|engine| read_log(engine.address));
    logs.collect::<Result<_, _>>().map_err(SoakError::Log)
}

fn print_progress(progress: Progress) {
    eprintln!(
        "elapsed={:.0} planned={} ended={} completed={}",
        progress.elapsed.as_secs_f64(),
        progress.planned,
        progress.ended,
        progress.completed
    );
}
