//! Fetches the contents that the keeper misses: from peers first, then from the object store.

use super::peers;
use crate::config::millis;
use crate::context::Context;
use crate::peer::client;
use shelfjunction_core::bundle::Digest;
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;

/// Most contents asked for at once.
const CONTENTS_PER_REQUEST: usize = 256;

/// Peers asked before the store.
const PEERS_BEFORE_STORE: usize = 3;

/// Most requests for one bundle; far above what any bundle needs.
const MAXIMUM_REQUESTS: usize = 1_000;

/// Fetches until nothing is missing, or until neither peers nor the store give anything more.
pub fn fetch_wanted(context: &Context) {
    for _ in 0..MAXIMUM_REQUESTS {
        let mut wanted = context.bundle.wanted();
        wanted.truncate(CONTENTS_PER_REQUEST);
        if wanted.is_empty() || context.stop.is_set() {
            return;
        }
        let candidates = peers::all(context);
        let (first, rest) = candidates.split_at(candidates.len().min(PEERS_BEFORE_STORE));
        let progressed = first.iter().any(|peer| from_peer(context, peer.address, &wanted))
            || from_store(context, &wanted)
            || rest.iter().any(|peer| from_peer(context, peer.address, &wanted));
        if !progressed {
            log::warn!(contents = wanted.len(); "bundle_contents_unreachable");
            return;
        }
    }
}

fn from_peer(context: &Context, address: SocketAddr, wanted: &[Digest]) -> bool {
    let request = PeerRequest::FetchParts(wanted.iter().map(|digest| digest.0).collect());
    let timeout = millis(context.config.timings.peer_timeout_millis);
    match client::ask(address, &request, timeout) {
        Ok(PeerResponse::Parts(parts)) => took(context, wanted, parts),
        Ok(_) => false,
        Err(error) => {
            log::debug!(peer:% = address, error:% = error; "peer_unreached");
            false
        }
    }
}

fn from_store(context: &Context, wanted: &[Digest]) -> bool {
    let mut found = Vec::new();
    for digest in wanted {
        match context.services.objects.get(&digest.to_hex()) {
            Ok(Some(bytes)) => found.push(bytes),
            Ok(None) => log::debug!(content:% = digest; "content_not_stored"),
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::debug!(error:? = error; "object_store_unread");
                break;
            }
        }
    }
    took(context, wanted, found)
}

/// Hands contents to the keeper; true when something that was missing arrived.
fn took(context: &Context, wanted: &[Digest], contents: Vec<Vec<u8>>) -> bool {
    let useful = contents
        .iter()
        .any(|content| wanted.contains(&Digest::of(content)));
    context.bundle.on_contents(contents);
    useful
}
