//! What the holder of the lease tells every node about usage.

use super::{Metering, unix};
use crate::context::Context;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::replication::{
    DIGEST_INTERVAL, DigestSums, MAX_SUMS_PER_ROUND, UsageDigest,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::usage_messages::UsageDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Windows before the present one that are taken to have no record before the records were read: all that nodes remember, since
/// with windows of a second those of a takeover would be left out otherwise.
const WINDOWS_NOT_READ: u64 = 24;

/// The digests of this node.
#[derive(Debug, Default)]
pub(super) struct DigestSender {
    sent_at: Option<MonotonicTime>,
    /// The node, counted by address, from which on the next round's sums go out.
    next_sums: usize,
}

impl DigestSender {
    /// Sends a digest if it is due and this node holds the lease.
    pub(super) fn step(&mut self, context: &Context, metering: &Metering) {
        let now = context.now();
        let is_due = self.sent_at.is_none_or(|at| now.since(at) >= DIGEST_INTERVAL);
        let Some(held) = context.authority(now).filter(|_| is_due) else {
            return;
        };
        self.sent_at = Some(now);
        let unix = unix(context);
        let present = WindowNumber::of(unix, metering.settings.window());
        let not_read = WindowNumber(present.0.saturating_sub(WINDOWS_NOT_READ));
        let open_from = lock(&metering.open_from).unwrap_or(not_read);
        let sums = lock(&metering.tally).digest_sums(open_from, unix);
        let digest = UsageDigest {
            from: context.peers.own_handle(),
            token: held.token,
            lease_version: context.lease_version(),
            open_from,
            sums: DigestSums::new(),
        };
        if lock(&metering.replicator).on_digest(&digest, unix, now) {
            self.send(context, digest, sums);
        }
    }

    fn send(&mut self, context: &Context, mut digest: UsageDigest, sums: DigestSums) {
        let addresses = context.peers.addresses(context.now());
        if addresses.is_empty() {
            return;
        }
        let first = self.next_sums % addresses.len();
        let with_sums = MAX_SUMS_PER_ROUND.min(addresses.len());
        self.next_sums = (first + with_sums) % addresses.len();
        let short = UsageDatagram::Digest(digest.clone()).encode();
        digest.sums = sums;
        // Without the sums where they do not fit.
        let long = UsageDatagram::Digest(digest).encode().or_else(|| short.clone());
        for (index, address) in addresses.iter().enumerate() {
            let has_sums = (index + addresses.len() - first) % addresses.len() < with_sums;
            send(context, if has_sums { &long } else { &short }, *address);
        }
    }
}

fn send(context: &Context, bytes: &Option<Vec<u8>>, to: SocketAddr) {
    if let Some(bytes) = bytes {
        context.metrics.usage.sent("digest", bytes.len());
        context.peers.send(bytes, to);
    }
}
