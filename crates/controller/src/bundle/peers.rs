//! Which controllers this one speaks to over TCP.

use crate::context::Context;
use crate::fleet;
use rand::seq::SliceRandom;
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::membership::record::Liveness;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A controller to speak to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its zone; absent for an address from the settings that nothing else is known of.
    pub zone: Option<ZoneId>,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Every other controller known from the records and the settings, in random order.
pub fn all(context: &Context) -> Vec<Peer> {
    let mut known: BTreeMap<SocketAddr, Option<ZoneId>> = BTreeMap::new();
    for seed in &context.config.seeds {
        known.insert(*seed, None);
    }
    let mut unusable = BTreeSet::new();
    for (_, node) in fleet::nodes(context) {
        let Some(controller) = fleet::controller_address(node.service) else {
            continue;
        };
        if node.liveness == Liveness::Dead {
            unusable.insert(controller);
        }
        known.insert(controller, Some(node.zone));
    }
    known.remove(&context.peer_address);
    known.retain(|address, _| !unusable.contains(address));
    let mut peers: Vec<Peer> = known
        .into_iter()
        .map(|(address, zone)| Peer { zone, address })
        .collect();
    peers.shuffle(&mut rand::rng());
    peers
}

/// Up to `count` peers of each zone, chosen at random.
pub fn some_of_each_zone(context: &Context, count: usize) -> Vec<Peer> {
    let mut taken: BTreeMap<Option<ZoneId>, usize> = BTreeMap::new();
    let mut chosen = all(context);
    chosen.retain(|peer| {
        let taken = taken.entry(peer.zone.clone()).or_default();
        *taken += 1;
        *taken <= count
    });
    chosen
}
