//! The platform of a node: a store with a configuration, an engine that answers and one that never reads.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use shelfjunction_lab::users_platform::{EngineSettings, ModelEngine, StandInStore, USUAL_SOFTWARE_VERSION};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Largest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The stand-ins; they end with the test.
pub struct Platform {
    pub store: StandInStore,
    _engine: ModelEngine,
}

impl Platform {
    pub fn start() -> Self {
        let engine = ModelEngine::start(EngineSettings {
            id: "app-1".to_owned(),
            born: 0,
            stage: None,
            events: 1,
            software_version: USUAL_SOFTWARE_VERSION.to_owned(),
        })
        .unwrap();
        let store = StandInStore::start().unwrap();
        store.put("op", "config", &STANDARD.encode(configuration()));
        list(&store, "app-1", engine.address(), "pool-app");
        list(&store, "deaf-1", engine_that_never_reads(), "pool-deaf");
        list(&store, "partial-1", engine_of_partial_answers(), "pool-partial");
        list(&store, "endless-1", engine_of_endless_events(), "pool-endless");
        list(
            &store,
            "refusing-1",
            engine_of_endless_refusals(),
            "pool-refusing",
        );
        Self {
            store,
            _engine: engine,
        }
    }
}

fn list(store: &StandInStore, id: &str, address: SocketAddr, pool: &str) {
    let row = format!(
        r#"{{"service":"{pool}","address":"{address}","zone":"zone-a","version":"v1","slots":200,"state":"ready","coldRemainingMs":0,"sequence":4}}"#
    );
    store.put("servers", id, &STANDARD.encode(row));
}

fn engine_that_never_reads() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let taken: Vec<_> = listener.incoming().map(Result::unwrap).collect();
        drop(taken);
    });
    address
}

/// An answer without its end.
#[derive(Clone)]
struct EndlessAnswer {
    status_line: &'static str,
    fields: String,
    body: String,
    /// Whether the body is sent again and again, or just once.
    repeats: bool,
}

/// An engine that holds the last byte of each answer back.
fn engine_of_partial_answers() -> SocketAddr {
    engine_of(EndlessAnswer {
        status_line: "HTTP/1.1 200 OK",
        fields: format!("Response-Signature: s\r\nContent-Length: {MAX_BODY_BYTES}\r\n"),
        body: "x".repeat(MAX_BODY_BYTES - 1),
        repeats: false,
    })
}

/// An engine whose first event does not end, and pauses before it is longer than any event may be.
fn engine_of_endless_events() -> SocketAddr {
    engine_of(EndlessAnswer {
        status_line: "HTTP/1.1 200 OK",
        fields: "Response-Signature: s\r\n".to_owned(),
        body: format!("data: {}", "x".repeat(MAX_BODY_BYTES - 64)),
        repeats: false,
    })
}

/// An engine that refuses each request and sends on.
fn engine_of_endless_refusals() -> SocketAddr {
    engine_of(EndlessAnswer {
        status_line: "HTTP/1.1 503 Service Unavailable",
        fields: "Not-Executed: 1\r\n".to_owned(),
        body: "x".repeat(MAX_BODY_BYTES),
        repeats: true,
    })
}

fn engine_of(answer: EndlessAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = answer.clone();
            thread::spawn(move || begin_answer(stream.unwrap(), &answer));
        }
    });
    address
}

fn begin_answer(stream: TcpStream, answer: &EndlessAnswer) {
    let mut reader = BufReader::new(&stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if !reader.read_line(&mut head).is_ok_and(|count| count > 0) {
            return;
        }
    }
    let name = head.lines().find_map(|line| line.strip_prefix("Request-Id: "));
    let head = format!(
        "{}\r\nRequest-Id: {}\r\n{}\r\n",
        answer.status_line,
        name.unwrap_or_default(),
        answer.fields
    );
    // The node may close at any time; held open until then.
    let mut sent = (&stream).write_all(head.as_bytes());
    while sent.is_ok() {
        sent = (&stream).write_all(answer.body.as_bytes());
        if !answer.repeats {
            break;
        }
    }
    if sent.is_ok() {
        let _ = (&stream).read_to_end(&mut Vec::new());
    }
}

fn configuration() -> String {
    let route = |name: &str, path: &str, pool: &str| {
        format!(
            r#"{{"name":"{name}","host":"svc.example","pathPrefix":"{path}","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"{pool}","maxAttempts":2,"resumable":false,"gapTargetMs":300}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","connectionLimit":400,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{},{},{},{}],"services":[{},{},{},{},{}],"limits":{{"maxHeaderBytes":4096,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("look", "/look/", "pool-app"),
        route("deaf", "/deaf/", "pool-deaf"),
        route("partial", "/partial/", "pool-partial"),
        route("endless", "/endless/", "pool-endless").replace("idempotent", "streaming"),
        route("refusing", "/refusing/", "pool-refusing"),
        service("pool-app"),
        service("pool-deaf"),
        service("pool-partial"),
        service("pool-endless"),
        service("pool-refusing"),
    )
}
