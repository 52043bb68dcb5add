//! The datagrams in which nodes pass on what engines said of themselves.
//!
//! Builds without them take datagrams of other first bytes only, and drop these as unreadable. Behind the first byte stands
//! the bincode of one [`SignalDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::node_words::MOST_BYTES;
use bincode::config::{Configuration, standard};
use serde::{Deserialize, Serialize};
use shelfjunction_core::membership::subject::SubjectHandle;

const CODEC: Configuration = standard();

/// First byte of such a datagram.
const FORMAT: u8 = 65;

/// Engines named in one datagram; each takes five bytes.
pub const MOST_ENGINES: usize = 250;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SignalDatagram {
    /// Starts of engines that announced a drain.
    Draining(Vec<SubjectHandle>),
    /// A start of an engine that asked the sender to back off, so that it has less room for others too.
    Overloaded(SubjectHandle),
}

impl SignalDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut bytes = vec![FORMAT];
        bytes.extend(bincode::serde::encode_to_vec(self, CODEC).ok()?);
        (bytes.len() <= MOST_BYTES).then_some(bytes)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let content = bytes.strip_prefix(&[FORMAT])?;
        let (datagram, used) = bincode::serde::decode_from_slice(content, CODEC).ok()?;
        (used == content.len()).then_some(datagram)
    }
}
