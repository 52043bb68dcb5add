//! The datagrams between nodes about engines' rate limits.
//!
//! Builds without them take datagrams of format 1 only ([`super::node_words`]), so these begin with a byte that is no number of
//! a variant there; such a build drops them as unreadable, and never answers. Behind it stands the bincode of one
//! [`RateDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::rate_limit::{LimitNotice, SlotRequest, SlotResponse};

/// First byte of such a datagram.
const FORMAT: u8 = 64;

/// Notices in one message; each takes at most 25 bytes.
pub const MOST_NOTICES: usize = 40;

/// A node's notices of limits, or that it speaks of limits where there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The sender.
    pub node: NodeId,
    /// Start of the sender's process, as it tells it in other messages.
    pub start: u64,
    /// Whether the sender keeps slots: one that is about to stop leaves them to others.
    pub owns_slots: bool,
    /// The limits.
    pub notices: Vec<LimitNotice>,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RateDatagram {
    /// What a node knows of limits.
    Limits(Box<LimitMessage>),
    /// Asks an engine's owner for a slot.
    Question(SlotRequest),
    /// A owner's answer.
    Answer(SlotResponse),
}

impl RateDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
