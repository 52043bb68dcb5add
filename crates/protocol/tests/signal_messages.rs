//! Messages about what engines said of themselves, beside builds that don't know them.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_protocol::node_words::{Datagram, MOST_BYTES};
use shelfjunction_protocol::rate_messages::RateDatagram;
use shelfjunction_protocol::signal_messages::{MOST_ENGINES, SignalDatagram};

#[test]
fn every_message_fits_comes_back_and_is_unreadable_to_builds_that_do_not_know_it() {
    let engines = (0..MOST_ENGINES as u64).map(|number| SubjectHandle::of_number(u64::MAX - number));
    let messages = [
        SignalDatagram::Draining(engines.collect()),
        SignalDatagram::Overloaded(SubjectHandle::of_number(7)),
    ];
    for message in messages {
        let bytes = message.encode().unwrap();
        assert!(bytes.len() <= MOST_BYTES, "{}", bytes.len());
        assert_eq!(SignalDatagram::decode(&bytes), Some(message));
        assert_eq!(Datagram::decode(&bytes), None);
        assert_eq!(RateDatagram::decode(&bytes), None);
        assert_eq!(SignalDatagram::decode(&bytes[..bytes.len() - 1]), None);
    }
}
