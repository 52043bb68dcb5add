//! Connects to engines, and watches whether this node reaches any.

mod metrics;

pub(crate) use metrics::ContactMetrics;

use crate::context::Context;
use crate::ports::EngineLink;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::reachability::contact::ContactChange;
use shelfjunction_threads::lock;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A connection on which nothing is under way: one that rested, or a new one.
pub(crate) fn take_link(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> io::Result<Box<dyn EngineLink>> {
    match context.links.take_resting(engine, context.now()) {
        Some(link) => Ok(link),
        None => connect(context, engine, address, wait),
    }
}

/// A new connection.
pub(crate) fn connect(
    context: &Context,
    engine: &EngineId,
    address: SocketAddr,
    wait: Duration,
) -> io::Result<Box<dyn EngineLink>> {
    let connected = context.links.connect(address, wait);
    let now = context.now();
    let change = match &connected {
        Ok(_) => lock(&context.engine_contact).on_connected(now),
        Err(_) => lock(&context.engine_contact).on_connect_failed(engine, now),
    };
    context.metrics.contact.connected(&connected);
    if let Some(change) = change {
        report(context, &change);
    }
    connected
}

fn report(context: &Context, change: &ContactChange) {
    match change {
        ContactChange::Lost {
            engines,
            unreached_for,
        } => {
            log::warn!(engines, unreached_millis = unreached_for.as_millis() as u64; "engine_contact_lost");
            context.metrics.contact.lost.set(1);
        }
        ContactChange::Restored { lost_for } => {
            log::info!(lost_millis = lost_for.as_millis() as u64; "engine_contact_restored");
            context.metrics.contact.lost.set(0);
        }
    }
}
