//! Sends recorded calls at their times to a deployment in this process and compares their outcomes with the stated ones.
//!
//! Replays in virtual time, deterministic to the byte, are tests (`tests/replay`); this one runs real gateways, controllers
//! and engines over sockets, so that only outcomes are compared and no times.

pub mod trace;

use crate::caller::{CallResult, CallerClient};
use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, ZoneSize};
use crate::cluster::readiness::{NotReady, wait_until_ready};
use crate::cluster::running::{Cluster, ClusterError};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use trace::{RecordedCall, Trace};

/// Longest wait until the deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Longest wait for the next part of an answer.
const PART_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a recording could not be replayed.
#[derive(Debug)]
pub enum ReplayError {
    /// The recording names a deployment that does not exist.
    Deployment(String),
    /// A call names a zone that the deployment lacks.
    Zone(String),
    /// No addresses.
    Addresses(io::Error),
    /// A part did not start.
    Start(ClusterError),
    /// The deployment does not serve.
    NotReady(NotReady),
}

impl fmt::Display for ReplayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(name) => {
                write!(formatter, "deployment = {name}: allowed is pharmacy or kadriks")
            }
            Self::Zone(zone) => write!(formatter, "zone = {zone}: not a zone of the deployment"),
            Self::Addresses(error) => write!(formatter, "no loopback addresses: {error}"),
            Self::Start(error) => write!(formatter, "start: {error}"),
            Self::NotReady(error) => write!(formatter, "not ready: {error:?}"),
        }
    }
}

/// One call and what came back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayedCall {
    /// The call as recorded.
    pub recorded: RecordedCall,
    /// What its caller was told.
    pub result: CallResult,
}

impl ReplayedCall {
    /// Whether the outcome is the stated one.
    pub fn holds(&self) -> bool {
        self.recorded.expect.holds(&self.result)
    }
}

/// Replays a recording; gives every call in the order of the recording.
pub fn run(trace: &Trace) -> Result<Vec<ReplayedCall>, ReplayError> {
    let deployment = Deployment::by_name(&trace.deployment)
        .ok_or_else(|| ReplayError::Deployment(trace.deployment.clone()))?;
    let layout = ClusterLayout::new(deployment, ZoneSize::TODAY).map_err(ReplayError::Addresses)?;
    let gateways: Vec<SocketAddr> = trace
        .calls
        .iter()
        .map(|call| gateway(&layout, call))
        .collect::<Result<_, _>>()?;
    let cluster = Cluster::start(layout).map_err(ReplayError::Start)?;
    wait_until_ready(cluster.layout(), READY_LIMIT).map_err(ReplayError::NotReady)?;
    let replayed = send_all(trace, &gateways);
    cluster.stop();
    Ok(replayed)
}

fn gateway(layout: &ClusterLayout, call: &RecordedCall) -> Result<SocketAddr, ReplayError> {
    let node = layout.nodes.iter().find(|node| node.zone == call.zone);
    node.map(|node| node.gateway)
        .ok_or_else(|| ReplayError::Zone(call.zone.to_string()))
}

/// One thread for each call, so that a slow answer delays nobody else's time.
fn send_all(trace: &Trace, gateways: &[SocketAddr]) -> Vec<ReplayedCall> {
    let start = Instant::now();
    let client = CallerClient::new(PART_TIMEOUT);
    thread::scope(|scope| {
        let senders: Vec<_> = trace
            .calls
            .iter()
            .zip(gateways)
            .map(|(call, gateway)| scope.spawn(|| send(&client, *gateway, call, start)))
            .collect();
        let results = senders
            .into_iter()
            .map(|sender| sender.join().unwrap_or(CallResult::Broken));
        let calls = trace.calls.iter().cloned();
        calls
            .zip(results)
            .map(|(recorded, result)| ReplayedCall { recorded, result })
            .collect()
    })
}

fn send(client: &CallerClient, gateway: SocketAddr, call: &RecordedCall, start: Instant) -> CallResult {
    let due = start + Duration::from_millis(call.at_millis);
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let token = Deployment::tenant_token(&call.tenant);
    match client.complete(gateway, &token, &call.call()) {
        Ok(answer) => answer.read_to_end().1,
        Err(refused) => refused.result,
    }
}
