//! A node that the store does not answer takes the configuration and the list of engines from a peer.
//!
//! Messages tell the versions that their sender has. A node that lacks a version for longer than its own question to
//! the store would take connects to the sender, which answers with a snapshot of both.

use super::{Behind, Duty, Peers};
use crate::context::Context;
use crate::cordons;
use crate::relay;
use rand::Rng;
use shelfjunction_core::routing::pool::{KnownChanges, ListSnapshot};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::node_snapshot::{Snapshot, Wanted};
use shelfjunction_protocol::relay_messages::TUNNEL_REQUEST;
use shelfjunction_threads::lock;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Time that the store has to tell this node itself, before a peer is asked.
const STORE_FIRST: Duration = Duration::from_millis(500);

/// Time within which a node that is not on duty asks a peer, before it asks the store: long enough for the messages
/// that follow, and spread so that not all ask at once.
const PEER_FIRST_MILLIS: std::ops::Range<u64> = 150..500;

/// Least time between two questions for the engines in use, as a part of the time within which a change of the list must
/// be in force: what is left is enough for a word and a snapshot, should the node have to choose by itself.
const LIST_AGAIN_PART: f64 = 0.4;

/// Longest wait for a peer to take a connection, and for each of its bytes.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// Peers that a node asks after its start.
const PEERS_ASKED: usize = 3;

/// Longest snapshot, in bytes.
const MOST_BYTES: u64 = 8 * 1024 * 1024;

/// Entries whose last changes are handed over with the engines in use, ten bytes each.
const MOST_CHANGES: usize = 256;

/// Threads that hand over snapshots: after a loss of all nodes a hundred ask one at the same moment, each at the end of a
/// slow link.
pub(crate) const SERVERS: usize = 6;

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
    let reflected = lock(&context.listing).applied_version();
    let cordons = cordons::version(context);
    Wanted {
        config: config_version < behind.config_version,
        list: reflected < behind.list_version,
        cordons: cordons < behind.cordons,
        sections: true,
        in_use_suffice: context.peers.duty(context.now()) == Duty::Off,
        ..Wanted::default()
    }
}

/// Takes from peers what this node lacks, as long as the process runs.
pub(crate) fn catch_up(context: &Context) {
    let mut list_asked_at: Option<MonotonicTime> = None;
    let list_bound = Duration::from_millis(context.config.list_watch.bound_millis);
    let list_again = list_bound.mul_f64(LIST_AGAIN_PART);
    loop {
        let behind = context.peers.next_behind();
        context.stop.wait(time_for_others(context));
        let mut wanted = lacks(context, &behind);
        let asked_lately = list_asked_at.is_some_and(|at| context.now().since(at) < list_again);
        wanted.list &= !(wanted.in_use_suffice && asked_lately && context.state.is_ready());
        if !wanted.any() {
            continue;
        }
        if wanted.list {
            list_asked_at = Some(context.now());
        }
        match fetch(behind.peer, wanted) {
            Some(snapshot) => take(context, snapshot, behind.peer),
            None => log::info!(peer:% = behind.peer; "peer_snapshot_failed"),
        }
    }
}

/// Time that others have to tell this node before it asks a peer.
fn time_for_others(context: &Context) -> Duration {
    if !context.state.is_ready() {
        return Duration::ZERO;
    }
    match context.peers.duty(context.now()) {
        Duty::Off => Duration::from_millis(rand::rng().random_range(PEER_FIRST_MILLIS)),
        Duty::Placer | Duty::Shared | Duty::NotKnown => STORE_FIRST,
    }
}

fn take(context: &Context, snapshot: Snapshot, peer: SocketAddr) {
    let source = format!("peer {peer}");
    match snapshot.config {
        Some(config) if config.tenants.is_some() && !snapshot.has_tenant_rates => {
            // An earlier build leaves tenants' rates out, so that they would not be limited; the store has them.
            log::info!(version = config.version, source = source.as_str(); "configuration_without_tenant_rates");
        }
        Some(config) => {
            context.offer(config, &source);
            context.config_watch.on_caught_up();
        }
        None => {}
    }
    if let Some(list) = snapshot.list {
        let changes = snapshot.list_changes;
        take_list(context, &list, snapshot.list_is_partial, changes, &source);
    }
    if let Some(set) = snapshot.cordons {
        cordons::take(context, set, &source);
    }
    lock(&context.router).on_prefix_updates(&snapshot.held, context.now());
}

fn take_list(
    context: &Context,
    list: &ListSnapshot,
    is_partial: bool,
    known_changes: Option<KnownChanges>,
    source: &str,
) {
    context.update_list(source, |listing| {
        let changes = if is_partial {
            let known = known_changes.unwrap_or_else(|| KnownChanges::complete_since(list.version));
            listing.apply_in_use_snapshot(list, &known)
        } else {
            listing.replace(list)
        };
        if !changes.is_empty() {
            lock(&context.recent_changes).reset();
        }
        changes
    });
    context.list_watch.on_caught_up();
}

/// Takes everything from the first of some peers that knows the whole list of engines.
pub(crate) fn take_from_any(context: &Context) {
    // Placers of other regions do not know what the engines of this one hold.
    let peers = context.peers.told_of_load(context.now());
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

/// Takes the engines in use of a placer that named one which this node does not know.
pub(crate) fn take_engines_in_use(context: &Context, placer: SocketAddr) {
    let wanted = Wanted {
        list: true,
        sections: true,
        in_use_suffice: true,
        ..Wanted::default()
    };
    match fetch(placer, wanted) {
        Some(snapshot) => take(context, snapshot, placer),
        None => log::info!(peer:% = placer; "peer_snapshot_failed"),
    }
}

fn fetch(peer: SocketAddr, wanted: Wanted) -> Option<Snapshot> {
    let mut stream = TcpStream::connect_timeout(&peer, PEER_WAIT).ok()?;
    stream.set_read_timeout(Some(PEER_WAIT)).ok()?;
    stream.write_all(&[wanted.to_byte()]).ok()?;
    let mut bytes = Vec::new();
    stream.take(MOST_BYTES).read_to_end(&mut bytes).ok()?;
    Snapshot::decode(&bytes)
        .inspect_err(|error| log::info!(peer:% = peer, error:% = error; "peer_snapshot_unreadable"))
        .ok()
}

/// Hands snapshots to peers, and connections that are to become tunnels to the relay, as long as the process runs.
pub(crate) fn serve(context: &Arc<Context>, listener: &TcpListener) {
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                if hand_over(context, stream, peer).is_none() {
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

fn hand_over(context: &Arc<Context>, mut stream: TcpStream, peer: SocketAddr) -> Option<()> {
    stream.set_read_timeout(Some(PEER_WAIT)).ok()?;
    let mut byte = [0];
    stream.read_exact(&mut byte).ok()?;
    if byte[0] == TUNNEL_REQUEST {
        relay::serve(context, stream, peer);
        return Some(());
    }
    let wanted = Wanted::of_byte(byte[0]);
    let bytes = snapshot(context, wanted).encode(wanted).ok()?;
    stream.set_write_timeout(Some(PEER_WAIT)).ok()?;
    stream.write_all(&bytes).ok()
}

fn snapshot(context: &Context, wanted: Wanted) -> Snapshot {
    let config = context.forwarding().filter(|_| wanted.config);
    let list = wanted.list.then(|| list(context, wanted)).flatten();
    let (list, list_changes) = list.unzip();
    Snapshot {
        has_tenant_rates: config.as_ref().is_some_and(|config| config.tenants.is_some()),
        config: config.map(|config| config.as_ref().clone()),
        cordons: wanted.cordons.then(|| lock(&context.cordons).clone()),
        list_is_partial: list.is_some() && wanted.in_use_suffice,
        list,
        list_changes: list_changes.flatten(),
        held: if wanted.held {
            lock(&context.router).prefix_snapshot()
        } else {
            Vec::new()
        },
    }
}

/// The list as it is wanted, a part of it with what is known of changes; who asks for the whole of it has no use for a part.
fn list(context: &Context, wanted: Wanted) -> Option<(ListSnapshot, Option<KnownChanges>)> {
    // Words are composed with the router locked before the list: neither is held here while the other is taken.
    let in_use = wanted.in_use_suffice.then(|| lock(&context.router).in_use());
    let listing = lock(&context.listing);
    match in_use {
        Some(engines) => Some((
            listing.snapshot_of(&engines),
            Some(listing.known_changes(MOST_CHANGES)),
        )),
        None if listing.is_partial() => None,
        None => Some((listing.snapshot(), None)),
    }
}
