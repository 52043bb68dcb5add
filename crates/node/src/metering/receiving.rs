//! Takes the counts, acknowledgements and digests of other nodes.

use super::{Metering, unix};
use crate::context::Context;
use shelfjunction_core::metering::replication::{UsageBatch, UsageDigest};
use shelfjunction_protocol::usage_messages::UsageDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Takes a datagram about usage; one that is not counted here is left alone.
pub(crate) fn receive(context: &Context, datagram: UsageDatagram, from: SocketAddr) {
    let Some(metering) = &context.metering else {
        return;
    };
    match datagram {
        UsageDatagram::Counts(batch) => take_counts(context, metering, &batch, from),
        UsageDatagram::Copy(batch) => take_copy(context, metering, &batch),
        UsageDatagram::Ack(ack) => lock(&metering.replicator).on_ack(&ack),
        UsageDatagram::Digest(digest) => take_digest(context, metering, &digest, from),
    }
}

fn take_counts(context: &Context, metering: &Metering, batch: &UsageBatch, from: SocketAddr) {
    if batch.node == context.config.node {
        return;
    }
    let now = unix(context);
    let ack = {
        let mut tally = lock(&metering.tally);
        let of = batch.incarnation();
        batch.words.iter().for_each(|word| tally.take(&of, word, now));
        tally.ack(batch, context.peers.own_handle())
    };
    if let Some(bytes) = ack.and_then(|ack| UsageDatagram::Ack(ack).encode()) {
        context.metrics.usage.sent("ack", bytes.len());
        context.peers.send(&bytes, from);
    }
}

fn take_copy(context: &Context, metering: &Metering, batch: &UsageBatch) {
    let of = batch.incarnation();
    if of == metering.own {
        return;
    }
    let now = unix(context);
    let mut tally = lock(&metering.tally);
    batch
        .words
        .iter()
        .for_each(|word| tally.take_copy(&of, word, now));
}

fn take_digest(context: &Context, metering: &Metering, digest: &UsageDigest, from: SocketAddr) {
    let now = unix(context);
    if !lock(&metering.replicator).on_digest(digest, now, context.now()) {
        log::debug!(token:% = digest.token; "usage_digest_outdated");
        return;
    }
    *lock(&metering.holder_address) = Some((digest.from, from));
    lock(&metering.tally).take_sums(&metering.own, &digest.sums, now);
    if let Some(version) = digest.lease_version {
        context.note_lease_heard(version);
    }
}
