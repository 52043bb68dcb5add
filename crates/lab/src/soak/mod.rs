//! A longer run of load on a deployment that is disturbed all the while, judged by what engines ran.
//!
//! The first phase makes planned changes only: gateways and controllers restart one after another and bundles are
//! rolled out. Nothing may be cut off by them. The second phase lets engines crash and the platform fail; then
//! answers may fail or be unknown, but none is lost, runs twice, or runs after it was refused.

mod account;
mod disturbance;
mod mixes;
mod phase;
mod settle;

pub use account::PhaseAccount;
pub use phase::{PhaseKind, SoakError};

use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, ZoneSize};
use crate::cluster::readiness::wait_until_ready;
use crate::cluster::running::Cluster;
use serde::Serialize;
use std::time::Duration;

/// Longest wait until the deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// How long and how hard to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoakConfig {
    /// Length of each phase.
    pub phase: Duration,
    /// Mean rate of calls.
    pub requests_per_second: f64,
    /// Seed of arrivals, lengths and disturbances.
    pub seed: u64,
}

/// Figures of a whole run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SoakReport {
    /// One account per phase.
    pub phases: Vec<PhaseAccount>,
}

impl SoakReport {
    /// Whether everything that must be zero is.
    pub fn holds(&self) -> bool {
        self.phases.iter().all(PhaseAccount::holds)
    }
}

/// Starts a deployment, runs both phases on it and stops it.
pub fn run(config: &SoakConfig, deployment: Deployment) -> Result<SoakReport, SoakError> {
    let layout = ClusterLayout::new(deployment, ZoneSize::TODAY).map_err(SoakError::Addresses)?;
    let mut cluster = Cluster::start(layout).map_err(SoakError::Cluster)?;
    let mut phases = Vec::new();
    for kind in [PhaseKind::PlannedChanges, PhaseKind::Failures] {
        wait_until_ready(cluster.layout(), READY_LIMIT).map_err(SoakError::NotReady)?;
        phases.push(phase::run(config, kind, &mut cluster)?);
    }
    cluster.stop();
    Ok(SoakReport { phases })
}
