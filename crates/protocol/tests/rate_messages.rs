//! Notices about rate limits beside builds that don't know them.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::identity::NodeId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::{LimitNotice, RateLimit, SlotOutcome, SlotRequest, SlotResponse};
use shelfjunction_protocol::node_words::{Datagram, MOST_BYTES};
use shelfjunction_protocol::rate_messages::{LimitMessage, MOST_NOTICES, RateDatagram};

fn notice(number: u64) -> LimitNotice {
    LimitNotice {
        engine: SubjectHandle::of_number(number),
        limit: RateLimit::new(1.7),
        age_millis: u32::MAX,
        slot_wait_millis: u32::MAX,
    }
}

fn all() -> [RateDatagram; 3] {
    let message = LimitMessage {
        node: NodeId::new("frontend-of-a-long-name-in-some-zone-1000"),
        start: u64::MAX,
        owns_slots: true,
        notices: (0..MOST_NOTICES as u64)
            .map(|number| notice(u64::MAX - number))
            .collect(),
    };
    let question = SlotRequest {
        number: 9,
        notice: notice(3),
        max_wait_millis: 300,
    };
    let answer = SlotResponse {
        number: 9,
        outcome: SlotOutcome::Denied { wait_millis: 700 },
    };
    [
        RateDatagram::Limits(Box::new(message)),
        RateDatagram::Question(question),
        RateDatagram::Answer(answer),
    ]
}

#[test]
fn every_datagram_fits_comes_back_and_is_unreadable_to_builds_that_do_not_know_it() {
    for datagram in all() {
        let bytes = datagram.encode().unwrap();
        assert!(bytes.len() <= MOST_BYTES, "{}", bytes.len());
        assert_eq!(RateDatagram::decode(&bytes), Some(datagram));
        assert_eq!(Datagram::decode(&bytes), None);
        assert_eq!(RateDatagram::decode(&bytes[..bytes.len() - 1]), None);
        assert_eq!(RateDatagram::decode(&bytes[1..]), None);
    }
}

proptest! {
    #[test]
    fn no_bytes_are_read_as_both_kinds_of_datagram(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let one = Datagram::decode(&bytes).is_some();
        let other = RateDatagram::decode(&bytes).is_some();
        prop_assert!(!(one && other));
    }
}
