//! A call reaches an engine at most once, whatever the engine, the network or the environment does.
#![allow(clippy::unwrap_used)]

use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason, Phase};
use shelfjunction_core::identity::{AttemptId, ModelId, RequestId};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_platform::engine::{CallError, EngineClient, StreamError};
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// Tells the child process which engine to call; the test runs itself again with it.
const CHILD_ENGINE: &str = "AT_MOST_ONCE_CHILD_ENGINE";

/// What a test engine does with a request that it has read whole.
type Behaviour = fn(TcpStream);

/// An engine that reports each request it reads and answers it in its own way.
fn engine(behaviour: Behaviour) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (seen, requests) = channel();
    thread::spawn(move || {
        for connection in listener.incoming() {
            let connection = connection.unwrap();
            if let Some(line) = read_request(&connection) {
                seen.send(line).unwrap();
                behaviour(connection);
            }
        }
    });
    (address, requests)
}

/// Reads a whole request and gives its first line.
fn read_request(connection: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(connection);
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).unwrap();
        if line.trim().is_empty() {
            break;
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    Some(first.trim().to_owned())
}

fn client() -> HttpEngineClient {
    HttpEngineClient::new(EngineTimeouts {
        response_millis: 300,
        between_parts_millis: 300,
        control_millis: 1_000,
        ..EngineTimeouts::default()
    })
}

fn call() -> EngineCall {
    EngineCall {
        request: RequestId::new("request"),
        attempt: AttemptId::new("attempt"),
        model: ModelId::new("dispatch"),
        adapter: None,
        prompt: "send the medicine".to_owned(),
        max_tokens: 4,
        class: ServiceClass::Interactive,
        cache_salt: "salt".to_owned(),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

fn answer(mut connection: TcpStream, text: &str) {
    connection.write_all(text.as_bytes()).unwrap();
    let _ = connection.shutdown(Shutdown::Both);
}

/// Calls once and gives the error with the number of requests the engine saw.
fn call_once(behaviour: Behaviour) -> (CallError, usize) {
    let (address, requests) = engine(behaviour);
    let error = client().call(address, &call()).err().unwrap();
    // A second request would be read before this one, which the client sends afterwards.
    let _ = client().status(address);
    let seen: Vec<String> = requests
        .iter()
        .take_while(|line| !line.contains("/control/status"))
        .collect();
    assert!(
        seen.iter().all(|line| line == "POST /v1/calls HTTP/1.1"),
        "{seen:?}"
    );
    (error, seen.len())
}

#[test]
fn an_engine_that_closes_after_reading_sees_one_request() {
    let behaviour: Behaviour = drop;
    assert_eq!(call_once(behaviour), (CallError::Ambiguous, 1));
}

#[test]
fn an_engine_that_resets_after_reading_sees_one_request() {
    let behaviour: Behaviour = |mut connection| {
        // Half a status line, then the end: nothing tells whether the call runs.
        connection.write_all(b"HTTP/1.1 20").unwrap();
    };
    assert_eq!(call_once(behaviour), (CallError::Ambiguous, 1));
}

#[test]
fn an_engine_that_never_answers_sees_one_request() {
    let behaviour: Behaviour = |connection| {
        // Held open until the client gives up.
        let _ = (&connection).read(&mut [0]);
    };
    assert_eq!(call_once(behaviour), (CallError::Ambiguous, 1));
}

#[test]
fn redirects_are_not_followed() {
    for status in [
        "301 Moved",
        "302 Found",
        "303 See Other",
        "307 Temporary Redirect",
        "308 Permanent Redirect",
    ] {
        let (elsewhere, redirected) = engine(|connection| answer(connection, "HTTP/1.1 200 OK\r\n\r\n"));
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let server = thread::spawn(move || {
            let (connection, _) = listener.accept().unwrap();
            read_request(&connection).unwrap();
            let head =
                format!("HTTP/1.1 {status}\r\nLocation: http://{elsewhere}/\r\nContent-Length: 0\r\n\r\n");
            answer(connection, &head);
        });
        assert_eq!(
            client().call(address, &call()).err().unwrap(),
            CallError::Ambiguous
        );
        server.join().unwrap();
        let _ = client().status(elsewhere);
        assert!(
            redirected.recv().unwrap().contains("/control/status"),
            "{status} was followed"
        );
    }
}

#[test]
fn only_a_typed_refusal_says_that_the_call_did_not_run() {
    let refusal = EngineRefusal {
        reason: EngineRefusalReason::Draining,
        retry_after_millis: 250,
    };
    let refused: Behaviour = |connection| {
        let body = r#"{"reason":"draining","retry_after_millis":250}"#;
        let length = body.len();
        answer(
            connection,
            &format!("HTTP/1.1 503 Busy\r\nContent-Length: {length}\r\n\r\n{body}"),
        );
    };
    assert_eq!(call_once(refused), (CallError::Refused(refusal), 1));
    let untyped: Behaviour =
        |connection| answer(connection, "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
    assert_eq!(call_once(untyped), (CallError::Ambiguous, 1));
}

#[test]
fn a_refused_connection_is_not_sent() {
    // The port of an open client connection: nobody listens there, and no test that runs beside can bind it meanwhile.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connection = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let address = connection.local_addr().unwrap();
    assert_eq!(client().call(address, &call()).err().unwrap(), CallError::NotSent);
}

#[test]
fn an_answer_cut_in_its_middle_is_disconnected_and_not_ended() {
    let (address, _requests) = engine(|connection| {
        let part = "{\"part\":\"token\",\"request\":\"request\",\"offset\":0,\"text\":\"a \"}\n";
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        answer(connection, &format!("{head}{:x}\r\n{part}\r\n", part.len()));
    });
    let mut stream = client().call(address, &call()).unwrap();
    assert!(stream.next_part().unwrap().is_some());
    assert_eq!(stream.next_part(), Err(StreamError::Disconnected));
}

#[test]
fn a_proxy_in_the_environment_is_not_used() {
    if let Ok(address) = std::env::var(CHILD_ENGINE) {
        let _ = client().call(address.parse().unwrap(), &call());
        return;
    }
    let (proxy, proxied) = engine(drop);
    let (address, requests) = engine(drop);
    let mut child = Command::new(std::env::current_exe().unwrap());
    child.args(["--exact", "a_proxy_in_the_environment_is_not_used"]);
    child.env(CHILD_ENGINE, address.to_string());
    for name in ["http_proxy", "HTTP_PROXY", "all_proxy", "ALL_PROXY"] {
        child.env(name, format!("http://{proxy}"));
    }
    for name in ["no_proxy", "NO_PROXY"] {
        child.env_remove(name);
    }
    assert!(child.output().unwrap().status.success());
    // What each saw before this process's own request is what the child sent.
    for engine in [address, proxy] {
        let _ = client().status(engine);
    }
    assert_eq!(requests.recv().unwrap(), "POST /v1/calls HTTP/1.1");
    assert!(
        proxied.recv().unwrap().contains("/control/status"),
        "the call went to the proxy"
    );
}

#[test]
fn an_answer_of_invalid_status_says_nothing_even_with_a_typed_refusal() {
    fn with_status(connection: TcpStream, status: &str) {
        let body = r#"{"reason":"draining","retry_after_millis":250}"#;
        let length = body.len();
        answer(
            connection,
            &format!("HTTP/1.1 {status} Odd\r\nContent-Length: {length}\r\n\r\n{body}"),
        );
    }
    let behaviours: [Behaviour; 4] = [
        |connection| with_status(connection, "000"),
        |connection| with_status(connection, "099"),
        |connection| with_status(connection, "600"),
        |connection| with_status(connection, "999"),
    ];
    for behaviour in behaviours {
        assert_eq!(call_once(behaviour), (CallError::Ambiguous, 1));
    }
}
