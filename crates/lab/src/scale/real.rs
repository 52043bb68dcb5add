//! What real parts cost: a question to an engine over HTTP, and an idle gateway with its controller.

use super::counting_link::CountingLink;
use super::fit::Line;
use super::measure::{processor_time, resident_bytes};
use super::peer_port::{CONNECTION_BYTES, SEGMENT_HEADER_BYTES};
use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, ZoneSize};
use crate::cluster::readiness::wait_until_ready;
use crate::cluster::running::{Cluster, ClusterError};
use crate::engine::{EngineConfig, EngineServer, StartError};
use shelfjunction_platform::engine::EngineClient;
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::fmt;
use std::time::{Duration, Instant};

/// Questions that are measured together.
const QUESTIONS: u32 = 300;

/// Segments of a question and its answer over an open connection: each one with its acknowledgement.
const SEGMENTS_PER_QUESTION: u64 = 4;

/// Nodes of each zone in the clusters that are compared.
const NODES_PER_ZONE: [usize; 3] = [1, 2, 4];

/// Longest wait for a cluster to serve.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// Rest before an idle cluster is measured.
const SETTLE: Duration = Duration::from_secs(3);

/// Time over which an idle cluster is measured.
const STEADY: Duration = Duration::from_secs(8);

/// Why real parts could not be measured.
#[derive(Debug)]
pub enum RealError {
    /// The engine did not start.
    Engine(StartError),
    /// A socket or thread failed.
    Io(std::io::Error),
    /// The engine gave no status.
    Status(shelfjunction_platform::engine::ControlError),
    /// A cluster did not start.
    Cluster(ClusterError),
    /// A cluster did not come to serve.
    NotReady,
}

impl fmt::Display for RealError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Cost of one question to an engine for its status.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuestionCost {
    /// Bytes both ways, headers of TCP and IP included.
    pub bytes: f64,
    /// Processor time of asker and engine together.
    pub processor: Duration,
}

/// An idle cluster.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleCluster {
    /// Nodes, each a gateway and a controller.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Share of one core that the whole process takes.
    pub processor_share: f64,
    /// Resident memory of the whole process, in bytes.
    pub resident_bytes: f64,
    /// Calls to the platform's services a second, all nodes together.
    pub platform_calls_per_second: f64,
}

/// Asks a stand-in engine over a link that counts.
pub fn question_cost() -> Result<QuestionCost, RealError> {
    let engine = EngineServer::start(EngineConfig::default()).map_err(RealError::Engine)?;
    let link = CountingLink::start(engine.address()).map_err(RealError::Io)?;
    let client = HttpEngineClient::new(EngineTimeouts::default());
    let direct_before = processor_time();
    for _ in 0..QUESTIONS {
        client.status(engine.address()).map_err(RealError::Status)?;
    }
    let processor = processor_time().saturating_sub(direct_before) / QUESTIONS;
    for _ in 0..QUESTIONS {
        client.status(link.address()).map_err(RealError::Status)?;
    }
    engine.stop();
    engine.wait();
    let exchange = SEGMENTS_PER_QUESTION * SEGMENT_HEADER_BYTES;
    let opening = link.connections() * (CONNECTION_BYTES - exchange);
    let headers = opening + u64::from(QUESTIONS) * exchange;
    Ok(QuestionCost {
        bytes: (link.bytes() + headers) as f64 / f64::from(QUESTIONS),
        processor,
    })
}

/// Starts clusters of several sizes with the same engines and measures each while nothing is asked of it.
pub fn idle_clusters() -> Result<Vec<IdleCluster>, RealError> {
    NODES_PER_ZONE.iter().map(|nodes| idle_cluster(*nodes)).collect()
}

fn idle_cluster(nodes: usize) -> Result<IdleCluster, RealError> {
    let size = ZoneSize {
        nodes,
        ..ZoneSize::TODAY
    };
    let layout = ClusterLayout::new(Deployment::pharmacy(), size).map_err(RealError::Io)?;
    let cluster = Cluster::start(layout).map_err(RealError::Cluster)?;
    let ready = wait_until_ready(cluster.layout(), READY_LIMIT);
    if ready.is_err() {
        cluster.stop();
        return Err(RealError::NotReady);
    }
    std::thread::sleep(SETTLE);
    let calls = || {
        cluster
            .platform()
            .records_after(0)
            .last()
            .map_or(0, |record| record.sequence)
    };
    let (begin, before, calls_before) = (Instant::now(), processor_time(), calls());
    std::thread::sleep(STEADY);
    let processor = processor_time().saturating_sub(before).as_secs_f64();
    let elapsed = begin.elapsed().as_secs_f64();
    let measured = IdleCluster {
        nodes: cluster.layout().nodes.len(),
        engines: cluster.layout().engines.len(),
        processor_share: processor / elapsed,
        resident_bytes: resident_bytes() as f64,
        platform_calls_per_second: (calls() - calls_before) as f64 / elapsed,
    };
    cluster.stop();
    Ok(measured)
}

/// The figures in Markdown, with the cost of one more node.
pub fn markdown(question: &QuestionCost, clusters: &[IdleCluster]) -> String {
    let mut text = format!(
        "A question to an engine: {:.0} bytes, {:.0} µs of processor time (asker and engine together).\n\n",
        question.bytes,
        question.processor.as_secs_f64() * 1e6
    );
    text.push_str("| nodes | engines | share of a core, whole process, % | resident memory, MB | platform calls a second |\n");
    text.push_str("| --- | --- | --- | --- | --- |\n");
    for cluster in clusters {
        let (share, memory) = (cluster.processor_share * 100.0, cluster.resident_bytes / 1e6);
        let calls = cluster.platform_calls_per_second;
        let (nodes, engines) = (cluster.nodes, cluster.engines);
        text.push_str(&format!(
            "| {nodes} | {engines} | {share:.2} | {memory:.1} | {calls:.1} |\n"
        ));
    }
    let line = |figure: fn(&IdleCluster) -> f64| {
        let points: Vec<(f64, f64)> = clusters
            .iter()
            .map(|cluster| (cluster.nodes as f64, figure(cluster)))
            .collect();
        Line::through(&points).map_or(0.0, |line| line.slope)
    };
    let share = line(|cluster| cluster.processor_share * 100.0);
    let memory = line(|cluster| cluster.resident_bytes / 1e6);
    let calls = line(|cluster| cluster.platform_calls_per_second);
    text.push_str(&format!(
        "\nOne more idle node: {share:.2} % of a core, {memory:.2} MB, {calls:.2} platform calls a second.\n"
    ));
    text
}
