//! Connects to engines, over this node's own links or through another node, and learns from it what this node reaches.

mod metrics;
mod probing;

pub(crate) use metrics::ContactMetrics;
pub(crate) use probing::run as run_probes;

use crate::context::Context;
use crate::links::Connection;
use crate::relay::{self, RelayError};
use probing::reaches_another;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::reachability::reach::{
    EngineCensus, EngineReach, LossScope, PeerEvidence, ReachChange, Route,
};
use shelfjunction_protocol::relay_messages::TunnelReply;
use shelfjunction_threads::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

/// What this node reaches.
#[derive(Default)]
pub(crate) struct Reach {
    state: Mutex<EngineReach>,
    /// Notified when connecting to an engine failed.
    failed: Condvar,
}

impl std::ops::Deref for Reach {
    type Target = Mutex<EngineReach>;

    fn deref(&self) -> &Self::Target {
        &self.state
    }
}

/// Why there is no connection to an engine.
#[derive(Debug)]
pub(crate) struct ConnectFailure {
    /// What the connection ended with that was tried last.
    pub(crate) error: io::Error,
    /// Whether the engine is at fault: a node that reaches other engines did not reach it.
    pub(crate) is_engines: bool,
}

impl ConnectFailure {
    /// Whether the engine refuses connections, as one that has ended does.
    pub(crate) fn shows_end(&self) -> bool {
        self.is_engines && self.error.kind() == ErrorKind::ConnectionRefused
    }
}

/// A connection on which nothing is under way: one that rested, or a new one.
pub(crate) fn take_link(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> Result<Connection, ConnectFailure> {
    match context
        .links
        .take_resting(engine, route(context, engine), context.now())
    {
        Some(link) => Ok(link),
        None => connect(context, engine, address, wait),
    }
}

/// The same over this node's own links alone, for what engines take from one machine only.
pub(crate) fn take_direct_link(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> Result<Connection, ConnectFailure> {
    let route = route(context, engine);
    if route == Route::Relayed {
        return Err(no_path());
    }
    match context.links.take_resting(engine, route, context.now()) {
        Some(link) => Ok(link),
        None => connect_directly(context, engine, address, wait).map_err(|error| ConnectFailure {
            error,
            is_engines: true,
        }),
    }
}

/// A new connection.
pub(crate) fn connect(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> Result<Connection, ConnectFailure> {
    if route(context, engine) == Route::Direct {
        return match connect_directly(context, engine, address, wait) {
            Ok(connection) => Ok(connection),
            Err(error) => connect_after_failure(context, engine, wait, error),
        };
    }
    match relay::open(context, engine, wait) {
        Ok(connection) => {
            lock(&context.engine_reach).on_relayed();
            Ok(connection)
        }
        Err(RelayError::EngineFailed(reply)) => Err(engine_failed(reply)),
        Err(RelayError::NoRelay) if lock(&context.engine_reach).is_isolated() => Err(no_path()),
        Err(RelayError::NoRelay) => {
            connect_directly(context, engine, address, wait).map_err(|error| ConnectFailure {
                error,
                is_engines: false,
            })
        }
    }
}

/// Connects for another node. A failure counts as the engine's only if another engine takes a connection and no path of this node is
/// in doubt.
pub(crate) fn connect_for_peer(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> Result<TcpStream, TunnelReply> {
    if route(context, engine) == Route::Relayed {
        return Err(TunnelReply::Unreachable);
    }
    let connected = context.links.connect_stream(address, wait);
    context.metrics.contact.connected(&connected);
    match connected {
        Ok(stream) => {
            note_connected(context, engine);
            Ok(stream)
        }
        Err(_) if !reaches_another(context, engine) => {
            note_failed(context, engine, PeerEvidence::None);
            Err(TunnelReply::Unreachable)
        }
        Err(_) if !lock(&context.engine_reach).is_complete() => Err(TunnelReply::Unreachable),
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Err(TunnelReply::EngineRefused),
        Err(_) => Err(TunnelReply::EngineTimedOut),
    }
}

/// Asks another node after connecting failed: where it reaches the engine, the connection passes through it.
fn connect_after_failure(
    context: &Context,
    engine: &EngineId,
    wait: Duration,
    error: io::Error,
) -> Result<Connection, ConnectFailure> {
    let (evidence, outcome) = match relay::open(context, engine, wait) {
        Ok(connection) => (PeerEvidence::Reached, Ok(connection)),
        Err(RelayError::EngineFailed(reply)) => (PeerEvidence::AlsoFailed, Err(engine_failed(reply))),
        Err(RelayError::NoRelay) => {
            let is_engines = reaches_another(context, engine);
            (PeerEvidence::None, Err(ConnectFailure { error, is_engines }))
        }
    };
    note_failed(context, engine, evidence);
    outcome
}

fn connect_directly(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> io::Result<Connection> {
    let connected = context.links.connect(address, wait);
    context.metrics.contact.connected(&connected);
    if connected.is_ok() {
        note_connected(context, engine);
    }
    connected
}

fn engine_failed(reply: TunnelReply) -> ConnectFailure {
    let kind = match reply {
        TunnelReply::EngineRefused => ErrorKind::ConnectionRefused,
        _ => ErrorKind::TimedOut,
    };
    ConnectFailure {
        error: kind.into(),
        is_engines: true,
    }
}

fn no_path() -> ConnectFailure {
    ConnectFailure {
        error: ErrorKind::NetworkUnreachable.into(),
        is_engines: false,
    }
}

/// How an engine is connected to now.
fn route(context: &Context, engine: &EngineId) -> Route {
    let zone = zone_of(context, engine);
    lock(&context.engine_reach).route(engine, &zone)
}

/// Zone of an engine; an empty one where it is not in use.
fn zone_of(context: &Context, engine: &EngineId) -> ZoneId {
    let router = lock(&context.router);
    let zone = router.engine(engine).map(|state| state.engine.zone.clone());
    zone.unwrap_or_else(|| ZoneId::new(""))
}

/// Engines in use that are not about to leave, with their zones.
fn engines_in_use(context: &Context) -> BTreeMap<EngineId, (ZoneId, SocketAddr)> {
    let router = lock(&context.router);
    let in_use = router.engines().filter(|state| state.is_active());
    in_use
        .map(|state| {
            let engine = &state.engine;
            (engine.id.clone(), (engine.zone.clone(), engine.address))
        })
        .collect()
}

fn note_connected(context: &Context, engine: &EngineId) {
    let zone = zone_of(context, engine);
    let changes = lock(&context.engine_reach).on_connected(engine, &zone, context.now());
    apply(context, &changes);
}

fn note_failed(context: &Context, engine: &EngineId, evidence: PeerEvidence) {
    let zone = zone_of(context, engine);
    let in_use = engines_in_use(context);
    let zones: BTreeSet<&ZoneId> = in_use.values().map(|(zone, _)| zone).collect();
    let census = EngineCensus {
        engines: in_use.len(),
        engines_of_zone: in_use.values().filter(|(other, _)| *other == zone).count(),
        zones: zones.len(),
    };
    let changes =
        lock(&context.engine_reach).on_connect_failed(engine, &zone, evidence, census, context.now());
    context.engine_reach.failed.notify_all();
    apply(context, &changes);
}

/// Closes connections over what is lost, or over relays that are not needed any more, and logs the changes.
fn apply(context: &Context, changes: &[ReachChange]) {
    for change in changes {
        let (scope, closes) = match change {
            ReachChange::Lost { scope, .. } => (scope, Route::Direct),
            ReachChange::Restored { scope, .. } => (scope, Route::Relayed),
        };
        match scope {
            LossScope::All => context.links.forget_route(closes, |_| true),
            LossScope::Engine(engine) => context.links.forget_route(closes, |other| other == engine),
            LossScope::Zone(zone) => {
                let in_use = engines_in_use(context);
                let lies_there =
                    |engine: &EngineId| in_use.get(engine).is_some_and(|(other, _)| other == zone);
                context.links.forget_route(closes, lies_there);
            }
        }
        report(context, change);
    }
    if !changes.is_empty() {
        let reach = lock(&context.engine_reach);
        context.metrics.contact.lost.set(i64::from(reach.is_isolated()));
        context.metrics.contact.lost_paths.set(reach.lost_paths() as i64);
    }
}

fn report(context: &Context, change: &ReachChange) {
    match change {
        ReachChange::Lost {
            scope,
            engines,
            is_confirmed,
            unreached_for,
        } => {
            let (scope, name) = scope_names(scope);
            context.metrics.contact.changed(scope, "lost");
            log::warn!(
                scope,
                name,
                engines,
                confirmed_by_peer = is_confirmed,
                unreached_millis = unreached_for.as_millis() as u64;
                "engine_contact_lost"
            );
        }
        ReachChange::Restored { scope, lost_for } => {
            let (scope, name) = scope_names(scope);
            context.metrics.contact.changed(scope, "restored");
            log::info!(scope, name, lost_millis = lost_for.as_millis() as u64; "engine_contact_restored");
        }
    }
}

fn scope_names(scope: &LossScope) -> (&'static str, &str) {
    match scope {
        LossScope::All => ("all", ""),
        LossScope::Zone(zone) => ("zone", zone.as_str()),
        LossScope::Engine(engine) => ("engine", engine.as_str()),
    }
}
