//! A node that the store does not answer takes the configuration and the list of engines from a peer.
//!
//! Messages tell the versions that their sender has. A node that lacks a version for longer than its own question to
//! the store would take connects to the sender, which answers with a snapshot of both.

use super::{Behind, Duty, Peers};
use crate::context::Context;
use crate::cordons;
use bincode::config::{Configuration, standard};
use rand::Rng;
use serde::{Deserialize, Serialize};
use shelfjunction_core::cordon::CordonSet;
use shelfjunction_core::forwarding::ForwardingConfig;
use shelfjunction_core::routing::pool::{ListSnapshot, PrefixNews};
use shelfjunction_threads::lock;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::PoisonError;
use std::time::Duration;

/// Time that the store has to tell this node itself, before a peer is asked.
const STORE_FIRST: Duration = Duration::from_millis(500);

/// Time within which a node that is not on duty asks a peer, before it asks the store: long enough for the messages
/// that follow, and spread so that not all ask at once.
const PEER_FIRST_MILLIS: std::ops::Range<u64> = 150..500;

/// Longest wait for a peer to take a connection, and for each of its bytes.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// Peers that a node asks after its start.
const PEERS_ASKED: usize = 3;

/// Longest snapshot, in bytes.
const MOST_BYTES: u64 = 8 * 1024 * 1024;

const CODEC: Configuration = standard();

/// What a peer hands over.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Snapshot {
    config: Option<ForwardingConfig>,
    list: Option<ListSnapshot>,
    cordons: Option<CordonSet>,
    /// What engines are believed to hold.
    held: Vec<PrefixNews>,
}

/// What a node asks a peer for; one byte, a bit each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wanted {
    config: bool,
    list: bool,
    held: bool,
    cordons: bool,
}

impl Wanted {
    const ALL: Self = Self {
        config: true,
        list: true,
        held: true,
        cordons: true,
    };

    fn any(self) -> bool {
        self.config || self.list || self.held || self.cordons
    }

    fn to_byte(self) -> u8 {
        u8::from(self.config)
            | u8::from(self.list) << 1
            | u8::from(self.held) << 2
            | u8::from(self.cordons) << 3
    }

    fn of_byte(byte: u8) -> Self {
        Self {
            config: byte & 1 != 0,
            list: byte & 2 != 0,
            held: byte & 4 != 0,
            cordons: byte & 8 != 0,
        }
    }
}

impl Peers {
    /// Compares the versions that a peer has with this node's.
    pub(super) fn note_versions(&self, context: &Context, versions: Behind) {
        if lacks(context, &versions).any() {
            *lock(&self.behind) = Some(versions);
            self.fell_behind.notify_one();
        }
    }

    fn next_behind(&self) -> Behind {
        let mut behind = lock(&self.behind);
        loop {
            if let Some(found) = behind.take() {
                return found;
            }
            behind = self
                .fell_behind
                .wait(behind)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn lacks(context: &Context, behind: &Behind) -> Wanted {
    let config_version = context.forwarding().map_or(0, |config| config.version);
    Wanted {
        config: config_version < behind.config_version,
        list: lock(&context.listing).reflected() < behind.list_version,
        held: false,
        cordons: cordons::version(context) < behind.cordons,
    }
}

/// Takes from peers what this node lacks, as long as the process runs.
pub(crate) fn catch_up(context: &Context) {
    loop {
        let behind = context.peers.next_behind();
        context.stop.wait(time_for_others(context));
        let wanted = lacks(context, &behind);
        if !wanted.any() {
            continue;
        }
        match fetch(behind.peer, wanted) {
            Some(snapshot) => take(context, snapshot, behind.peer),
            None => log::info!(peer:% = behind.peer; "peer_snapshot_failed"),
        }
    }
}

/// Time that others have to tell this node before it asks a peer.
fn time_for_others(context: &Context) -> Duration {
    match context.peers.duty(context.now()) {
        Duty::Off => Duration::from_millis(rand::rng().random_range(PEER_FIRST_MILLIS)),
        Duty::Placer | Duty::Shared | Duty::NotKnown => STORE_FIRST,
    }
}

fn take(context: &Context, snapshot: Snapshot, peer: SocketAddr) {
    let source = format!("peer {peer}");
    if let Some(config) = snapshot.config {
        context.offer(config, &source);
        context.config_watch.on_caught_up();
    }
    if let Some(list) = snapshot.list {
        take_list(context, &list, &source);
    }
    if let Some(set) = snapshot.cordons {
        cordons::take(context, set, &source);
    }
    lock(&context.router).on_peer_news(&snapshot.held, context.now());
}

fn take_list(context: &Context, list: &ListSnapshot, source: &str) {
    let changes = {
        let mut listing = lock(&context.listing);
        let changes = listing.replace(list);
        if !changes.is_empty() {
            lock(&context.recent_changes).reset();
        }
        changes
    };
    context.list_watch.on_caught_up();
    if !changes.is_empty() {
        context.take_list_changes(changes, source);
    }
}

/// Takes everything from the first of some peers that knows what engines hold.
pub(crate) fn take_from_any(context: &Context) {
    let peers = context.peers.told(context.now());
    for peer in peers.into_iter().take(PEERS_ASKED) {
        if let Some(snapshot) = fetch(peer, Wanted::ALL) {
            let knows = !snapshot.held.is_empty();
            take(context, snapshot, peer);
            if knows {
                log::info!(peer:% = peer; "beliefs_taken");
                return;
            }
        }
    }
}

fn fetch(peer: SocketAddr, wanted: Wanted) -> Option<Snapshot> {
    let mut stream = TcpStream::connect_timeout(&peer, PEER_WAIT).ok()?;
    stream.set_read_timeout(Some(PEER_WAIT)).ok()?;
    stream.write_all(&[wanted.to_byte()]).ok()?;
    let mut bytes = Vec::new();
    stream.take(MOST_BYTES).read_to_end(&mut bytes).ok()?;
    let (snapshot, used) = bincode::serde::decode_from_slice(&bytes, CODEC).ok()?;
    (used == bytes.len()).then_some(snapshot)
}

/// Hands snapshots to peers as long as the process runs.
pub(crate) fn serve(context: &Context, listener: &TcpListener) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                if hand_over(context, stream).is_none() {
                    log::debug!(peer:% = peer; "peer_snapshot_not_sent");
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "peer_accept_failed");
                context.stop.wait(PEER_WAIT);
            }
        }
    }
}

fn hand_over(context: &Context, mut stream: TcpStream) -> Option<()> {
    stream.set_read_timeout(Some(PEER_WAIT)).ok()?;
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    let wanted = Wanted::of_byte(byte[0]);
    let config = context.forwarding().filter(|_| wanted.config);
    let snapshot = Snapshot {
        config: config.map(|config| config.as_ref().clone()),
        cordons: wanted.cordons.then(|| lock(&context.cordons).clone()),
        list: wanted.list.then(|| lock(&context.listing).snapshot()),
        held: if wanted.held {
            lock(&context.router).held()
        } else {
            Vec::new()
        },
    };
    let bytes = bincode::serde::encode_to_vec(&snapshot, CODEC).ok()?;
    stream.set_write_timeout(Some(PEER_WAIT)).ok()?;
    stream.write_all(&bytes).ok()
}
