//! What is done to the deployment while it is under load.

use super::SoakConfig;
use super::phase::{PhaseKind, SoakError};
use crate::cluster::publish::publish;
use crate::cluster::running::Cluster;
use crate::engine::EngineServerFaults;
use crate::platform::faults::{LostAnswers, Outage, PlatformFaults, ServiceFaults};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Pause between two disturbances.
const PAUSE: Duration = Duration::from_millis(400);

/// How long a fault of the platform lasts.
const PLATFORM_FAULT: Duration = Duration::from_secs(2);

/// Delay of a slow platform, in milliseconds.
const SLOW_MILLIS: u64 = 800;

/// One in so many answers is lost by a platform that loses answers.
const LOSS_PERIOD: u32 = 3;

/// How often each disturbance was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DisturbanceCounts {
    /// Gateways stopped as planned and started again.
    pub gateway_restarts: u64,
    /// Controllers stopped as planned and started again.
    pub controller_restarts: u64,
    /// Bundles rolled out.
    pub bundles: u64,
    /// Rollouts that the platform refused or left open.
    pub bundles_refused: u64,
    /// Engines crashed and started empty.
    pub engine_crashes: u64,
    /// Platform faults: outages, silence, slowness, lost answers.
    pub platform_faults: u64,
}

/// Disturbs the deployment until the load has ended.
pub(super) fn run(
    config: &SoakConfig,
    kind: PhaseKind,
    cluster: &mut Cluster,
    ended: &AtomicBool,
) -> Result<DisturbanceCounts, SoakError> {
    let mut random = ChaCha8Rng::seed_from_u64(config.seed ^ kind as u64);
    let mut counts = DisturbanceCounts::default();
    let nodes = cluster.layout().nodes.len();
    for round in 0.. {
        if ended.load(Ordering::SeqCst) {
            break;
        }
        let node = round % nodes;
        cluster.restart_gateway(node).map_err(SoakError::Cluster)?;
        counts.gateway_restarts += 1;
        thread::sleep(PAUSE);
        cluster.restart_controller(node).map_err(SoakError::Cluster)?;
        counts.controller_restarts += 1;
        thread::sleep(PAUSE);
        match kind {
            PhaseKind::PlannedChanges => roll_out(cluster, round, &mut counts),
            PhaseKind::Failures => fail(cluster, round, &mut random, &mut counts),
        }
        thread::sleep(PAUSE);
    }
    Ok(counts)
}

fn roll_out(cluster: &Cluster, round: usize, counts: &mut DisturbanceCounts) {
    let deployment = &cluster.layout().deployment;
    let mut bundle = deployment.bundle.clone();
    bundle.label = format!("soak {round}");
    let operators = deployment.operators();
    let operator = &operators[round % operators.len()];
    match publish(&cluster.platform_client(), &bundle, operator) {
        Ok(_) => counts.bundles += 1,
        Err(_) => counts.bundles_refused += 1,
    }
}

fn fail(cluster: &Cluster, round: usize, random: &mut ChaCha8Rng, counts: &mut DisturbanceCounts) {
    let engines = &cluster.layout().engines;
    let engine = &engines[random.random_range(0..engines.len())];
    if crash(engine.address) {
        counts.engine_crashes += 1;
    }
    cluster.platform().set_faults(platform_fault(round));
    counts.platform_faults += 1;
    thread::sleep(PLATFORM_FAULT);
    cluster.platform().set_faults(PlatformFaults::default());
}

/// Each kind of platform fault in turn.
fn platform_fault(round: usize) -> PlatformFaults {
    let service = match round % 4 {
        0 => ServiceFaults {
            outage: Outage::Refusing,
            ..ServiceFaults::default()
        },
        1 => ServiceFaults {
            lost_answers: LostAnswers::OneIn(LOSS_PERIOD),
            ..ServiceFaults::default()
        },
        2 => ServiceFaults {
            delay_millis: SLOW_MILLIS,
            ..ServiceFaults::default()
        },
        _ => ServiceFaults {
            outage: Outage::Silent,
            ..ServiceFaults::default()
        },
    };
    PlatformFaults::everywhere(service)
}

/// Ends an engine's process and starts the next, empty; false when it could not be told.
fn crash(engine: SocketAddr) -> bool {
    let faults = EngineServerFaults {
        crash_now: true,
        ..EngineServerFaults::default()
    };
    let Ok(body) = serde_json::to_vec(&faults) else {
        return false;
    };
    ureq::post(format!("http://{engine}/faults"))
        .send(&body[..])
        .is_ok()
}
