//! Starts a controller's threads and ends them.

use crate::config::ControllerConfig;
use crate::context::{Context, Services};
use crate::engine_watch::{self, EngineSchedule};
use crate::errors::StartError;
use crate::peer::server::{self, OpenConnections};
use crate::{http, machine_watch, net};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use tiny_http::Server;

/// One controller process's work, run by threads of the calling process.
#[derive(Debug)]
pub struct Controller;

/// A running controller.
pub struct ControllerHandle {
    context: Arc<Context>,
    open: Arc<OpenConnections>,
    peer_address: SocketAddr,
    http_address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts against the given services; every address is bound when this returns.
    pub fn start_with(config: ControllerConfig, services: Services) -> Result<ControllerHandle, StartError> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(StartError::Settings(errors));
        }
        let sockets = net::bind(config.listen)?;
        let http_server = bind_http(config.http_listen)?;
        let http_address = http_server.server_addr().to_ip().unwrap_or(config.http_listen);
        let mut handle = ControllerHandle {
            context: Arc::new(Context::new(config, services, sockets.datagrams)),
            open: Arc::default(),
            peer_address: sockets.address,
            http_address,
            threads: Vec::new(),
        };
        let (context, open) = (Arc::clone(&handle.context), Arc::clone(&handle.open));
        handle.spawn("peer-server", move || {
            server::run(&context, &sockets.listener, &open)
        })?;
        let context = Arc::clone(&handle.context);
        handle.spawn("http", move || http::run(&context, &http_server))?;
        handle.start_watching()?;
        Ok(handle)
    }
}

impl ControllerHandle {
    /// Address of the peer protocol, over TCP and UDP.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Address of health and metrics.
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Begins a planned stop.
    pub fn stop(&self) {
        self.context.stop.set();
        self.open.close_all();
        server::wake(self.peer_address);
    }

    /// Waits until every thread has ended; call [`ControllerHandle::stop`] first.
    pub fn wait(self) {
        for thread in self.threads {
            // A thread that panicked has been reported by the panic hook.
            let _ = thread.join();
        }
        self.open.close_all();
    }

    fn start_watching(&mut self) -> Result<(), StartError> {
        let context = Arc::clone(&self.context);
        self.spawn("machine-list", move || machine_watch::run(&context))?;
        let schedule = Arc::new(EngineSchedule::default());
        let (context, schedule_of_thread) = (Arc::clone(&self.context), Arc::clone(&schedule));
        self.spawn("engine-schedule", move || {
            engine_watch::run_schedule(&context, &schedule_of_thread)
        })?;
        for _ in 0..self.context.config.limits.engine_workers {
            let (context, schedule) = (Arc::clone(&self.context), Arc::clone(&schedule));
            self.spawn("engine-watch", move || {
                engine_watch::run_worker(&context, &schedule)
            })?;
        }
        Ok(())
    }

    fn spawn(&mut self, name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
        match Builder::new().name(name.to_owned()).spawn(work) {
            Ok(thread) => {
                self.threads.push(thread);
                Ok(())
            }
            Err(error) => {
                self.stop();
                Err(StartError::Thread(error))
            }
        }
    }
}

fn bind_http(address: SocketAddr) -> Result<Server, StartError> {
    Server::http(address).map_err(|error| StartError::Bind {
        address,
        error: error.to_string(),
    })
}
