//! The threads of one stand-in engine.

use super::answers::serve;
use super::config::EngineConfig;
use super::respond::{refuse, server_full};
use super::shared::EngineShared;
use shelfjunction_platform::listener::bind_streaming;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tiny_http::{Request, Server};

/// How often the server looks whether it is to end.
const STOP_CHECK: Duration = Duration::from_millis(100);

/// Why the server did not start.
#[derive(Debug)]
pub enum StartError {
    /// The address could not be bound.
    Bind(io::Error),
    /// The HTTP server could not be set up.
    Http(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(error) => write!(formatter, "the address could not be bound: {error}"),
            Self::Http(error) => write!(formatter, "the server could not be set up: {error}"),
        }
    }
}

/// Starts stand-in engines.
pub struct EngineServer;

impl EngineServer {
    /// Binds the address and serves until the handle is told to stop.
    pub fn start(config: EngineConfig) -> Result<EngineHandle, StartError> {
        let write_timeout = Duration::from_millis(config.limits.write_millis);
        let listener = bind_streaming(config.listen, write_timeout).map_err(StartError::Bind)?;
        let address = listener.local_addr().map_err(StartError::Bind)?;
        let server = server_on(&listener)?;
        let shared = Arc::new(EngineShared::new(config));
        let driver = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || shared.drive())
        };
        let acceptor = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || accept(&shared, &listener, server))
        };
        Ok(EngineHandle {
            address,
            shared,
            threads: vec![driver, acceptor],
        })
    }
}

/// A running stand-in engine.
pub struct EngineHandle {
    address: SocketAddr,
    shared: Arc<EngineShared>,
    threads: Vec<JoinHandle<()>>,
}

impl EngineHandle {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets it end; answers that are not whole are cut, as when the engine's process is killed.
    pub fn stop(&self) {
        self.shared.stop();
    }

    /// Waits until its threads have ended.
    pub fn wait(self) {
        for thread in self.threads {
            // A thread that panicked has printed why; the others must still be waited for.
            let _ = thread.join();
        }
    }
}

fn server_on(listener: &TcpListener) -> Result<Server, StartError> {
    let listener = listener.try_clone().map_err(StartError::Bind)?;
    Server::from_listener(listener, None).map_err(|error| StartError::Http(error.to_string()))
}

/// Hands each request to a thread of its own, up to the limit.
fn accept(shared: &Arc<EngineShared>, listener: &TcpListener, mut server: Server) {
    while !shared.is_stopping() {
        match server.recv_timeout(STOP_CHECK) {
            Ok(Some(request)) => spawn(shared, request),
            Ok(None) => {}
            // The library stops accepting after any error, such as too many open files.
            Err(_) => match server_on(listener) {
                Ok(replacement) => server = replacement,
                Err(_) => thread::sleep(STOP_CHECK),
            },
        }
    }
    while shared.active_requests.load(Ordering::SeqCst) > 0 {
        thread::sleep(STOP_CHECK);
    }
}

fn spawn(shared: &Arc<EngineShared>, request: Request) {
    let active = shared.active_requests.fetch_add(1, Ordering::SeqCst);
    let place = ActiveRequest(Arc::clone(shared));
    if active >= shared.config.limits.requests {
        return refuse(request, &server_full());
    }
    // When no thread can be had, the request is dropped and the library answers that the server failed.
    let _ = thread::Builder::new().spawn(move || serve(&place.0, request));
}

/// Counts one request for as long as it is served, also when its thread panics.
struct ActiveRequest(Arc<EngineShared>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
