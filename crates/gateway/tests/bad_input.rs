//! Whatever arrives at the port, the gateway answers with a clear error or closes, and serves on.

#![allow(clippy::unwrap_used)]

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use shelfjunction_gateway::GatewayHandle;
use shelfjunction_http::HttpLimits;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use support::{Fleet, json, model_call, wait_until_closed};

/// Far above what a well-behaved caller needs on a busy machine; a silent one is waited for this long.
const SILENCE_MILLIS: u64 = 4_000;

const SMALL: HttpLimits = HttpLimits {
    connections: 8,
    head_bytes: 2_048,
    body_bytes: 4_096,
    head_millis: SILENCE_MILLIS,
    idle_millis: SILENCE_MILLIS,
    body_millis: SILENCE_MILLIS,
    write_millis: SILENCE_MILLIS,
    memory_megabytes: 256,
};

/// Sends raw bytes and reads until the gateway closes; what it said.
fn exchange(gateway: &GatewayHandle, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(gateway.address()).unwrap();
    // The gateway may close while this still writes.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut told = Vec::new();
    let _ = stream.read_to_end(&mut told);
    drop(stream);
    wait_until_closed(gateway);
    String::from_utf8_lossy(&told).into_owned()
}

fn serves(fleet: &Fleet, gateway: &GatewayHandle) {
    let mut answer = fleet.post(gateway, "norrapotek", None, &model_call("renew", false));
    let said = answer.body_mut().read_to_string().unwrap();
    assert_eq!(answer.status(), 200, "{said}");
}

#[test]
fn heads_that_lie_get_a_clear_error() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway_with(SMALL);
    let long = "x".repeat(3_000);
    let many = "a: b\r\n".repeat(70);
    let cases = [
        // One such header ends a process that takes it at its word.
        ("Content-Length: 100000000000000\r\n", "413"),
        ("Content-Length: 18446744073709551615\r\n", "413"),
        ("Content-Length: 99999999999999999999999\r\n", "413"),
        ("Content-Length: -1\r\n", "400"),
        ("Content-Length: 3\r\nContent-Length: 4\r\n", "400"),
        ("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "411"),
        ("Transfer-Encoding: chunked\r\n", "411"),
        ("no colon\r\n", "400"),
        (&format!("long: {long}\r\n"), "431"),
        (&many, "431"),
    ];
    for (headers, status) in cases {
        let told = exchange(
            &gateway,
            format!("POST /v1/completions HTTP/1.1\r\nHost: x\r\n{headers}\r\n{{}}").as_bytes(),
        );
        assert!(
            told.starts_with(&format!("HTTP/1.1 {status} ")),
            "{headers:.60}: {told}"
        );
        assert!(told.contains(r#""outcome":"not_run""#), "{told}");
    }
    serves(&fleet, &gateway);
}

#[test]
fn bodies_that_are_no_call_get_a_clear_error() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    let cases = [
        ("", 400),
        ("{", 400),
        (r#"{"model":"renewal"}"#, 400),
        (r#"{"model":"renewal","prompt":7}"#, 400),
        (r#"{"model":"renewal","prompt":"p","temperature":1}"#, 400),
        (r#"{"model":"renewal","prompt":"p","max_tokens":0}"#, 400),
        (r#"{"model":"renewal","prompt":"p","max_tokens":4294967296}"#, 400),
        (r#"{"model":"renewal","prompt":"p","deadline_millis":0}"#, 400),
        (r#"{"model":"renewal","prompt":"p","priority":"first"}"#, 400),
        (r#"{"model":"nobody","prompt":"p"}"#, 404),
        (r#"{"model":"renewal:nobody","prompt":"p"}"#, 404),
    ];
    for (body, status) in cases {
        let answer = fleet.post(&gateway, "norrapotek", None, body);
        assert_eq!(answer.status(), status, "{body}");
        assert_eq!(json(answer)["error"]["outcome"], "not_run", "{body}");
    }
    assert!(fleet.engines.calls().is_empty());
    serves(&fleet, &gateway);
}

#[test]
fn rubbish_harms_nobody_else() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway_with(SMALL);
    let rubbish = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..300),
        "(GET|POST|DELETE|[A-Z]{1,9}) /(v1|admin|metrics|[a-z%]{0,9})/[ -~]{0,40} HTTP/1\\.[0-9]\r\n([A-Za-z-]{1,20}: [ -~]{0,30}\r\n){0,5}(\r\n)?"
            .prop_map(String::into_bytes),
        ("[ -~]{0,40}", prop::collection::vec(any::<u8>(), 0..200)).prop_map(|(token, body)| {
            let head = format!(
                "POST /v1/completions HTTP/1.1\r\nAuthorization: Bearer {token}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            [head.into_bytes(), body].concat()
        }),
    ];
    let config = Config {
        cases: 150,
        failure_persistence: None,
        ..Config::default()
    };
    let run = TestRunner::new(config).run(&rubbish, |bytes| {
        let told = exchange(&gateway, &bytes);
        prop_assert!(told.is_empty() || told.starts_with("HTTP/1.1 "), "{told}");
        Ok(())
    });
    run.unwrap();
    serves(&fleet, &gateway);
}

#[test]
fn a_silent_or_slow_caller_holds_only_its_own_connection() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway_with(SMALL);
    let mut held: Vec<TcpStream> = Vec::new();
    for _ in 0..7 {
        let mut stream = TcpStream::connect(gateway.address()).unwrap();
        stream.write_all(b"POST /v1/completions HTTP/1.1\r\n").unwrap();
        held.push(stream);
    }
    serves(&fleet, &gateway);
    for mut stream in held {
        let mut told = String::new();
        stream.read_to_string(&mut told).unwrap();
        assert!(told.starts_with("HTTP/1.1 408 "), "{told}");
    }
}
