//! Enters this node into the store's list and learns of the others from it.

use super::Peer;
use crate::context::Context;
use crate::ports::{NodeDirectory, NodeEntry};
use shelfjunction_core::identity::NodeId;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Pause after the store gave no answer.
const PAUSE: Duration = Duration::from_millis(700);

/// Part of the time over which nodes that all start at once enter themselves, after which they read the list.
const READ_AFTER: f64 = 1.2;

/// Follows the list as long as the process runs.
pub(crate) fn follow(context: &Context, directory: &dyn NodeDirectory) {
    let begun = context.now();
    let spread = context.config.entering_spread();
    let mut entered = false;
    let mut read_at = begun + spread.mul_f64(READ_AFTER);
    if context.stop.wait(random_part(spread)) {
        return;
    }
    loop {
        if !entered {
            entered = enter(context, directory);
        }
        let now = context.now();
        if now >= read_at {
            let reading = read(context, directory);
            entered = entered && reading.has_own_name;
            read_at = now + reading.next_after;
        }
        let next_at = if entered {
            read_at
        } else {
            read_at.min(now + pause())
        };
        if context.stop.wait(next_at.since(context.now())) {
            return;
        }
    }
}

fn enter(context: &Context, directory: &dyn NodeDirectory) -> bool {
    let own = NodeEntry {
        node: context.config.node.clone(),
        address: context.config.peer_listen,
        processor_thousandths: context.config.processor_thousandths(),
    };
    let outcome = directory.enter(&own);
    if let Err(error) = &outcome {
        log::info!(error:? = error; "node_not_entered");
    }
    outcome.is_ok()
}

/// What came of a reading.
struct Reading {
    next_after: Duration,
    /// Whether this node is on the list, as far as is known.
    has_own_name: bool,
}

fn read(context: &Context, directory: &dyn NodeDirectory) -> Reading {
    match directory.nodes() {
        Ok(entries) => {
            let has_own_name = entries.iter().any(|entry| entry.node == context.config.node);
            note_listed(context, entries);
            remove_silent(context, directory);
            Reading {
                next_after: context.config.directory.read_every(),
                has_own_name,
            }
        }
        Err(error) => {
            log::info!(error:? = error; "nodes_not_read");
            Reading {
                next_after: pause(),
                has_own_name: true,
            }
        }
    }
}

/// Takes names off the list that nobody has used for long, so that what nodes share by their number is not divided by
/// those that are gone for good. One node does it for all.
fn remove_silent(context: &Context, directory: &dyn NodeDirectory) {
    let now = context.now();
    if context.authority(now).is_none() {
        return;
    }
    let silent = context
        .peers
        .silent_for(context.config.directory.forget_after(), now);
    if silent.is_empty() {
        return;
    }
    let names: Vec<&str> = silent.iter().map(NodeId::as_str).collect();
    match directory.remove(&silent) {
        Ok(()) => log::info!(nodes = names.join(","); "nodes_removed"),
        Err(error) => log::info!(nodes = names.join(","), error:? = error; "nodes_not_removed"),
    }
}

/// The pause after a failure, not the same for all, since many fail together.
fn pause() -> Duration {
    PAUSE + random_part(PAUSE)
}

fn random_part(whole: Duration) -> Duration {
    whole.mul_f64(rand::random::<f64>())
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
    context.state.note_nodes_listed();
}
