//! The datagram between nodes.

use bincode::config::{Configuration, standard};
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{EngineStage, PeerWork, PrefixNews};

/// Longest datagram, in bytes; stays below the smallest usual frame.
pub(super) const MOST_BYTES: usize = 1_400;

/// Engines in one message; each takes about 20 bytes.
pub(super) const MOST_ENGINES: usize = 32;

/// News in one message; each takes about 30 bytes, seldom 200.
pub(super) const MOST_NEWS: usize = 8;

/// A node's word of its work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct WorkMessage {
    /// The sender.
    pub(super) node: NodeId,
    /// Start of the sender's process; a later start has a higher number as far as clocks allow.
    pub(super) start: u64,
    /// Number of the message since that start.
    pub(super) number: u64,
    /// Version of the configuration that the sender has; zero for none.
    pub(super) config_version: u64,
    /// Version of the store at which the list of engines that the sender has last changed.
    pub(super) list_version: u64,
    /// Work at engines; none where an engine is not named.
    pub(super) work: Vec<(SubjectHandle, PeerWork)>,
    /// Prompt tokens that the sender's requests had to have read in a second.
    pub(super) prompt_tokens_per_second: u32,
    /// Engines that have been ordered to change their stage.
    pub(super) orders: Vec<(SubjectHandle, EngineStage)>,
    /// Shared prefixes that engines have come to hold since the last message.
    pub(super) news: Vec<PrefixNews>,
}

const CODEC: Configuration = standard();

impl WorkMessage {
    pub(super) fn encode(&self) -> Option<Vec<u8>> {
        bincode::serde::encode_to_vec(self, CODEC).ok()
    }

    /// Reads a datagram; absent when it is none of these.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (message, used) = bincode::serde::decode_from_slice(bytes, CODEC).ok()?;
        (used == bytes.len()).then_some(message)
    }
}
