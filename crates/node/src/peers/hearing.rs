//! Takes the words of other nodes.

use super::Peer;
use super::message::{MOST_BYTES, WorkMessage};
use crate::context::Context;
use shelfjunction_threads::lock;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Pause after the socket failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Hears other nodes as long as the process runs.
pub(crate) fn hear(context: &Context, socket: &UdpSocket) {
    let mut bytes = [0; MOST_BYTES];
    loop {
        match socket.recv_from(&mut bytes) {
            Ok((length, from)) => match WorkMessage::decode(&bytes[..length]) {
                Some(message) => take(context, message, from),
                None => log::debug!(from:% = from, length; "datagram_unreadable"),
            },
            Err(error) => {
                log::debug!(error:% = error; "peer_socket_failed");
                context.stop.wait(PAUSE);
            }
        }
    }
}

fn take(context: &Context, message: WorkMessage, from: SocketAddr) {
    let now = context.now();
    if message.node == context.config.node {
        return;
    }
    let position = (message.start, message.number);
    {
        let mut known = lock(&context.peers.known);
        let peer = known
            .peers
            .entry(message.node.clone())
            .or_insert_with_key(|node| {
                log::info!(peer = node.as_str(), address:% = from; "peer_heard");
                Peer {
                    address: from,
                    known_at: now,
                    listed_at: now,
                    last_message: None,
                }
            });
        if peer
            .last_message
            .is_some_and(|last| last.0 == position.0 && last.1 >= position.1)
        {
            return;
        }
        peer.address = from;
        peer.known_at = now;
        peer.last_message = Some(position);
    }
    context.peers.note_versions(context, &message, from);
    let mut router = lock(&context.router);
    router.on_peer_work(&message.node, &message.work, now);
    router.on_peer_news(&message.news, now);
    router.on_peer_demand(&message.node, message.prompt_tokens_per_second, now);
    router.on_ordered(&message.orders, now);
}
