//! Datagrams of spillover beside builds that do not know them.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::spill::question::{Decline, DeclineReason, SpillAnswer};
use shelfjunction_protocol::node_words::Datagram;
use shelfjunction_protocol::spill_messages::{SpillDatagram, SpillReply};
use shelfjunction_protocol::topology_messages::TopologyDatagram;
use std::time::Duration;

/// Guards against a datagram that an earlier build reads as one of its own formats.
#[test]
fn other_formats_do_not_read_them() {
    let answer = SpillAnswer::Declined(Decline {
        reason: DeclineReason::RegionBusy,
        backoff: Duration::from_millis(700),
    });
    let reply = SpillDatagram::Reply(Box::new(SpillReply {
        number: u64::MAX,
        answer,
    }));
    for datagram in [reply, SpillDatagram::Probe(1), SpillDatagram::ProbeReply(2)] {
        let bytes = datagram.encode().unwrap();
        assert_eq!(bytes[0], 69);
        assert_eq!(SpillDatagram::decode(&bytes), Some(datagram));
        assert!(Datagram::decode(&bytes).is_none() && TopologyDatagram::decode(&bytes).is_none());
        assert_eq!(SpillDatagram::decode(&bytes[..bytes.len() - 1]), None);
    }
}
