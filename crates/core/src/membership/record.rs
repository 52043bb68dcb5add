//! Versioned records that nodes spread about themselves and the engines they watch.

use crate::engine::EngineStatus;
use crate::identity::{EngineId, Generation, NodeId, ZoneId};
use crate::machine::{MachineService, MachineState};
use serde::{Deserialize, Serialize};

/// Subject of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// A node, described by itself.
    Node(NodeId),
    /// An engine, described by one of its watchers.
    Engine(EngineId),
}

/// Order of records on one subject: a higher incarnation wins, then a higher sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RecordVersion {
    /// Start of the subject's process.
    pub incarnation: u64,
    /// Raised with every change since that start.
    pub sequence: u64,
}

/// One thing known about one subject.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The subject.
    pub key: RecordKey,
    /// Position among the records on that subject.
    pub version: RecordVersion,
    /// Time since the subject was observed, in milliseconds; each holder adds the time it kept the record.
    pub age_millis: u32,
    /// What was observed.
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordBody {
    /// A node's state.
    Node(NodeRecord),
    /// An engine's state.
    Engine(EngineRecord),
}

/// A node as it describes itself, or as others suspect it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens.
    #[serde(with = "super::service_format")]
    pub service: MachineService,
    /// Whether it is thought to live.
    pub liveness: Liveness,
    /// Generation of the bundle in force there.
    pub generation: Generation,
}

/// An engine as a watcher saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Its zone.
    pub zone: ZoneId,
    /// Where it listens and what it runs.
    #[serde(with = "super::service_format")]
    pub service: MachineService,
    /// Whether the platform takes it away.
    pub machine_state: MachineState,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Its last status; absent before the first answer.
    pub status: Option<EngineStatus>,
}

/// Whether a process is thought to live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// Answers.
    Alive,
    /// Missed by at least one witness; may still refute.
    Suspect,
    /// Stops on purpose and takes nothing new.
    Leaving,
    /// Missed by enough witnesses for long enough.
    Dead,
}
