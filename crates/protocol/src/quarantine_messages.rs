//! The datagrams between nodes about requests under which engines crashed, beyond those of format 1.
//!
//! Builds without them take datagrams of other first bytes only, and drop these as unreadable. Behind the first byte stands
//! the bincode of one [`QuarantineDatagram`]. Released variants never change; what is new gets a variant of its own.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::quarantine::report::ConfirmationReport;

/// First byte of such a datagram.
const FORMAT: u8 = 66;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineDatagram {
    /// Crashes on trial, for requests that a report of format 1 has named; as many as one report names requests.
    Confirmations(Vec<ConfirmationReport>),
}

impl QuarantineDatagram {
    /// The bytes; absent where they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent when it is none of these.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
