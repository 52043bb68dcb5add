//! Exchanges heads with peers: asks them now and then, tells them at once of a bundle that came into force.

use super::fetch::Fetcher;
use super::peers;
use super::state::head_of;
use crate::backoff::spread;
use crate::config::millis;
use crate::context::Context;
use crate::peer::client;
use shelfjunction_core::bundle::{Head, HeadSource};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::{BundleHead, PeerRequest, PeerResponse};
use std::time::Duration;

/// Peers of each zone that are told of a new bundle; each tells as many, until all know.
const ANNOUNCED_PER_ZONE: usize = 2;

/// Peers of each zone that are asked for their head at a time.
const ASKED_PER_ZONE: usize = 1;

/// Time between asks while this controller holds no bundle, or one that nobody has confirmed yet: its gateway takes
/// nothing in so long.
const ASK_UNCONFIRMED: Duration = Duration::from_millis(200);

/// Exchanges heads until the controller stops.
pub fn run(context: &Context) {
    let mut ask_at = context.now();
    let mut fetcher = Fetcher::default();
    loop {
        let wait = ask_at.since(context.now());
        let work = context.bundle.wait_for_work(wait);
        if work.stop {
            return;
        }
        if work.announce {
            announce(context);
        }
        if context.now() >= ask_at {
            ask(context);
            ask_at = context.now() + next_ask(context);
        }
        fetcher.run(context);
    }
}

fn next_ask(context: &Context) -> Duration {
    let interval = millis(context.config.timings.vouch_millis);
    if !context.bundle.is_confirmed(context.now()) {
        return spread(ASK_UNCONFIRMED.min(interval));
    }
    spread(interval)
}

/// Asks one peer of each zone which bundle is current; peers of other zones vouch for it.
fn ask(context: &Context) {
    for peer in peers::some_of_each_zone(context, ASKED_PER_ZONE) {
        let zone = peer.zone.unwrap_or_else(|| context.config.zone.clone());
        exchange(context, peer.address, &PeerRequest::BundleHead, zone);
    }
}

fn announce(context: &Context) {
    let Some(head) = context.bundle.head(context.now()) else {
        return;
    };
    for peer in peers::some_of_each_zone(context, ANNOUNCED_PER_ZONE) {
        let zone = peer.zone.unwrap_or_else(|| context.config.zone.clone());
        exchange(
            context,
            peer.address,
            &PeerRequest::AnnounceHead(head.clone()),
            zone,
        );
    }
}

fn exchange(context: &Context, address: std::net::SocketAddr, request: &PeerRequest, zone: ZoneId) {
    let timeout = millis(context.config.timings.peer_timeout_millis);
    let asked_at = context.now();
    match client::ask(address, request, timeout) {
        Ok(PeerResponse::Head(head)) => learn_from_zone(context, head.as_ref(), zone, asked_at),
        Ok(_) => log::debug!(peer:% = address; "peer_answered_something_else"),
        Err(error) => log::debug!(peer:% = address, error:% = error; "peer_unreached"),
    }
}

/// Takes in a head that somebody announced unasked; it confirms nothing, since nobody knows how long it was on its way.
pub fn learn_announced(context: &Context, announced: &BundleHead) {
    let named = BundleHead {
        confirmed_millis_ago: u64::MAX,
        ..announced.clone()
    };
    learn_from_zone(context, Some(&named), context.config.zone.clone(), context.now());
}

/// Takes in a head that a process of `zone` named when it was asked at `asked_at`.
///
/// An answer vouches for the instant before its question left: it may have lain unread while this process was stopped.
fn learn_from_zone(context: &Context, named: Option<&BundleHead>, zone: ZoneId, asked_at: MonotonicTime) {
    let head: Option<Head> = named.map(head_of);
    let age = named.map_or(u64::MAX, |named| named.confirmed_millis_ago);
    let source = HeadSource::Peer {
        zone,
        confirmed_ago: millis(age),
    };
    context.bundle.on_head(head, &source, asked_at);
}
