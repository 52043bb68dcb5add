//! The platform of a node: a store with a configuration, an engine that answers and one that never reads.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use shelfjunction_lab::users_platform::{EngineSettings, ModelEngine, StandInStore, USUAL_SOFTWARE_VERSION};
use std::net::{SocketAddr, TcpListener};
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
        r#"{{"version":1,"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":4096,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("look", "/look/", "pool-app"),
        route("deaf", "/deaf/", "pool-deaf"),
        service("pool-app"),
        service("pool-deaf"),
    )
}
