//! The datagrams in which nodes pass on what engines said of themselves.
//!
//! Builds without them take datagrams of other first bytes only, and drop these as unreadable. Behind the first byte stands
//! the bincode of one [`SignalDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::membership::subject::SubjectHandle;

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
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
