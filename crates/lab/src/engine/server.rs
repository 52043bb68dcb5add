//! The threads of one stand-in engine.

use super::answers::EngineHandler;
use super::config::EngineConfig;
use super::shared::EngineShared;
use shelfjunction_http::HttpServer;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

/// Why the server did not start.
#[derive(Debug)]
pub enum StartError {
    /// The address could not be bound.
    Bind(io::Error),
    /// A thread could not be started.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(error) => write!(formatter, "the address could not be bound: {error}"),
            Self::Thread(error) => write!(formatter, "a thread could not be started: {error}"),
        }
    }
}

/// Starts stand-in engines.
pub struct EngineServer;

impl EngineServer {
    /// Binds the address and serves until the handle is told to stop.
    pub fn start(config: EngineConfig) -> Result<EngineHandle, StartError> {
        let shared = Arc::new(EngineShared::new(config));
        let handler = Arc::new(EngineHandler(Arc::clone(&shared)));
        let server = HttpServer::start(shared.config.listen, shared.config.http, handler);
        let server = server.map_err(StartError::Bind)?;
        let driven = Arc::clone(&shared);
        let driver = thread::Builder::new()
            .name("engine-driver".to_owned())
            .spawn(move || driven.drive())
            .map_err(StartError::Thread)?;
        Ok(EngineHandle {
            shared,
            server,
            driver,
        })
    }
}

/// A running stand-in engine.
pub struct EngineHandle {
    shared: Arc<EngineShared>,
    server: HttpServer,
    driver: JoinHandle<()>,
}

impl EngineHandle {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Lets it end; answers that are not whole are cut, as when the engine's process is killed.
    pub fn stop(&self) {
        self.shared.stop();
    }

    /// Waits until its threads have ended.
    pub fn wait(mut self) {
        self.server.stop();
        // A driver that panicked has printed why.
        let _ = self.driver.join();
    }
}
