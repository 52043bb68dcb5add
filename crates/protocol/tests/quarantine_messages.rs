//! Reports on requests that crash engines, between builds with and without confirmations.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::forwarding::{PoolId, RouteId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::quarantine::report::{CrashReport, SuspectReport};
use shelfjunction_core::quarantine::{Asked, Fingerprint};
use shelfjunction_protocol::node_words::{Datagram, MOST_BYTES, MOST_SUSPECTS};
use shelfjunction_protocol::quarantine_messages::QuarantineDatagram;
use std::time::Duration;

fn report(number: u8, crashes: u32, is_isolated: bool) -> SuspectReport {
    let crashes = (0..crashes).map(|engine| CrashReport {
        engine: SubjectHandle::of_text("engine", &engine.to_string()),
        counts_for: Duration::from_secs(600),
        is_isolated,
    });
    SuspectReport {
        fingerprint: Fingerprint([number; 16]),
        asked: Asked {
            route: RouteId("route".to_owned()),
            pool: PoolId("pool".to_owned()),
            tenant: None,
        },
        crashes: crashes.collect(),
        cleared_for: Duration::ZERO,
    }
}

/// Guards against a build that can't read the reports of one that runs beside it.
#[test]
fn reports_of_format_1_keep_their_bytes() {
    let (isolated, shared) = (report(7, 3, true), report(7, 3, false));
    let bytes = Datagram::Suspects(vec![isolated]).encode().unwrap();
    assert_eq!(bytes, Datagram::Suspects(vec![shared.clone()]).encode().unwrap());
    assert_eq!(Datagram::decode(&bytes), Some(Datagram::Suspects(vec![shared])));
}

#[test]
fn a_confirmation_follows_in_a_datagram_that_earlier_builds_drop() {
    let confirmation = report(7, 3, true).confirmation().unwrap();
    let datagram = QuarantineDatagram::Confirmations(vec![confirmation]);
    let bytes = datagram.encode().unwrap();
    assert_eq!(QuarantineDatagram::decode(&bytes), Some(datagram));
    assert_eq!(Datagram::decode(&bytes), None);
    assert_eq!(report(7, 3, false).confirmation(), None);
}

/// A report names as many requests as fit, so their confirmations have to fit as well.
#[test]
fn the_confirmations_of_one_report_fit_into_one_datagram() {
    let reports = (0..MOST_SUSPECTS as u8).map(|number| report(number, 16, true));
    let confirmations = reports.filter_map(|report| report.confirmation()).collect();
    let bytes = QuarantineDatagram::Confirmations(confirmations).encode();
    assert!(bytes.unwrap().len() <= MOST_BYTES);
}
