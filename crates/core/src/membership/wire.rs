//! Datagrams between controllers: bincode with variable-length numbers.

use super::beat::{LoadBeat, NodeBeat};
use super::record::{Record, RecordVersion};
use super::subject::SubjectHandle;
use crate::identity::Generation;
use serde::{Deserialize, Serialize};

/// Longest datagram that is sent or read, in bytes; stays below one Ethernet MTU.
pub const MAXIMUM_DATAGRAM_BYTES: usize = 1_400;

/// First byte of every datagram; another value is another format.
pub const FORMAT: u8 = 1;

/// Groups of subjects that a digest covers.
pub const DIGEST_GROUPS: usize = 64;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`FORMAT`].
    pub format: u8,
    /// Who sent it.
    pub sender: Sender,
    /// What it says.
    pub parts: Vec<Part>,
}

/// Sender of a datagram and the bundle in force there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The node.
    pub handle: SubjectHandle,
    /// Start of the node's process.
    pub incarnation: u64,
    /// Generation in force.
    pub generation: Generation,
    /// Time since that generation was confirmed as current, in tenths of a second.
    pub confirmed_tenths: u16,
}

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// Asks the named node whether it lives.
    Probe {
        /// The node that is meant; another one at the same address stays silent.
        target: SubjectHandle,
    },
    /// Answers a probe.
    ProbeAnswer,
    /// State of subjects.
    Facts(Vec<Fact>),
    /// State of subjects that the receiver's digest lacked; not news to others.
    Copies(Vec<Fact>),
    /// Load of engines.
    Loads(Vec<LoadBeat>),
    /// Generations of nodes.
    Nodes(Vec<NodeBeat>),
    /// The bundle in force, when it changed.
    Head(Head),
    /// Hashes of the sender's facts by group.
    Digest(Vec<[u8; 4]>),
    /// Versions of the sender's facts in the groups that differ.
    Summary(Summary),
    /// Facts that the sender lacks.
    Want(Vec<SubjectHandle>),
    /// So much differs that the receiver should fetch the sender's facts in bulk.
    FarApart,
}

/// State of one subject and who observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// The state; its load is zero, since load travels in beats.
    pub record: Record,
    /// The node that wrote this version.
    pub observer: SubjectHandle,
}

/// Digest of the signed manifest of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The generation.
    pub generation: Generation,
    /// SHA-256 of the manifest.
    pub manifest: [u8; 32],
}

/// Versions of the facts in some groups.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The groups that `entries` covers in full.
    pub groups: Vec<u8>,
    /// One for each fact in those groups.
    pub entries: Vec<SummaryEntry>,
}

/// Version of one fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryEntry {
    /// The subject.
    pub handle: SubjectHandle,
    /// The version.
    pub version: RecordVersion,
    /// Hash of the content, for two writers of one version.
    pub content: u32,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rubbish {
    /// Longer than any that is sent.
    TooLong,
    /// Not a datagram of this format.
    Undecodable,
    /// Bytes are left over after the datagram.
    TrailingBytes,
    /// Sent by this node itself.
    Echo,
}

/// Encodes a value; its length is what counts against a datagram's limit.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into a growing vector fails only for types that bincode cannot express, which none here is.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default()
}

/// Decodes a datagram that came from anywhere.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Rubbish> {
    if bytes.len() > MAXIMUM_DATAGRAM_BYTES {
        return Err(Rubbish::TooLong);
    }
    let limited = bincode::config::standard().with_limit::<MAXIMUM_DATAGRAM_LIMIT>();
    let (datagram, used): (Datagram, usize) =
        bincode::serde::decode_from_slice(bytes, limited).map_err(|_| Rubbish::Undecodable)?;
    if datagram.format != FORMAT {
        return Err(Rubbish::Undecodable);
    }
    if used != bytes.len() {
        return Err(Rubbish::TrailingBytes);
    }
    Ok(datagram)
}

/// Most memory that decoding one datagram may claim, in bytes; a forged length cannot claim more.
const MAXIMUM_DATAGRAM_LIMIT: usize = 64 * 1_024;
