//! Messages about usage, beside builds that don't know them.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::{FencingToken, NodeId, TenantId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::counter::UsageWord;
use shelfjunction_core::metering::replication::{MAX_TENANTS_PER_BATCH, UsageAck, UsageBatch, UsageDigest};
use shelfjunction_core::table::RowVersion;
use shelfjunction_protocol::node_words::{Datagram, MOST_BYTES};
use shelfjunction_protocol::quarantine_messages::QuarantineDatagram;
use shelfjunction_protocol::rate_messages::RateDatagram;
use shelfjunction_protocol::signal_messages::SignalDatagram;
use shelfjunction_protocol::tenant_rate_messages::TenantRateDatagram;
use shelfjunction_protocol::usage_messages::UsageDatagram;

fn tenant(number: usize) -> TenantId {
    TenantId::new(format!("tenant-{number:04}"))
}

fn batch(tenants: usize) -> UsageBatch {
    UsageBatch {
        node: NodeId::new("node-region-zone-0001"),
        start: u64::MAX,
        words: vec![UsageWord {
            window: WindowNumber(350_000_000),
            began_in: WindowNumber(349_999_000),
            total: 1_000_000,
            ended: true,
            counts: (0..tenants).map(|number| (tenant(number), 100_000)).collect(),
        }],
    }
}

fn messages(tenants: usize) -> [UsageDatagram; 4] {
    let own = SubjectHandle::of_number(u64::MAX);
    [
        UsageDatagram::Counts(batch(tenants)),
        UsageDatagram::Copy(batch(tenants)),
        UsageDatagram::Ack(UsageAck {
            from: own,
            start: u64::MAX,
            ended: vec![(WindowNumber(350_000_000), 7)],
        }),
        UsageDatagram::Digest(UsageDigest {
            from: own,
            token: FencingToken(9),
            lease_version: Some(RowVersion(u64::MAX)),
            open_from: WindowNumber(350_000_000),
            sums: vec![(
                WindowNumber(350_000_000),
                (0..tenants).map(|number| (tenant(number), 1_000_000)).collect(),
            )],
        }),
    ]
}

#[test]
fn every_message_fits_comes_back_and_is_unreadable_to_builds_that_do_not_know_it() {
    for message in messages(MAX_TENANTS_PER_BATCH) {
        let bytes = message.encode().unwrap();
        assert!(bytes.len() <= MOST_BYTES, "{}", bytes.len());
        assert_eq!(UsageDatagram::decode(&bytes), Some(message));
        assert_eq!(Datagram::decode(&bytes), None);
        assert_eq!(RateDatagram::decode(&bytes), None);
        assert_eq!(TenantRateDatagram::decode(&bytes), None);
        assert_eq!(QuarantineDatagram::decode(&bytes), None);
        assert_eq!(SignalDatagram::decode(&bytes), None);
        assert_eq!(UsageDatagram::decode(&bytes[..bytes.len() - 1]), None);
    }
}

/// Builds that run side by side understand each other by these bytes; a change of a released variant would go unnoticed.
#[test]
fn the_bytes_of_each_variant_stay_as_they_were_first_written() {
    let hex = |message: &UsageDatagram| -> String {
        let bytes = message.encode().unwrap();
        bytes.iter().map(|byte| format!("{byte:02x}")).collect()
    };
    let written: Vec<String> = messages(1).iter().map(hex).collect();
    assert_eq!(written, WRITTEN);
}

const WRITTEN: [&str; 4] = [
    "4800156e6f64652d726567696f6e2d7a6f6e652d30303031fdffffffffffffffff01fc8093dc14fc988fdc14fc40420f0001010b74656e616e742d30303030fca0860100",
    "4801156e6f64652d726567696f6e2d7a6f6e652d30303031fdffffffffffffffff01fc8093dc14fc988fdc14fc40420f0001010b74656e616e742d30303030fca0860100",
    "4802fffffffffffdffffffffffffffff01fc8093dc1407",
    "4803ffffffffff0901fdfffffffffffffffffc8093dc1401fc8093dc14010b74656e616e742d30303030fc40420f00",
];
