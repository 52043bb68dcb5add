//! The datagrams of spillover between regions: questions about requests, their answers, and probes of the round trip.
//!
//! Released variants never change; additions get a variant of their own. Builds without this format drop the datagrams as
//! unreadable, so a question to such a node is never answered.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::spill::question::{SpillAnswer, SpillQuestion};

/// First byte of such a datagram.
const FORMAT: u8 = 69;

/// Question to a placer of another region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpillQuery {
    /// Random number under which it is answered.
    pub number: u64,
    /// The question.
    pub question: SpillQuestion,
}

/// Answer to the query with the same number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SpillReply {
    /// Number of the query.
    pub number: u64,
    /// The answer.
    pub answer: SpillAnswer,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SpillDatagram {
    /// A question about a request.
    Query(Box<SpillQuery>),
    /// Its answer.
    Reply(Box<SpillReply>),
    /// A probe of the round trip, with a random number.
    Probe(u64),
    /// The answer to the probe with the same number.
    ProbeReply(u64),
}

impl SpillDatagram {
    /// The bytes; absent if they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent if it has another format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
