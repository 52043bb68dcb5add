//! The HTTP adapter of the platform against its stand-in: what each kind of failure may claim.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::{ModelId, RegionId, WeightVersion, ZoneId};
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use shelfjunction_core::table::{Check, PlatformError, RowKey, Transaction, TransactionOutcome, Write};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::platform::config::{PlatformLimits, RateLimit};
use shelfjunction_lab::platform::faults::{LostAnswers, Outage, PlatformFaults, ServiceFaults};
use shelfjunction_lab::platform::state::{PlatformAnswer, PlatformCall, PlatformState};
use shelfjunction_lab::platform::{PlatformConfig, PlatformHandle, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_platform::services::{MachineList, ObjectStore, TableService, WeightStore};
use std::io::{Read, Write as _};
use std::net::TcpListener;
use std::thread;

fn start(config: PlatformConfig) -> (PlatformHandle, HttpPlatform) {
    let server = PlatformServer::start(config).unwrap();
    let client = HttpPlatform::new(server.address(), PlatformTimeouts::default());
    (server, client)
}

fn create(key: &str) -> Transaction {
    let key = RowKey(key.to_owned());
    Transaction {
        checks: vec![Check {
            key: key.clone(),
            expected: None,
        }],
        writes: vec![Write {
            key,
            value: Some("{}".to_owned()),
        }],
    }
}

fn faults(faults: ServiceFaults) -> PlatformFaults {
    PlatformFaults::everywhere(faults)
}

#[test]
fn rows_objects_machines_and_weights_pass_the_wire() {
    let (_server, client) = start(PlatformConfig::default());
    let key = RowKey("claim/a b%&=?/\u{e4}".to_owned());
    assert!(matches!(
        client.transact(&create(&key.0)).unwrap(),
        TransactionOutcome::Committed { .. }
    ));
    let row = client.read(&key).unwrap().unwrap();
    assert_eq!(client.scan("claim/a ").unwrap(), vec![row.clone()]);
    assert_eq!(client.scan("claim/b").unwrap(), vec![]);
    let conflict = TransactionOutcome::Conflict {
        key: key.clone(),
        found: Some(row),
    };
    assert_eq!(client.transact(&create(&key.0)).unwrap(), conflict);
    assert_eq!(client.get("00ff").unwrap(), None);
    client.put("00ff", &[0, 159, 146, 150]).unwrap();
    assert_eq!(client.get("00ff").unwrap(), Some(vec![0, 159, 146, 150]));
    assert!(matches!(client.get("../x"), Err(PlatformError::Malformed(_))));
    assert_eq!(client.machines().unwrap(), vec![]);
    let queue = client.queue_millis(&ModelId::new("renewal"), &WeightVersion::new("1"));
    assert_eq!(queue, Ok(0));
}

#[test]
fn only_certain_failures_are_called_unavailable() {
    let (server, client) = start(PlatformConfig::default());
    server.set_faults(PlatformFaults::outage());
    assert_eq!(client.transact(&create("a")), Err(PlatformError::Unavailable));

    server.set_faults(faults(ServiceFaults {
        outage: Outage::Silent,
        ..ServiceFaults::default()
    }));
    assert_eq!(client.transact(&create("b")), Err(PlatformError::AnswerLost));

    server.set_faults(faults(ServiceFaults {
        lost_answers: LostAnswers::Next(1),
        ..ServiceFaults::default()
    }));
    assert_eq!(client.transact(&create("c")), Err(PlatformError::AnswerLost));
    let stored = client.scan("").unwrap();
    let keys: Vec<&str> = stored.iter().map(|row| row.key.0.as_str()).collect();
    assert_eq!(keys, ["c"], "only the lost answer's transaction took effect");

    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let nobody = HttpPlatform::new(closed, PlatformTimeouts::default());
    assert_eq!(nobody.transact(&create("d")), Err(PlatformError::Unavailable));
}

/// Answers one call with these bytes and closes; a proxy or a broken server between.
fn answer_once(bytes: &'static [u8]) -> HttpPlatform {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut first = [0; 1024];
        let _ = stream.read(&mut first).unwrap();
        stream.write_all(bytes).unwrap();
    });
    HttpPlatform::new(address, PlatformTimeouts::default())
}

#[test]
fn a_foreign_answer_is_no_proof_that_nothing_was_done() {
    let bad_gateway = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 4\r\n\r\nbusy";
    let outcome = answer_once(bad_gateway).transact(&create("a"));
    assert!(matches!(outcome, Err(PlatformError::Malformed(_))), "{outcome:?}");

    let redirect =
        b"HTTP/1.1 307 Temporary Redirect\r\nlocation: http://127.0.0.1:1/\r\ncontent-length: 0\r\n\r\n";
    let outcome = answer_once(redirect).transact(&create("a"));
    assert!(matches!(outcome, Err(PlatformError::Malformed(_))), "{outcome:?}");

    let cut_short = b"HTTP/1.1 200 OK\r\ncontent-length: 400\r\n\r\n{";
    assert_eq!(
        answer_once(cut_short).transact(&create("a")),
        Err(PlatformError::AnswerLost)
    );
    assert_eq!(
        answer_once(b"").transact(&create("a")),
        Err(PlatformError::AnswerLost)
    );
}

#[test]
fn a_caller_over_its_rate_is_told_when_to_come_back() {
    let limits = PlatformLimits {
        table: RateLimit {
            calls_per_second: 0.01,
            burst: 1.0,
        },
        ..PlatformLimits::default()
    };
    let (_server, client) = start(PlatformConfig {
        limits,
        ..PlatformConfig::default()
    });
    client.transact(&create("a")).unwrap();
    let Err(PlatformError::Throttled { retry_after_millis }) = client.transact(&create("b")) else {
        panic!("the second call is over the rate");
    };
    assert!(retry_after_millis > 0);
}

#[test]
fn a_machine_list_lags_and_loads_queue() {
    let limits = PlatformLimits {
        machine_lag_millis: 500,
        weight_bytes_per_second: 1_000,
        ..PlatformLimits::default()
    };
    let machine = |name: &str| Machine {
        name: name.to_owned(),
        zone: ZoneId::new("z"),
        region: RegionId::new("r"),
        service: MachineService::ModelEngine {
            address: "127.0.0.1:1".parse().unwrap(),
        },
        state: MachineState::Live,
    };
    let mut state = PlatformState::new(&limits, vec![machine("first")]);
    state.set_machines(vec![machine("second")], MonotonicTime::from_millis(100));
    let mut names_at = |millis| {
        let handled = state.handle(PlatformCall::Machines, MonotonicTime::from_millis(millis));
        match handled.result {
            Ok(PlatformAnswer::Machines(machines)) => machines[0].name.clone(),
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(names_at(599), "first");
    assert_eq!(names_at(600), "second");
    let mut load = |millis| {
        let call = PlatformCall::LoadWeights {
            model: ModelId::new("m"),
            version: WeightVersion::new("1"),
            bytes: 2_000,
        };
        state.handle(call, MonotonicTime::from_millis(millis)).result
    };
    assert_eq!(load(1_000), Ok(PlatformAnswer::WeightMillis(2_000)));
    assert_eq!(load(1_500), Ok(PlatformAnswer::WeightMillis(3_500)));
}
