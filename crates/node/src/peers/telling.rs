//! Tells other nodes of this node's work.

use super::Peers;
use super::message::{MOST_ENGINES, MOST_NEWS, WorkMessage};
use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{PeerWork, PrefixNews};
use shelfjunction_threads::lock;
use std::net::{SocketAddr, UdpSocket};
use std::sync::PoisonError;
use std::time::Duration;

/// Least time between two messages to everybody, so that a busy node gathers changes.
const LEAST_PAUSE: Duration = Duration::from_millis(40);

/// Time after which the work is told again though it has not changed.
const TELL_AGAIN: Duration = Duration::from_millis(700);

/// Datagrams that a node sends in a second; with more peers it tells of changes less often.
const DATAGRAMS_PER_SECOND: u32 = 200;

/// Tells other nodes as long as the process runs.
pub(crate) fn tell(context: &Context, socket: &UdpSocket) {
    let start = rand::random();
    let mut number = 0;
    let mut told = Vec::new();
    loop {
        context.peers.wait_for_change();
        let (work, news) = {
            let mut router = lock(&context.router);
            (router.own_work(), router.take_news())
        };
        let peers = context.peers.addresses(context.now());
        if work.is_empty() && news.is_empty() && told.is_empty() && number > 0 && !is_due(number) {
            number += 1;
        } else {
            number += 1;
            send(context, socket, &peers, start, number, &work, news);
        }
        told = work;
        context.stop.wait(pause(peers.len()));
    }
}

/// An idle node says so now and then, so that it stays known.
fn is_due(number: u64) -> bool {
    const IDLE_ROUNDS: u64 = 4;
    number.is_multiple_of(IDLE_ROUNDS)
}

fn send(
    context: &Context,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    start: u64,
    number: u64,
    work: &[(SubjectHandle, PeerWork)],
    news: Vec<PrefixNews>,
) {
    let message = WorkMessage {
        node: context.config.node.clone(),
        start,
        number,
        config_version: context.forwarding().map_or(0, |config| config.version),
        list_version: lock(&context.listing).changed(),
        work: work.iter().take(MOST_ENGINES).copied().collect(),
        news: news.into_iter().take(MOST_NEWS).collect(),
    };
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
    fn wait_for_change(&self) {
        let changed = lock(&self.changed);
        let wait = self
            .change
            .wait_timeout_while(changed, TELL_AGAIN, |changed| !*changed);
        let (mut changed, _) = wait.unwrap_or_else(PoisonError::into_inner);
        *changed = false;
    }
}
