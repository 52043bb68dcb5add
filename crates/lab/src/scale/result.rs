//! What one size of a scale run measured.

use super::hollow_node::HollowError;
use super::measure::Spread;
use crate::cluster::publish::PublishError;
use crate::platform::server::PlatformStartError;
use std::fmt;
use std::time::Duration;

/// Why a scale run ended early.
#[derive(Debug)]
pub enum ScaleError {
    /// The stand-in platform did not start.
    Platform(PlatformStartError),
    /// A hollow node did not start.
    Node(HollowError),
    /// A thread did not start.
    Thread(std::io::Error),
    /// A bundle did not come into force.
    Publish(PublishError),
}

impl fmt::Display for ScaleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(formatter, "platform: {error}"),
            Self::Node(error) => write!(formatter, "hollow node: {error:?}"),
            Self::Thread(error) => write!(formatter, "thread: {error}"),
            Self::Publish(error) => write!(formatter, "bundle: {error:?}"),
        }
    }
}

/// Figures of one size. A time is absent when the patience ended first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SizeResult {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Time from the start until every node knew every node and engine and had the bundle.
    pub joined: Option<Duration>,
    /// The steady state.
    pub steady: Steady,
    /// Time from a commit in the table until the bundle was in force everywhere.
    pub bundle_in_force: Option<Duration>,
    /// Bytes over TCP that the change cost a node, in and out, mean.
    pub bundle_bytes: f64,
    /// Time until an engine that was taken off the platform's hands was known to leave, everywhere.
    pub leaving_known: Option<Duration>,
    /// Time until a new engine was known everywhere.
    pub new_known: Option<Duration>,
    /// Time until a killed engine was known to be dead everywhere.
    pub dead_engine_known: Option<Duration>,
    /// Time until a killed node was known to be dead everywhere.
    pub dead_node_known: Option<Duration>,
    /// Time from the heal of a cut zone until all nodes held the same facts.
    pub agreed_after_cut: Option<Duration>,
    /// Nodes and engines that were called dead on account of the cut alone.
    pub dead_by_cut: usize,
    /// Bytes a second of a node while the cut healed, in and out.
    pub heal_bytes: Spread,
    /// Longest time until a restarted node was known everywhere in its new life.
    pub restart_known: Option<Duration>,
    /// Bytes a second of a node during restarts, in and out.
    pub restart_bytes: Spread,
    /// Calls to the platform a second while its stores were away, from the whole fleet.
    pub away_calls_per_second: f64,
    /// Oldest confirmation of the bundle at any node when the stores came back.
    pub away_confirmation_age: Duration,
}

/// Figures of the steady state.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Steady {
    /// Bytes a second of a node in datagrams, in and out together, headers counted.
    pub bytes: Spread,
    /// Bytes a second of a node out to other regions.
    pub far_bytes: Spread,
    /// Datagrams a second of a node, in and out.
    pub datagrams: Spread,
    /// Questions to engines a second of a node.
    pub questions: Spread,
    /// Processor time of the process, as a share of one core for each node.
    pub processor_share: f64,
    /// Resident memory of the process, in bytes.
    pub resident_bytes: f64,
    /// Age of the load reports of engines of the same zone, in seconds, over nodes and engines.
    pub near_load_age: Spread,
    /// Age of the load reports of all engines, in seconds, over nodes and engines.
    pub load_age: Spread,
    /// Calls to the table service a second, from the whole fleet.
    pub table_calls_per_second: f64,
    /// Reads of the machine list a second, from the whole fleet.
    pub list_calls_per_second: f64,
}
