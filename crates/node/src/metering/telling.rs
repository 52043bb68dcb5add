//! Tells this node's counts to those that gather usage.

use super::unix;
use crate::context::Context;
use crate::peers::{Datagram, UsageMessage};
use shelfjunction_core::metering::counter::UsageWord;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time between two tellings: what a killed node has counted and not told is lost, half of this on average.
const TELLS_EVERY: Duration = Duration::from_millis(400);

/// Tellings after which counts of windows that have ended are told again.
const AGAIN_EVERY: u32 = 5;

/// Tenants in one datagram; a name takes some ten bytes, seldom sixty.
const TENANTS_PER_WORD: usize = 60;

/// Tells the counts as long as the process runs.
pub(crate) fn tell(context: &Context) {
    let mut round = 0;
    while !context.stop.wait(TELLS_EVERY) {
        round += 1;
        tell_once(context, round % AGAIN_EVERY == 0);
    }
    // What was counted last must not be lost with the process.
    tell_once(context, true);
}

fn tell_once(context: &Context, again: bool) {
    let Some(metering) = &context.metering else {
        return;
    };
    let words = lock(&metering.counter).words(unix(context), again, TENANTS_PER_WORD);
    if words.is_empty() {
        return;
    }
    let addresses = context.peers.told(context.now());
    for word in words {
        let message = message(context, word);
        super::take(context, &message);
        if let Some(bytes) = Datagram::Usage(Box::new(message)).encode() {
            for address in &addresses {
                context.peers.send(&bytes, *address);
            }
        }
    }
}

fn message(context: &Context, word: UsageWord) -> UsageMessage {
    UsageMessage {
        node: context.config.node.clone(),
        start: context.start,
        word,
    }
}
