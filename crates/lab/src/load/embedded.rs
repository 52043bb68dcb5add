//! Load on a deployment that runs as threads of this process: each call once through a gateway, once directly.

use super::config::LoadConfig;
use super::plan::{LoadPlan, Mix};
use super::schedule::ScheduleError;
use super::summary::LoadSummary;
use super::{Progress, run};
use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, ZoneSize};
use crate::cluster::readiness::{NotReady, wait_until_ready};
use crate::cluster::running::{Cluster, ClusterError};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::identity::TenantId;
use std::fmt;
use std::io;
use std::time::Duration;

/// Longest wait until the deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Why no load could be run.
#[derive(Debug)]
pub enum EmbeddedError {
    /// No addresses.
    Addresses(io::Error),
    /// A part did not start.
    Start(ClusterError),
    /// The deployment does not serve.
    NotReady(NotReady),
    /// The load has no schedule.
    Schedule(ScheduleError),
}

impl fmt::Display for EmbeddedError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Addresses(error) => write!(formatter, "no loopback addresses: {error}"),
            Self::Start(error) => write!(formatter, "{error}"),
            Self::NotReady(error) => write!(formatter, "not ready: {error:?}"),
            Self::Schedule(error) => write!(formatter, "no schedule: {error:?}"),
        }
    }
}

/// Starts a deployment, sends its model the calls of one mix, every second one without a gateway, and stops it.
pub fn run_embedded(
    deployment: Deployment,
    config: &LoadConfig,
    report: impl FnMut(Progress),
) -> Result<LoadSummary, EmbeddedError> {
    let layout = ClusterLayout::new(deployment, ZoneSize::TODAY).map_err(EmbeddedError::Addresses)?;
    let cluster = Cluster::start(layout).map_err(EmbeddedError::Start)?;
    wait_until_ready(cluster.layout(), READY_LIMIT).map_err(EmbeddedError::NotReady)?;
    let plan = plan(cluster.layout(), config);
    let summary = run(&plan, |_| {}, report).map_err(EmbeddedError::Schedule);
    cluster.stop();
    summary
}

fn plan(layout: &ClusterLayout, config: &LoadConfig) -> LoadPlan {
    let deployment = &layout.deployment;
    let tenant = deployment.tenants().into_iter().next();
    let token = Deployment::tenant_token(&tenant.unwrap_or_else(|| TenantId::new("nobody")));
    let models = layout
        .engines
        .iter()
        .filter(|engine| engine.kind == ModelKind::Model);
    let mixes = config.mixes.iter().map(|mix| Mix {
        name: mix.name.clone(),
        token: token.clone(),
        model: deployment.model.to_string(),
        share: mix.share,
        prompt_tokens: mix.prompt_tokens,
        output_tokens: mix.output_tokens,
        class: mix.class,
        keyed: mix.keyed,
    });
    LoadPlan {
        gateways: layout.nodes.iter().map(|node| node.gateway).collect(),
        direct: models.map(|engine| engine.address).collect(),
        duration: Duration::from_secs_f64(config.seconds),
        requests_per_second: config.requests_per_second,
        senders: config.senders,
        seed: config.seed,
        part_timeout: Duration::from_millis(config.part_timeout_millis),
        mixes: mixes.collect(),
    }
}
