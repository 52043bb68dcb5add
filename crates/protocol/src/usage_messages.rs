//! The datagrams by which counts of usage reach the holder of the lease and replicas.
//!
//! Builds without them take datagrams of other first bytes only, and drop these as unreadable. Behind the first byte stands
//! the bincode of one [`UsageDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::metering::replication::{UsageAck, UsageBatch, UsageDigest};

/// First byte of such a datagram.
const FORMAT: u8 = 72;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageDatagram {
    /// Counts of the sender.
    Counts(UsageBatch),
    /// Counts that the sender was told by a node that is silent now.
    Copy(UsageBatch),
    /// Acknowledges counts of windows that have ended.
    Ack(UsageAck),
    /// What the holder of the lease tells every node.
    Digest(UsageDigest),
}

impl UsageDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
