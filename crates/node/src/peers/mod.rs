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
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// Time after which a node that is neither listed nor heard is forgotten.
const SILENT_PEER_LIFETIME: Duration = Duration::from_secs(40);

/// Most other nodes that are all told of a node's work.
const MOST_TOLD: usize = 96;

/// Nodes that are told in a larger fleet: what a node hears must not grow with it.
const TOLD_IN_LARGE_FLEET: usize = 24;

/// Silence after which a node no longer counts as alive.
const HEARD_LATELY: Duration = Duration::from_millis(3_500);

/// What is known of one other node.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// When it was last heard; when it was first listed where it never was.
    known_at: MonotonicTime,
    /// When the store listed it last.
    listed_at: MonotonicTime,
    /// Start and number of the last message heard.
    last_message: Option<(u64, u64)>,
    /// Whether the store answered it when it spoke last.
    store_answers: bool,
    handle: SubjectHandle,
}

impl Peer {
    fn new(node: &NodeId, address: SocketAddr, now: MonotonicTime) -> Self {
        Self {
            address,
            known_at: now,
            listed_at: now,
            last_message: None,
            store_answers: false,
            handle: SubjectHandle::of_text("node", node.as_str()),
        }
    }

    fn heard_lately(&self, now: MonotonicTime) -> bool {
        self.last_message.is_some() && now.since(self.known_at) < HEARD_LATELY
    }
}

/// The other nodes.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: Mutex<Known>,
    pending: Mutex<Pending>,
    change: Condvar,
    behind: Mutex<Option<Behind>>,
    fell_behind: Condvar,
}

/// What there is to tell.
#[derive(Debug, Default)]
struct Pending {
    changed: bool,
    /// Whether others must hear of it before they choose engines.
    urgent: bool,
    confirmed: bool,
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
        let heard = known.peers.iter().filter(|(_, peer)| peer.heard_lately(now));
        heard.map(|(node, _)| node.clone()).collect()
    }

    /// The other nodes that said a short time ago that the store answers them.
    pub(crate) fn in_contact_with_store(&self, now: MonotonicTime) -> Vec<SubjectHandle> {
        let known = lock(&self.known);
        let heard = known.peers.values().filter(|peer| peer.heard_lately(now));
        heard
            .filter(|peer| peer.store_answers)
            .map(|peer| peer.handle)
            .collect()
    }

    /// Names of the other nodes.
    pub(crate) fn names(&self) -> Vec<NodeId> {
        lock(&self.known).peers.keys().cloned().collect()
    }

    /// Notes that this node has handed new work to an engine, which others would otherwise choose as well.
    pub(crate) fn note_new_work(&self) {
        let mut pending = lock(&self.pending);
        pending.changed = true;
        pending.urgent = true;
        self.change.notify_one();
    }

    /// Notes that this node's work or beliefs have changed.
    pub(crate) fn note_change(&self) {
        lock(&self.pending).changed = true;
        self.change.notify_one();
    }

    /// Notes that the store has confirmed what this node knows, which is told even by an idle node.
    pub(crate) fn note_confirmed(&self) {
        let mut pending = lock(&self.pending);
        pending.changed = true;
        pending.confirmed = true;
        self.change.notify_one();
    }

    /// Addresses of every other node.
    fn addresses(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let mut known = lock(&self.known);
        known
            .peers
            .retain(|_, peer| now.since(peer.known_at.max(peer.listed_at)) < SILENT_PEER_LIFETIME);
        known.peers.values().map(|peer| peer.address).collect()
    }

    /// Whether the fleet is small enough for each node to tell all others.
    fn tells_all(&self) -> bool {
        lock(&self.known).peers.len() <= MOST_TOLD
    }

    /// Addresses of the nodes that this one tells of its work: all of a small fleet, of a large one
    /// [`TOLD_IN_LARGE_FLEET`], the same each time, so that a node's messages do not grow with the fleet.
    fn told(&self, own: &NodeId, now: MonotonicTime) -> Vec<SocketAddr> {
        let all = self.addresses(now);
        if all.len() <= MOST_TOLD {
            return all;
        }
        let task = SubjectHandle::of_text("teller", own.as_str());
        let known = lock(&self.known);
        let mut peers: Vec<_> = known
            .peers
            .values()
            .map(|peer| (rendezvous::weight(task, peer.handle), peer.address))
            .collect();
        peers.sort_unstable();
        peers
            .iter()
            .rev()
            .take(TOLD_IN_LARGE_FLEET)
            .map(|(_, address)| *address)
            .collect()
    }

    /// Nodes for which the word of each that is heard stands.
    fn nodes_per_word(&self, now: MonotonicTime) -> f64 {
        let heard = self.heard_lately(now).len();
        let others = lock(&self.known).peers.len();
        if others <= MOST_TOLD || heard == 0 {
            return 1.0;
        }
        others as f64 / heard as f64
    }
}
