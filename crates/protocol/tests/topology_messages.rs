//! Datagrams between nodes of a regional deployment beside builds that don't know them.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{NodeId, RegionId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::roles::region_sums::{PoolSum, SumReport};
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_protocol::topology_messages::{TopologyAnnouncement, TopologyDatagram, ZoneAnnouncement};

fn zone() -> TopologyDatagram {
    TopologyDatagram::Zone(ZoneAnnouncement {
        node: NodeId::new("node-1"),
        zone: ZoneId::new("zone-a"),
    })
}

fn sums() -> TopologyDatagram {
    TopologyDatagram::Sums(Box::new(SumReport {
        sender: SubjectHandle::of_text("node", "node-1"),
        start: u64::MAX,
        number: 9,
        measured_millis: 86_400_000,
        region: RegionId::new("north"),
        pools: vec![PoolSum {
            pool: PoolId("pool-model".to_owned()),
            prompt_tokens_per_second: Some(3_000_000),
            engine_tokens_per_second: 157_000,
            output_engine_thousandths: 2_500,
        }],
    }))
}

fn topology() -> TopologyDatagram {
    TopologyDatagram::Topology(TopologyAnnouncement {
        node: NodeId::new("node-1"),
        start: u64::MAX,
        zone: ZoneId::new("zone-a"),
        digest: 7,
    })
}

/// Guards against a variant that changes the bytes of those before it, and against datagrams that other formats read.
#[test]
fn every_datagram_comes_back_and_is_unreadable_to_builds_that_do_not_know_it() {
    for datagram in [zone(), sums(), topology()] {
        let bytes = datagram.encode().unwrap();
        assert_eq!(TopologyDatagram::decode(&bytes), Some(datagram));
        assert_eq!(Datagram::decode(&bytes), None);
        assert_eq!(TopologyDatagram::decode(&bytes[..bytes.len() - 1]), None);
    }
    let released = [&[68, 0, 6][..], b"node-1", &[6], b"zone-a"].concat();
    assert_eq!(zone().encode().unwrap(), released);
}

/// Guards against reports that cost more bytes between regions than their purpose is worth: two each second from each placer.
#[test]
fn a_report_of_one_pool_is_short() {
    let length = sums().encode().unwrap().len();
    assert!(length <= 70, "{length} bytes");
}
