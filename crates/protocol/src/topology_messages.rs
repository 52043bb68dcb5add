//! The datagrams by which nodes of a regional deployment learn each other's zone and the demand on each other's region.
//!
//! Released variants never change; additions get a variant of their own. Builds without this format drop the datagrams as
//! unreadable.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::{NodeId, ZoneId};
use shelfjunction_core::roles::region_sums::SumReport;
use shelfjunction_core::routing::pool::PrefixUpdate;

/// First byte of such a datagram.
const FORMAT: u8 = 68;

/// Prefix updates in one datagram; each takes about 40 bytes, seldom 200.
pub const MAX_PREFIX_UPDATES: usize = 6;

/// Zone of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAnnouncement {
    /// The sender.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
}

/// Zone of a node, and a digest of its mapping of zones to regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopologyAnnouncement {
    /// The sender.
    pub node: NodeId,
    /// Random number of its start.
    pub start: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Digest of the regions of all zones in its settings.
    pub digest: u64,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TopologyDatagram {
    /// The sender's zone.
    Zone(ZoneAnnouncement),
    /// Shared prefixes that engines of the sender's region hold, for the placer that places such prompts in the receiver's region.
    Prefixes(Vec<PrefixUpdate>),
    /// Demand on the sender's region.
    Sums(Box<SumReport>),
    /// The sender's zone, as others must know it before they choose owners of request slots by region.
    Topology(TopologyAnnouncement),
}

impl TopologyDatagram {
    /// The bytes; absent if they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent if it has another format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}
