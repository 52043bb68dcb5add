//! Tells this node's counts to those that gather usage.

use super::digests::DigestSender;
use super::{Metering, unix};
use crate::context::Context;
use crate::peers::{Datagram, UsageMessage};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::UnixTime;
use shelfjunction_core::metering::counter::{UsageCounter, UsageWord};
use shelfjunction_core::metering::replication::{
    Dispatch, MAX_TENANTS_PER_BATCH, REPLICATION_INTERVAL, ReplicationInput,
};
use shelfjunction_protocol::usage_messages::UsageDatagram;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Rounds between two tellings to all placers, where no digest is heard.
const ROUNDS_TO_PLACERS: u32 = 2;

/// Tellings to all placers after which counts of windows that have ended are told again.
const AGAIN_EVERY: u32 = 3;

/// Tenants in one datagram to the placers; a name takes some ten bytes, seldom sixty.
const TENANTS_PER_WORD: usize = 60;

/// Tells the counts as long as the process runs.
pub(crate) fn tell(context: &Context) {
    let Some(metering) = &context.metering else {
        return;
    };
    let mut digests = DigestSender::default();
    let mut round = 0_u32;
    while !context.stop.wait(REPLICATION_INTERVAL) {
        round += 1;
        digests.step(context, metering);
        tell_replicas(context, metering, false);
        // The holder of the lease may be of a build that sends no digests.
        let hears_holder = lock(&metering.replicator).hears_holder(context.now());
        if !hears_holder && round.is_multiple_of(ROUNDS_TO_PLACERS) {
            let again = (round / ROUNDS_TO_PLACERS).is_multiple_of(AGAIN_EVERY);
            tell_placers(context, metering, |counter, now| {
                counter.words(now, again, TENANTS_PER_WORD)
            });
        }
    }
}

/// Tells everything, when no request is left: what was counted last must not be lost with the process.
pub(crate) fn tell_last(context: &Context) {
    let Some(metering) = &context.metering else {
        return;
    };
    tell_replicas(context, metering, true);
    tell_placers(context, metering, |counter, now| {
        counter.last_words(now, TENANTS_PER_WORD)
    });
}

/// Tells the holder of the lease and the replicas.
fn tell_replicas(context: &Context, metering: &Metering, last: bool) {
    let now = unix(context);
    let mut addresses = context.peers.addresses_by_handle();
    let candidates: Vec<SubjectHandle> = addresses.keys().copied().collect();
    // A node that has read a part of the list may not know the holder otherwise.
    addresses.extend(*lock(&metering.holder_address));
    let input = ReplicationInput {
        candidates: &candidates,
        last,
        unix: now,
        now: context.now(),
    };
    let dispatches = {
        let mut counter = lock(&metering.counter);
        let mut tally = lock(&metering.tally);
        for total in counter.totals(now, last) {
            let words = counter.words_for(total, MAX_TENANTS_PER_BATCH);
            words.iter().for_each(|word| tally.take(&metering.own, word, now));
        }
        let mut replicator = lock(&metering.replicator);
        replicator.dispatches(&mut counter, &tally, &input)
    };
    send(context, &addresses, dispatches);
}

fn send(context: &Context, addresses: &BTreeMap<SubjectHandle, SocketAddr>, dispatches: Vec<Dispatch>) {
    for dispatch in dispatches {
        let (kind, datagram) = if dispatch.is_copy {
            ("copy", UsageDatagram::Copy(dispatch.batch))
        } else {
            ("counts", UsageDatagram::Counts(dispatch.batch))
        };
        if let Some(address) = addresses.get(&dispatch.to)
            && let Some(bytes) = datagram.encode()
        {
            context.metrics.usage.sent(kind, bytes.len());
            context.peers.send(&bytes, *address);
        }
    }
}

/// Tells the placers, in the words of the first format.
fn tell_placers(
    context: &Context,
    metering: &Metering,
    words: impl FnOnce(&mut UsageCounter, UnixTime) -> Vec<UsageWord>,
) {
    let words = words(&mut lock(&metering.counter), unix(context));
    if words.is_empty() {
        return;
    }
    let addresses = context.peers.told(context.now());
    for word in words {
        if let Some(bytes) = Datagram::Usage(Box::new(message(context, word))).encode() {
            for address in &addresses {
                context.metrics.usage.sent("placers", bytes.len());
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
