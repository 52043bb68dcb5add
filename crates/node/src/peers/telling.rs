//! Tells other nodes of this node's work.

use super::Peers;
use super::message::{MOST_CHANGES, MOST_ENGINES, MOST_NEWS, WorkMessage};
use crate::context::Context;
use shelfjunction_threads::lock;
use std::net::{SocketAddr, UdpSocket};
use std::sync::PoisonError;
use std::time::Duration;

/// Least time between two messages to everybody, so that a busy node gathers changes.
const LEAST_PAUSE: Duration = Duration::from_millis(40);

/// Time after which the work is told again though it has not changed.
const TELL_AGAIN: Duration = Duration::from_millis(700);

/// An idle node tells of itself once in so many rounds.
const IDLE_ROUNDS: u32 = 2;

/// Datagrams that a node sends in a second; with more peers it tells of changes less often.
const DATAGRAMS_PER_SECOND: u32 = 600;

/// Tells other nodes as long as the process runs.
pub(crate) fn tell(context: &Context, socket: &UdpSocket) {
    let start = rand::random();
    let mut number = 0;
    let mut idle_rounds = 0;
    loop {
        let confirmed = context.peers.wait_for_change();
        let now = context.now();
        let peers = context.peers.told(&context.config.node, now);
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
        context.stop.wait(pause(peers.len()));
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
    let config_version = context.forwarding().map_or(0, |config| config.version);
    let list_version = lock(&context.listing).changed();
    let list_news = lock(&context.recent_changes).told(MOST_CHANGES, now);
    let mut router = lock(&context.router);
    let mut work = router.own_work();
    work.truncate(MOST_ENGINES);
    WorkMessage {
        node: context.config.node.clone(),
        start,
        number,
        store_answers: context.config_watch.in_contact() && context.list_watch.in_contact(),
        config: context.config_watch.word(config_version, now),
        list: context.list_watch.word(list_version, now),
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

/// Time until the next message, so that many peers do not cost more datagrams.
fn pause(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    LEAST_PAUSE.max(Duration::from_secs(1).saturating_mul(peers) / DATAGRAMS_PER_SECOND)
}

impl Peers {
    /// Waits until there is something to tell, or until it is time to tell again; whether something was confirmed.
    fn wait_for_change(&self) -> bool {
        let pending = lock(&self.pending);
        let wait = self
            .change
            .wait_timeout_while(pending, TELL_AGAIN, |pending| !pending.changed);
        let (mut pending, _) = wait.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *pending).confirmed
    }
}
