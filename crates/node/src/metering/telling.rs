//! Tells this node's counts to those that gather usage.

use super::unix;
use crate::context::Context;
use crate::peers::{Datagram, UsageMessage};
use shelfjunction_core::metering::UnixTime;
use shelfjunction_core::metering::counter::{UsageCounter, UsageWord};
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time between two tellings: what a killed node has counted and not told is lost, half of this on average.
const TELLS_EVERY: Duration = Duration::from_millis(400);

/// Tellings after which counts of windows that have ended are told again.
const AGAIN_EVERY: u32 = 3;

/// Tenants in one datagram; a name takes some ten bytes, seldom sixty.
const TENANTS_PER_WORD: usize = 60;

/// Tells the counts as long as the process runs.
pub(crate) fn tell(context: &Context) {
    let mut round = 0;
    while !context.stop.wait(TELLS_EVERY) {
        round += 1;
        let again = round % AGAIN_EVERY == 0;
        tell_words(context, |counter, now| {
            counter.words(now, again, TENANTS_PER_WORD)
        });
    }
}

/// Tells everything, when no request is left: what was counted last must not be lost with the process.
pub(crate) fn tell_last(context: &Context) {
    tell_words(context, |counter, now| counter.last_words(now, TENANTS_PER_WORD));
}

fn tell_words(context: &Context, words: impl FnOnce(&mut UsageCounter, UnixTime) -> Vec<UsageWord>) {
    let Some(metering) = &context.metering else {
        return;
    };
    let words = words(&mut lock(&metering.counter), unix(context));
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
