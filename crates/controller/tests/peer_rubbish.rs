//! Random bytes on the peer port close their own connection, are counted, and leave the service as it was.
#![allow(clippy::unwrap_used)]

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use shelfjunction_controller::{Controller, ControllerHandle};
use shelfjunction_core::membership::record::{Liveness, Record, RecordBody};
use shelfjunction_protocol::frame::{read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use support::{Engines, Platform, config, engine_machine, engine_status, services};

/// Far above any wait of a test that passes; only a failing test meets it.
const STUCK: Duration = Duration::from_secs(20);

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(STUCK)).unwrap();
    stream
}

fn start() -> (ControllerHandle, Arc<Engines>) {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let (platform, engines) = (Arc::new(Platform::default()), Arc::new(Engines::default()));
    platform
        .machines
        .lock()
        .unwrap()
        .push(engine_machine("engine-1", address));
    engines
        .statuses
        .lock()
        .unwrap()
        .push((address, engine_status("engine-1", 7)));
    let handle = Controller::start_with(config("node-1"), services(&platform, &engines)).unwrap();
    (handle, engines)
}

/// The next record on the engine that holds a status; the machine list alone gives one without.
fn next_engine_record(stream: &mut TcpStream) -> Record {
    let has_status = |record: &Record| match &record.body {
        RecordBody::Engine(body) => body.status.is_some(),
        RecordBody::Node(_) => false,
    };
    loop {
        let Some(PeerResponse::Records(records)) = read_frame(stream).unwrap() else {
            panic!("the stream of records ended");
        };
        if let Some(record) = records.into_iter().find(has_status) {
            return record;
        }
    }
}

fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = connect(address);
    write!(stream, "GET {path} HTTP/1.0\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn random_bytes_close_only_their_own_connection() {
    let (handle, _engines) = start();
    let address = handle.peer_address();
    let mut watcher = connect(address);
    write_frame(&mut watcher, &PeerRequest::WatchFleet).unwrap();
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: 64,
            failure_persistence: None,
            ..Config::default()
        },
        rng,
    );
    let rubbish = proptest::collection::vec(any::<u8>(), 1..2_000);
    runner
        .run(&rubbish, |bytes| {
            let mut stream = connect(address);
            // The controller may have closed before all was written.
            let _ = stream.write_all(&bytes);
            let _ = stream.shutdown(Shutdown::Write);
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
            Ok(())
        })
        .unwrap();
    let mut too_long = connect(address);
    too_long.write_all(&u32::MAX.to_be_bytes()).unwrap();
    let mut answer = Vec::new();
    too_long.read_to_end(&mut answer).unwrap();
    assert!(answer.is_empty());
    let record = next_engine_record(&mut watcher);
    assert_eq!(record.version.incarnation, 7);
    let metrics = get(handle.http_address(), "/metrics");
    let violations = metrics
        .lines()
        .find(|line| line.starts_with("shelfjunction_controller_peer_violations_total"));
    assert!(!violations.unwrap().ends_with(" 0"), "{violations:?}");
    handle.stop();
    handle.wait();
}

#[test]
fn a_watcher_is_told_of_every_change_of_an_engine() {
    let (handle, engines) = start();
    let mut watcher = connect(handle.peer_address());
    write_frame(&mut watcher, &PeerRequest::WatchFleet).unwrap();
    let first = next_engine_record(&mut watcher);
    engines.statuses.lock().unwrap()[0].1.draining = true;
    engines.statuses.lock().unwrap()[0].1.incarnation = 8;
    let changed = loop {
        let record = next_engine_record(&mut watcher);
        let RecordBody::Engine(body) = &record.body else {
            panic!("not an engine's record")
        };
        assert_eq!(body.liveness, Liveness::Alive);
        if body.status.as_ref().unwrap().draining {
            break record;
        }
    };
    assert!(changed.version > first.version);
    assert_eq!(changed.version.incarnation, 8);
    let ready = get(handle.http_address(), "/readyz");
    assert_eq!(ready.split(' ').nth(1), Some("200"), "{ready}");
    handle.stop();
    handle.wait();
}
