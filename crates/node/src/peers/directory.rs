//! Enters this node into the store's list and learns of the others from it.

use super::Peer;
use crate::context::Context;
use crate::ports::{NodeDirectory, NodeEntry};
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time between two readings; nodes that come in between are heard.
const READ_EVERY: Duration = Duration::from_secs(60);

/// Pause after the store gave no answer.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Follows the list as long as the process runs.
pub(crate) fn follow(context: &Context, directory: &dyn NodeDirectory) {
    let own = NodeEntry {
        node: context.config.node.clone(),
        address: context.config.peer_listen,
        processor_thousandths: context.config.processor_thousandths(),
    };
    let mut entered = false;
    loop {
        if !entered {
            entered = directory.enter(&own).is_ok();
        }
        let read = directory.nodes();
        let pause = if entered && read.is_ok() {
            READ_EVERY
        } else {
            PAUSE
        };
        match read {
            Ok(entries) => note_listed(context, entries),
            Err(error) => log::info!(error:? = error; "nodes_not_read"),
        }
        if context.stop.wait(pause) {
            return;
        }
    }
}

fn note_listed(context: &Context, entries: Vec<NodeEntry>) {
    let now = context.now();
    let mut known = lock(&context.peers.known);
    let others = entries
        .into_iter()
        .filter(|entry| entry.node != context.config.node);
    for entry in others {
        let address = entry.address;
        let peer = known.peers.entry(entry.node).or_insert_with_key(|node| {
            log::info!(peer = node.as_str(), address:% = address; "peer_listed");
            Peer::new(node, address, now)
        });
        peer.listed_at = now;
        peer.processor_thousandths = entry.processor_thousandths;
    }
    known.listed = true;
}
