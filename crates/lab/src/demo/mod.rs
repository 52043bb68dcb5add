//! Runs a whole deployment in one process, sends it real requests and checks what comes back.

mod scenario;
mod steps;

use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, ZoneSize};
use crate::cluster::readiness::{NotReady, wait_until_each_tenant_is_served, wait_until_ready};
use crate::cluster::running::{Cluster, ClusterError};
use std::fmt;
use std::io;
use std::time::{Duration, Instant};

/// Longest wait until the deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Why the demo is not as it should be.
#[derive(Debug)]
pub enum DemoError {
    /// No addresses.
    Addresses(io::Error),
    /// A part did not start.
    Start(ClusterError),
    /// The deployment does not serve.
    NotReady(NotReady),
    /// Steps whose outcome is not the expected one.
    Steps(usize),
}

impl fmt::Display for DemoError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Addresses(error) => write!(formatter, "no loopback addresses: {error}"),
            Self::Start(error) => write!(formatter, "start: {error}"),
            Self::NotReady(error) => write!(formatter, "not ready: {error:?}"),
            Self::Steps(count) => write!(formatter, "{count} steps are not as they should be"),
        }
    }
}

/// Runs the demo of a deployment and prints each step.
pub fn run(deployment: Deployment) -> Result<(), DemoError> {
    let start = Instant::now();
    let layout = ClusterLayout::new(deployment, ZoneSize::TODAY).map_err(DemoError::Addresses)?;
    print_layout(&layout);
    let cluster = Cluster::start(layout).map_err(DemoError::Start)?;
    wait_until_ready(cluster.layout(), READY_LIMIT).map_err(DemoError::NotReady)?;
    wait_until_each_tenant_is_served(cluster.layout(), READY_LIMIT).map_err(DemoError::NotReady)?;
    println!(
        "every gateway serves after {:.1} s\n",
        start.elapsed().as_secs_f64()
    );
    let failed = scenario::play(&cluster);
    cluster.stop();
    println!("\nended after {:.1} s", start.elapsed().as_secs_f64());
    match failed {
        0 => Ok(()),
        count => Err(DemoError::Steps(count)),
    }
}

fn print_layout(layout: &ClusterLayout) {
    println!(
        "deployment {}: platform {}",
        layout.deployment.name, layout.platform
    );
    for zone in &layout.deployment.zones {
        let nodes = layout.nodes.iter().filter(|node| node.zone == *zone);
        let gateways: Vec<String> = nodes.map(|node| node.gateway.to_string()).collect();
        let engines = layout.engines.iter().filter(|engine| engine.zone == *zone);
        let engines: Vec<&str> = engines.map(|engine| engine.engine.as_str()).collect();
        println!(
            "zone {zone}: gateway {}; engines {}",
            gateways.join(" "),
            engines.join(" ")
        );
    }
}
