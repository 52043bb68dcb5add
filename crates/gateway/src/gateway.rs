//! Starts a gateway's threads and ends them.

use crate::claims::{self, CLAIM_WORKERS};
use crate::config::{GatewayConfig, millis};
use crate::context::{Backends, Context};
use crate::errors::StartError;
use crate::serve::CallerApi;
use crate::watch::{bundles, cache_events, capacity, demand, fleet, retention};
use shelfjunction_http::HttpServer;
use shelfjunction_platform::http_engine::HttpEngineClient;
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};
use std::time::Duration;

/// Longest wait between two looks for the stop signal, which also wakes the waiter itself.
const STOP_WAIT: Duration = Duration::from_secs(3_600);

/// What one background thread does until the gateway ends.
type Work = fn(&Context);

/// One gateway process's work, run by threads of the calling process.
#[derive(Debug)]
pub struct Gateway;

/// A running gateway.
pub struct GatewayHandle {
    context: Arc<Context>,
    server: HttpServer,
    threads: Vec<JoinHandle<()>>,
}

impl Gateway {
    /// Starts against the platform and the engines over HTTP; the address is bound when this returns.
    pub fn start(config: GatewayConfig) -> Result<GatewayHandle, StartError> {
        let timeouts = PlatformTimeouts {
            call: millis(config.timings.platform_timeout_millis),
            ..PlatformTimeouts::default()
        };
        let platform = Arc::new(HttpPlatform::new(config.platform, timeouts));
        let backends = Backends {
            table: platform.clone(),
            objects: platform,
            engines: Arc::new(HttpEngineClient::new(config.engine_timeouts)),
        };
        Self::start_with(config, backends)
    }

    /// Starts against the given systems.
    pub fn start_with(config: GatewayConfig, backends: Backends) -> Result<GatewayHandle, StartError> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(StartError::Settings(errors));
        }
        let secret = config
            .secret()
            .map_err(|error| StartError::Settings(vec![error]))?;
        let (listen, limits) = (config.listen, config.http);
        let context = Arc::new(Context::new(config, secret, backends));
        let threads = start_threads(&context)?;
        let handler = Arc::new(CallerApi {
            context: Arc::clone(&context),
        });
        let server = HttpServer::start(listen, limits, handler);
        let server = server.inspect_err(|_| context.end_threads())?;
        log::info!(
            node:% = context.config.node,
            zone:% = context.config.zone,
            address:% = server.address();
            "gateway_started"
        );
        Ok(GatewayHandle {
            context,
            server,
            threads,
        })
    }
}

impl GatewayHandle {
    /// The bound address of the callers' and the administration API.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Callers' connections that count: one that has closed does until its thread has noticed.
    pub fn connections(&self) -> usize {
        self.server.connections()
    }

    /// Begins a planned stop: new work is refused as not run, what is under way goes on to its end.
    pub fn stop(&self) {
        let began = self.context.stopping.is_set();
        self.context.stopping.set();
        if !began {
            // Whoever reads the line may rely on it: from here on new work is refused.
            let in_flight = self.context.registry.taken();
            log::info!(node:% = self.context.config.node, in_flight = in_flight; "gateway_stopping");
        }
    }

    /// Waits until a stop was begun, every request has ended and every thread is done.
    pub fn wait(mut self) {
        while !self.context.stopping.wait(STOP_WAIT) {}
        self.context.registry.wait_until_empty();
        self.server.stop();
        self.context.end_threads();
        for thread in self.threads {
            // A thread that panicked has been reported by the panic hook.
            let _ = thread.join();
        }
        log::info!(node:% = self.context.config.node; "gateway_stopped");
    }
}

fn start_threads(context: &Arc<Context>) -> Result<Vec<JoinHandle<()>>, StartError> {
    let mut works: Vec<(&str, Work)> = vec![
        ("fleet-watch", fleet::run),
        ("bundle-watch", bundles::run),
        ("cache-events", cache_events::run),
        ("capacity", capacity::run),
        ("demand", demand::run),
        ("claim-retention", retention::run),
        ("claim-releases", claims::run_releases),
    ];
    works.extend([("claims", claims::run_worker as Work); CLAIM_WORKERS]);
    let mut threads = Vec::new();
    for (name, work) in works {
        let context_of_thread = Arc::clone(context);
        let started = Builder::new()
            .name(name.to_owned())
            .spawn(move || work(&context_of_thread));
        match started {
            Ok(thread) => threads.push(thread),
            Err(error) => {
                context.end_threads();
                return Err(error.into());
            }
        }
    }
    Ok(threads)
}
