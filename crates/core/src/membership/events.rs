//! What a node's membership takes in and gives out besides datagrams.

use super::wire::Head;
use crate::identity::{NodeId, RegionId, ZoneId};
use crate::machine::MachineService;
use std::net::SocketAddr;

/// Who this node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnNode {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// The region that holds the zone.
    pub region: RegionId,
    /// Where its gateway and controller listen.
    pub service: MachineService,
    /// Raised at every start; a peer that remembers a higher one raises it further.
    pub incarnation: u64,
}

/// One datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Controller of a peer.
    pub to: SocketAddr,
    /// Encoded datagram.
    pub bytes: Vec<u8>,
}

/// Something that the rest of the controller should act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEvent {
    /// A peer is at a higher generation; its content can be fetched there and must be checked.
    HeadHeard {
        /// The generation and its manifest, as claimed.
        head: Head,
        /// Controller of the peer.
        from: SocketAddr,
    },
    /// A peer holds many facts that differ; they are fetched in bulk over TCP and handed to
    /// [`super::gossiper::Gossiper::merge_bulk`].
    FactsDiffer {
        /// Controller of the peer.
        from: SocketAddr,
    },
    /// The platform is about to take this node's machine away.
    OwnMachineLeaving,
}

/// Counts since the start; bytes include UDP and IPv4 headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Bytes sent to other regions.
    pub bytes_out_far: u64,
    /// Datagrams received.
    pub datagrams_in: u64,
    /// Datagrams sent.
    pub datagrams_out: u64,
    /// Datagrams dropped because they could not be understood.
    pub rubbish: u64,
    /// Datagrams not sent because the budget was spent.
    pub held_back: u64,
    /// Facts that came and were news.
    pub facts_new: u64,
    /// Facts that came and were known.
    pub facts_known: u64,
    /// Load beats that came and were news.
    pub loads_new: u64,
    /// Load beats that came and were known.
    pub loads_known: u64,
    /// Times this node refuted what was said of it.
    pub refutations: u64,
}
