//! Nodes tell each other of their work at engines, by datagrams that are never answered and may be lost.
//!
//! Each message says everything that its sender has under way, so a lost one is made good by the next. The store's
//! list of nodes only says whom to tell first; whoever is heard is told too.

mod catching_up;
mod directory;
mod hearing;
mod message;
mod telling;

pub(crate) use catching_up::{catch_up, serve as serve_snapshots, take_from_any};
pub(crate) use directory::follow as follow_directory;
pub(crate) use hearing::hear;
pub(crate) use telling::tell;

use shelfjunction_core::identity::NodeId;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Time after which a node that is neither listed nor heard is forgotten.
const SILENT_PEER_LIFETIME: Duration = Duration::from_secs(20);

/// Silence after which a node no longer counts as alive.
const HEARD_LATELY: Duration = Duration::from_millis(3_500);

/// What is known of one other node.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// When it was last listed or heard.
    known_at: MonotonicTime,
    /// Start and number of the last message heard.
    last_message: Option<(u64, u64)>,
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: Mutex<Known>,
    changed: Mutex<bool>,
    change: Condvar,
    behind: Mutex<Option<Behind>>,
    fell_behind: Condvar,
}

/// A peer that knows something newer.
#[derive(Clone, Copy, Debug)]
struct Behind {
    peer: SocketAddr,
    config_version: u64,
    list_version: u64,
}

#[derive(Debug, Default)]
struct Known {
    peers: BTreeMap<NodeId, Peer>,
    listed: bool,
}

impl Peers {
    /// Nodes in all, this one included; absent until the list was read.
    pub(crate) fn nodes(&self) -> Option<u32> {
        let known = lock(&self.known);
        known.listed.then(|| known.peers.len() as u32 + 1)
    }

    /// Names of the other nodes that said something a short time ago.
    pub(crate) fn heard_lately(&self, now: MonotonicTime) -> Vec<NodeId> {
        let known = lock(&self.known);
        let heard = known
            .peers
            .iter()
            .filter(|(_, peer)| peer.last_message.is_some() && now.since(peer.known_at) < HEARD_LATELY);
        heard.map(|(node, _)| node.clone()).collect()
    }

    /// Names of the other nodes.
    pub(crate) fn names(&self) -> Vec<NodeId> {
        lock(&self.known).peers.keys().cloned().collect()
    }

    /// Notes that this node's work has changed.
    pub(crate) fn note_change(&self) {
        *lock(&self.changed) = true;
        self.change.notify_one();
    }

    fn addresses(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let mut known = lock(&self.known);
        known
            .peers
            .retain(|_, peer| now.since(peer.known_at) < SILENT_PEER_LIFETIME);
        known.peers.values().map(|peer| peer.address).collect()
    }
}
