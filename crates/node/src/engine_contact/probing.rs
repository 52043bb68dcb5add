//! Probes engines that this node does not reach, and verifies a loss before callers' requests do.

use super::{connect, connect_directly, engines_in_use, note_failed};
use crate::context::Context;
use crate::relay;
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::reachability::reach::PeerEvidence;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Time between two looks at whether a probe is due, while anything is lost.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two looks while nothing is.
const IDLE_LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Engines to which this node connects to learn whether it reaches any; the first answer suffices.
const TRIED_FOR_CONTACT: usize = 2;

/// Longest wait of such an attempt.
const CONTACT_WAIT: Duration = Duration::from_millis(100);

type InUse = BTreeMap<EngineId, (ZoneId, SocketAddr)>;

/// Probes, and closes connections that can't be used again, as long as the process runs.
pub(crate) fn run(context: &Context) {
    while !context.state.is_closing() {
        context.links.sweep(context.now());
        if lock(&context.engine_reach).is_undoubted() {
            let reach = lock(&context.engine_reach);
            let waited = context
                .engine_reach
                .failed
                .wait_timeout_while(reach, IDLE_LOOK_INTERVAL, |reach| reach.is_undoubted());
            drop(waited.unwrap_or_else(PoisonError::into_inner));
            continue;
        }
        let in_use = engines_in_use(context);
        lock(&context.engine_reach).retain(|engine| in_use.contains_key(engine), context.now());
        verify(context, &in_use);
        probe(context, &in_use);
        context.stop.wait(LOOK_INTERVAL);
    }
}

/// Connects to further engines after some failed, so that requests need not find out whether they are reached.
fn verify(context: &Context, in_use: &InUse) {
    let zones = zones(in_use);
    let doubtful = lock(&context.engine_reach).to_verify(&zones, context.now());
    thread::scope(|scope| {
        for engine in &doubtful {
            let Some((_, address)) = in_use.get(engine) else {
                continue;
            };
            scope.spawn(move || {
                if let Ok(connection) = connect(context, engine, *address, max_wait::CONNECT) {
                    context.rest_link(engine, connection, context.now());
                }
            });
        }
    });
}

fn probe(context: &Context, in_use: &InUse) {
    let due = lock(&context.engine_reach).probe_due(&zones(in_use), rand::random(), context.now());
    let Some((engine, (_, address))) = due.and_then(|engine| in_use.get_key_value(&engine)) else {
        return;
    };
    relay::refresh_offers(context, engine);
    let mut connected = connect_directly(context, engine, *address, max_wait::CONNECT).ok();
    let is_unproven = {
        let reach = lock(&context.engine_reach);
        reach.is_isolated() && !reach.should_yield()
    };
    if connected.is_none() && is_unproven {
        // Whether other nodes reach the engine decides whether they should take over.
        connected = connect(context, engine, *address, max_wait::CONNECT).ok();
    }
    if let Some(connection) = connected {
        context.rest_link(engine, connection, context.now());
    }
}

/// Whether this node connects to another engine than the given one, of another zone if there is one.
pub(super) fn reaches_another(context: &Context, engine: &EngineId) -> bool {
    let in_use = engines_in_use(context);
    let zone = in_use.get(engine).map(|(zone, _)| zone.clone());
    let mut others: Vec<_> = in_use.iter().filter(|(other, _)| *other != engine).collect();
    others.sort_by_key(|(_, (other, _))| Some(other) == zone.as_ref());
    others
        .iter()
        .take(TRIED_FOR_CONTACT)
        .any(
            |(other, (_, address))| match connect_directly(context, other, *address, CONTACT_WAIT) {
                Ok(connection) => {
                    context.rest_link(other, connection, context.now());
                    true
                }
                Err(_) => {
                    note_failed(context, other, PeerEvidence::None);
                    false
                }
            },
        )
}

fn zones(in_use: &InUse) -> BTreeMap<EngineId, ZoneId> {
    let zones = in_use
        .iter()
        .map(|(engine, (zone, _))| (engine.clone(), zone.clone()));
    zones.collect()
}
