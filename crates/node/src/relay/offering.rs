//! Answers nodes that look for a relay, and takes the answers of others.

use super::serving::MAX_TUNNELS;
use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::reachability::reach::Route;
use shelfjunction_core::reachability::relay::RelayOffer;
use shelfjunction_protocol::relay_messages::RelayDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Takes a datagram about relays.
pub(crate) fn receive(context: &Context, datagram: RelayDatagram, from: SocketAddr) {
    match datagram {
        RelayDatagram::Query { node, engine } => {
            log::debug!(node:? = node, from:% = from; "relay_asked");
            let reply = RelayDatagram::Offer {
                node: context.peers.own_handle(),
                offer: offer(context, engine),
            };
            if let Some(bytes) = reply.encode() {
                context.peers.send(&bytes, from);
            }
        }
        RelayDatagram::Offer { node, offer } => context.relays.on_offer(node, offer, context.now()),
    }
}

fn offer(context: &Context, engine: SubjectHandle) -> RelayOffer {
    let known = {
        let router = lock(&context.router);
        let known = router.engine_by_handle(engine);
        known.and_then(|known| Some((router.engine(&known)?.engine.zone.clone(), known)))
    };
    let reach = lock(&context.engine_reach);
    let takes_tunnels = context.state.is_ready();
    RelayOffer {
        reaches_engine: known.is_some_and(|(zone, known)| reach.route(&known, &zone) == Route::Direct),
        reaches_any: !reach.is_isolated(),
        open: context.served_tunnels.open(),
        capacity: if takes_tunnels { MAX_TUNNELS } else { 0 },
    }
}
