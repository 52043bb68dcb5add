//! Carries on what membership finds out: newer bundles elsewhere, confirmations, and a machine that leaves.

use crate::bundle::{BundleState, learn_announced};
use crate::config::millis;
use crate::context::Context;
use crate::peer::client;
use shelfjunction_core::bundle::HeadSource;
use shelfjunction_core::membership::events::GossipEvent;
use shelfjunction_core::membership::wire::Head as GossipHead;
use shelfjunction_core::orders::CommanderEvent;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::{BundleHead, PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an event before confirmations are carried over.
const EVENT_WAIT: Duration = Duration::from_millis(250);

/// Follows membership until the controller stops.
pub fn run(context: &Context) {
    while !context.stop.is_set() {
        for event in context.gossip.wait_events(EVENT_WAIT) {
            take(context, event);
        }
        carry_confirmations(context);
    }
}

fn take(context: &Context, event: GossipEvent) {
    match event {
        GossipEvent::HeadHeard { head, .. } => {
            let named = BundleHead {
                generation: head.generation,
                manifest: head.manifest,
                confirmed_millis_ago: u64::MAX,
            };
            learn_announced(context, &named);
        }
        GossipEvent::FactsDiffer { from } => fetch_facts(context, from),
        GossipEvent::OwnMachineLeaving => {
            log::info!(node:% = context.config.node; "own_machine_leaves");
            context.command.send(CommanderEvent::Release);
        }
    }
}

/// Fetches the facts of a peer in bulk, as after a start or a long cut; another peer serves next time if it fails.
fn fetch_facts(context: &Context, from: SocketAddr) {
    let timeout = millis(context.config.timings.peer_timeout_millis);
    match client::ask(from, &PeerRequest::FetchFacts, timeout) {
        Ok(PeerResponse::Facts(facts)) => context.gossip.merge_bulk(facts),
        Ok(_) => log::debug!(peer:% = from; "peer_answered_something_else"),
        Err(error) => log::debug!(peer:% = from, error:% = error; "facts_unfetched"),
    }
}

/// Membership passes on the age of the last confirmation with every datagram; the keeper learns it from there.
fn carry_confirmations(context: &Context) {
    let now = context.now();
    let Some(head) = context.bundle.head(now) else {
        return;
    };
    context.gossip.set_head(GossipHead {
        generation: head.generation,
        manifest: head.manifest,
    });
    if let Some(confirmed_ago) = context.gossip.head_confirmed_age() {
        note(&context.bundle, &head, confirmed_ago, context, now);
    }
}

fn note(
    bundle: &BundleState,
    head: &BundleHead,
    confirmed_ago: Duration,
    context: &Context,
    now: MonotonicTime,
) {
    let source = HeadSource::Peer {
        zone: context.config.zone.clone(),
        confirmed_ago,
    };
    bundle.on_head(Some(crate::bundle::head_of(head)), &source, now);
}
