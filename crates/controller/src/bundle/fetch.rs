//! Fetches the contents that the keeper misses: from peers first, then from the object store.

use super::peers;
use crate::backoff::Backoff;
use crate::config::millis;
use crate::context::Context;
use crate::peer::client;
use shelfjunction_core::bundle::Digest;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::SocketAddr;
use std::time::Duration;

/// Most contents asked for at once.
const CONTENTS_PER_REQUEST: usize = 256;

/// Peers asked before the store.
const PEERS_BEFORE_STORE: usize = 3;

/// Most requests for one bundle; far above what any bundle needs.
const MAXIMUM_REQUESTS: usize = 1_000;

/// Longest wait before the same contents are looked for again.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

/// Shortest wait before the same contents are looked for again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);

/// Paces the search for contents that nobody has, as when a peer names a bundle that does not exist.
#[derive(Debug)]
pub struct Fetcher {
    missed: Vec<Digest>,
    backoff: Backoff,
    retry_at: MonotonicTime,
}

impl Default for Fetcher {
    fn default() -> Self {
        Self {
            missed: Vec::new(),
            backoff: Backoff::new(SHORTEST_PAUSE, LONGEST_PAUSE),
            retry_at: MonotonicTime::default(),
        }
    }
}

impl Fetcher {
    /// Fetches what is missing, unless the same was looked for in vain a short while ago.
    pub fn run(&mut self, context: &Context) {
        let wanted = context.bundle.wanted();
        if wanted.is_empty() || (wanted == self.missed && context.now() < self.retry_at) {
            return;
        }
        if wanted != self.missed {
            self.backoff.succeeded();
        }
        self.missed = fetch(context);
        self.retry_at = context.now() + self.backoff.failed();
    }
}

/// Fetches until nothing is missing, or until neither peers nor the store give anything more; gives what is left.
fn fetch(context: &Context) -> Vec<Digest> {
    for _ in 0..MAXIMUM_REQUESTS {
        let missing = context.bundle.wanted();
        if missing.is_empty() || context.stop.is_set() {
            return missing;
        }
        let mut wanted = missing.clone();
        wanted.truncate(CONTENTS_PER_REQUEST);
        let candidates = peers::all(context);
        let (first, rest) = candidates.split_at(candidates.len().min(PEERS_BEFORE_STORE));
        let progressed = first.iter().any(|peer| from_peer(context, peer.address, &wanted))
            || from_store(context, &wanted)
            || rest.iter().any(|peer| from_peer(context, peer.address, &wanted));
        if !progressed {
            log::warn!(contents = missing.len(); "bundle_contents_unreachable");
            return missing;
        }
    }
    context.bundle.wanted()
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
