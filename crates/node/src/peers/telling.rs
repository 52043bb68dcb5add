//! Tells other nodes of this node's work.

use super::Peers;
use super::message::{MOST_CHANGES, MOST_ENGINES, MOST_NEWS, WorkMessage};
use crate::context::Context;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::net::{SocketAddr, UdpSocket};
use std::sync::PoisonError;
use std::time::Duration;

/// Least time between two messages to everybody.
const LEAST_PAUSE: Duration = Duration::from_millis(20);

/// Time for which changes that can wait are gathered: work that ended, and what engines came to hold.
const GATHER: Duration = Duration::from_millis(120);

/// Time after which the work is told again though it has not changed.
const TELL_AGAIN: Duration = Duration::from_millis(700);

/// An idle node tells of itself once in so many rounds.
const IDLE_ROUNDS: u32 = 2;

/// Datagrams that a node sends in a second where it tells all others; with more peers it tells of changes less often.
const DATAGRAMS_PER_SECOND: u32 = 600;

/// Datagrams that it sends in a second in a fleet too large for that.
const LARGE_FLEET_DATAGRAMS: u32 = 150;

/// Messages to everybody that may follow on each other at [`LEAST_PAUSE`] after a quiet time.
const MOST_SAVED: u32 = 4;

/// Tells other nodes as long as the process runs.
pub(crate) fn tell(context: &Context, socket: &UdpSocket) {
    let start = rand::random();
    let mut number = 0;
    let mut idle_rounds = 0;
    let mut allowance = Allowance::new(context.now());
    loop {
        let confirmed = context.peers.wait_for_change();
        let now = context.now();
        let peers = if confirmed {
            context.peers.addresses(now)
        } else {
            context.peers.told(&context.config.node, now)
        };
        // What the store has confirmed goes to everybody, and often enough to keep them fresh.
        let rate = if confirmed || context.peers.tells_all() {
            DATAGRAMS_PER_SECOND
        } else {
            LARGE_FLEET_DATAGRAMS
        };
        let nodes_per_word = context.peers.nodes_per_word(now);
        lock(&context.router).set_nodes_per_word(nodes_per_word);
        let message = compose(context, start, number);
        let is_idle = is_idle(&message) && !confirmed;
        idle_rounds = if is_idle { idle_rounds + 1 } else { 0 };
        // The first idle message says that the work has ended; later ones only keep the node known.
        if idle_rounds % IDLE_ROUNDS <= 1 {
            send(socket, &peers, message);
        }
        number += 1;
        context.stop.wait(allowance.spend(peers.len(), rate, now));
    }
}

/// Messages that may be sent, so that many peers do not cost more datagrams: a token bucket.
struct Allowance {
    saved: Duration,
    at: MonotonicTime,
}

impl Allowance {
    fn new(now: MonotonicTime) -> Self {
        Self {
            saved: Duration::ZERO,
            at: now,
        }
    }

    /// Spends a message to so many peers; the time until the next one may be sent.
    fn spend(&mut self, peers: usize, rate: u32, now: MonotonicTime) -> Duration {
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        let price = Duration::from_secs(1).saturating_mul(peers) / rate;
        self.saved = (self.saved + now.since(self.at)).min(price * MOST_SAVED);
        self.at = now;
        let owed = price.saturating_sub(self.saved);
        self.saved = self.saved.saturating_sub(price);
        owed.max(LEAST_PAUSE)
    }
}

fn is_idle(message: &WorkMessage) -> bool {
    message.work.is_empty()
        && message.news.is_empty()
        && message.orders.is_empty()
        && message.list_news.changes.is_empty()
}

fn compose(context: &Context, start: u64, number: u64) -> WorkMessage {
    let now = context.now();
    let config_version = || context.forwarding().map_or(0, |config| config.version);
    let list_version = || lock(&context.listing).changed();
    let list_news = lock(&context.recent_changes).told(MOST_CHANGES, now);
    let mut router = lock(&context.router);
    let mut work = router.own_work();
    work.truncate(MOST_ENGINES);
    WorkMessage {
        node: context.config.node.clone(),
        start,
        number,
        store_answers: context.config_watch.in_contact() && context.list_watch.in_contact(),
        config: context.config_watch.word(now, config_version),
        list: context.list_watch.word(now, list_version),
        list_news,
        work,
        prompt_tokens_per_second: router.own_demand(now),
        orders: router.orders_under_way(now),
        news: router.take_news(MOST_NEWS),
    }
}

fn send(socket: &UdpSocket, peers: &[SocketAddr], message: WorkMessage) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for peer in peers {
        // A datagram that can't leave is as good as lost; the next one says the same.
        let _ = socket.send_to(&bytes, peer);
    }
}

impl Peers {
    /// Waits until there is something to tell, or until it is time to tell again; whether something was confirmed.
    ///
    /// New work at an engine is told at once; other changes are gathered for a while.
    fn wait_for_change(&self) -> bool {
        let quiet = lock(&self.pending);
        let waited = self
            .change
            .wait_timeout_while(quiet, TELL_AGAIN, |pending| !pending.changed);
        let (pending, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        let gather = if timeout.timed_out() {
            Duration::ZERO
        } else {
            GATHER
        };
        let gathered = self
            .change
            .wait_timeout_while(pending, gather, |pending| !pending.urgent);
        let (mut pending, _) = gathered.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *pending).confirmed
    }
}
