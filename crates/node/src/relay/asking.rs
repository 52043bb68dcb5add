//! Finds a relay and opens a tunnel through it.

use super::socket;
use super::tunnel::Tunnel;
use crate::context::Context;
use crate::links::Connection;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::reachability::relay::{RelayDirectory, RelayOffer, RelayPeer};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::relay_messages::{RelayDatagram, TUNNEL_REQUEST, TunnelOpening, TunnelReply};
use shelfjunction_threads::lock;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Nodes that are asked for an offer at once.
const ASKED_AT_ONCE: usize = 3;

/// Relays through which one connection is tried.
const MAX_RELAYS_TRIED: usize = 3;

/// Longest wait for a relay to take a connection, and beyond the engine's wait for its reply.
const RELAY_WAIT: Duration = Duration::from_millis(250);

/// Time for which no node is asked again after none has offered to relay.
const NO_OFFER_PAUSE: Duration = Duration::from_millis(200);

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RelayError {
    /// A relay reaches engines, but not this one.
    EngineFailed(TunnelReply),
    /// No node offered to relay, or those that did failed.
    NoRelay,
}

/// Nodes that may relay for this one.
#[derive(Default)]
pub(crate) struct Relays {
    state: Mutex<State>,
    offered: Condvar,
}

#[derive(Default)]
struct State {
    directory: RelayDirectory,
    /// Until when no node is asked, since none has offered to relay.
    no_offer_until: MonotonicTime,
}

impl Relays {
    pub(super) fn on_offer(&self, node: SubjectHandle, offer: RelayOffer, now: MonotonicTime) {
        lock(&self.state).directory.on_offer(node, offer, now);
        self.offered.notify_all();
    }

    /// Notes that a tunnel through a node broke or was silent.
    pub(crate) fn on_failed(&self, node: SubjectHandle, now: MonotonicTime) {
        lock(&self.state).directory.on_failed(node, now);
    }
}

/// Opens a connection to an engine through another node; `wait` bounds the engine's part of it.
pub(crate) fn open(context: &Context, engine: &EngineId, wait: Duration) -> Result<Connection, RelayError> {
    let peers = context.peers.relay_peers(context.now());
    let mut tried = Vec::new();
    let mut is_refused = false;
    while tried.len() < MAX_RELAYS_TRIED {
        let Some(relay) = find(context, engine, &peers, &tried) else {
            break;
        };
        tried.push(relay);
        let opened = open_through(context, relay, engine, wait);
        let result = match &opened {
            Ok(Ok(_)) => TunnelReply::Connected.name(),
            Ok(Err(reply)) => reply.name(),
            Err(_) => "relay_failed",
        };
        context.metrics.relay.opened(result);
        log::info!(
            engine = engine.as_str(),
            relay = context.peers.name_of(relay).as_str(),
            result;
            "relay_opening"
        );
        match opened {
            Ok(Ok(connection)) => {
                lock(&context.relays.state).directory.on_opened(relay);
                return Ok(connection);
            }
            // A refusal comes at once, and the relay may have lost the same path: only several that agree show the engine's end.
            Ok(Err(TunnelReply::EngineRefused)) => is_refused = true,
            Ok(Err(reply @ TunnelReply::EngineTimedOut)) => return Err(RelayError::EngineFailed(reply)),
            Ok(Err(_)) | Err(_) => context.relays.on_failed(relay, context.now()),
        }
    }
    if is_refused {
        return Err(RelayError::EngineFailed(TunnelReply::EngineRefused));
    }
    if tried.is_empty() {
        log::debug!(engine = engine.as_str(), peers = peers.len(); "no_relay_offered");
    }
    Err(RelayError::NoRelay)
}

/// Asks some nodes for offers, without a wait.
pub(crate) fn refresh_offers(context: &Context, engine: &EngineId) {
    let peers = context.peers.relay_peers(context.now());
    ask_some(context, engine, &peers, &[]);
}

/// A node that offers to relay, without those that were tried.
fn find(
    context: &Context,
    engine: &EngineId,
    peers: &[RelayPeer],
    tried: &[SubjectHandle],
) -> Option<SubjectHandle> {
    let best = |state: &State| state.directory.best(peers, tried, context.now());
    {
        let state = lock(&context.relays.state);
        let found = best(&state);
        if found.is_some() || context.now() < state.no_offer_until {
            return found;
        }
    }
    if !ask_some(context, engine, peers, tried) {
        return None;
    }
    let wait = context.config.placing.answer_wait();
    let has_none = |state: &mut State| best(state).is_none();
    let waited = context
        .relays
        .offered
        .wait_timeout_while(lock(&context.relays.state), wait, has_none);
    let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
    let found = best(&state);
    if found.is_none() && tried.is_empty() {
        state.no_offer_until = context.now() + NO_OFFER_PAUSE;
    }
    found
}

/// Asks some nodes for offers; whether there are any to ask.
fn ask_some(context: &Context, engine: &EngineId, peers: &[RelayPeer], tried: &[SubjectHandle]) -> bool {
    let left: Vec<RelayPeer> = peers
        .iter()
        .filter(|peer| !tried.contains(&peer.node))
        .copied()
        .collect();
    let query = RelayDatagram::Query {
        node: context.peers.own_handle(),
        engine: SubjectHandle::of_engine(engine),
    };
    let asked =
        lock(&context.relays.state)
            .directory
            .to_ask(&left, ASKED_AT_ONCE, rand::random(), context.now());
    let Some(bytes) = query.encode() else {
        return false;
    };
    for node in &asked {
        if let Some(address) = context.peers.address_of(*node) {
            context.peers.send(&bytes, address);
        }
    }
    !asked.is_empty()
}

fn open_through(
    context: &Context,
    relay: SubjectHandle,
    engine: &EngineId,
    wait: Duration,
) -> io::Result<Result<Connection, TunnelReply>> {
    let address = context.peers.address_of(relay);
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let (stream, reply) = request_tunnel(address, engine, wait)?;
    if reply != TunnelReply::Connected {
        return Ok(Err(reply));
    }
    socket::prepare(&stream)?;
    let (tunnel, stream) = Tunnel::over(stream, relay);
    let link = context.links.open(Box::new(stream))?;
    Ok(Ok(Connection::relayed(link, tunnel)))
}

fn request_tunnel(
    relay: SocketAddr,
    engine: &EngineId,
    wait: Duration,
) -> io::Result<(TcpStream, TunnelReply)> {
    let mut stream = TcpStream::connect_timeout(&relay, RELAY_WAIT)?;
    stream.set_nodelay(true)?;
    // The relay may look at a second engine before it replies.
    stream.set_read_timeout(Some(RELAY_WAIT + wait * 2))?;
    let opening = TunnelOpening {
        engine: SubjectHandle::of_engine(engine),
        wait,
    };
    let mut request = vec![TUNNEL_REQUEST];
    request.extend(opening.encode());
    stream.write_all(&request)?;
    let mut reply = [0];
    stream.read_exact(&mut reply)?;
    let reply = TunnelReply::of_byte(reply[0]).ok_or(io::ErrorKind::InvalidData)?;
    Ok((stream, reply))
}
