//! Starts the threads of the process and stops them in order.

use crate::accepting;
use crate::commanding;
use crate::config::NodeConfig;
use crate::connections::OpenConnections;
use crate::context::{Context, NodeState};
use crate::duties;
use crate::engine_contact;
use crate::metering;
use crate::operator_page;
use crate::peers;
use crate::ports::{CallerProtocol, EngineProtocol, FleetStore, NodeDirectory, PlatformDuties};
use crate::recovering;
use crate::releasing;
use crate::spill;
use crate::tenant_rates;
use crate::watch;
use shelfjunction_core::topology::TopologySettings;
use shelfjunction_http::HttpServer;
use shelfjunction_logging::LogLosses;
use shelfjunction_platform::services::TableService;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What speaks to callers, engines and the store.
pub struct Adapters {
    /// Callers.
    pub callers: Arc<dyn CallerProtocol>,
    /// Engines.
    pub engines: Arc<dyn EngineProtocol>,
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
    /// The nodes that the store lists.
    pub directory: Arc<dyn NodeDirectory>,
    /// The store's tables, for the lease and for reports.
    pub table: Arc<dyn TableService>,
    /// The platform's interface for duties, where there are any.
    pub duties: Option<Arc<dyn PlatformDuties>>,
}

/// Why the process could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be listened on.
    Listen(io::Error),
    /// A thread can't be started.
    Thread(io::Error),
}

/// A running process.
pub struct NodeHandle {
    context: Arc<Context>,
    open: Arc<OpenConnections>,
    address: SocketAddr,
    metrics: Option<HttpServer>,
}

/// Time after the signal to stop for which resting connections stay open: whoever sends callers here has noticed by
/// then, and callers that hold a connection have had an answer that closes it.
const RESTING_STAYS: Duration = Duration::from_millis(3_500);

/// Time between two looks at whether everything has ended.
const LOOK_EVERY: Duration = Duration::from_millis(100);

impl NodeHandle {
    /// Starts the process.
    pub fn start(config: NodeConfig, adapters: Adapters, losses: Arc<LogLosses>) -> Result<Self, StartError> {
        let listener = TcpListener::bind(config.listen).map_err(StartError::Listen)?;
        let address = listener.local_addr().map_err(StartError::Listen)?;
        let peer_listener = TcpListener::bind(config.peer_listen).map_err(StartError::Listen)?;
        let peer_listen = peer_listener.local_addr().map_err(StartError::Listen)?;
        let socket = Arc::new(UdpSocket::bind(peer_listen).map_err(StartError::Listen)?);
        let config = NodeConfig {
            peer_listen,
            ..config
        };
        let context = Arc::new(Context::new(
            config,
            adapters.engines,
            Arc::clone(&adapters.table),
            Arc::clone(&socket),
        ));
        let open = Arc::new(OpenConnections::default());
        let metrics_listen = context.config.metrics_listen;
        let metrics = metrics_listen
            .map(|address| {
                let table = Arc::clone(&adapters.table);
                operator_page::serve(address, Arc::clone(&context), table, Arc::clone(&open), losses)
            })
            .transpose()
            .map_err(StartError::Listen)?;
        let store = adapters.store;
        spawn("watch-configuration", {
            let (context, store) = (Arc::clone(&context), Arc::clone(&store));
            move || watch::configuration(&context, store.as_ref())
        })?;
        spawn("watch-engines", {
            let context = Arc::clone(&context);
            move || watch::engines(&context, store.as_ref())
        })?;
        spawn("peers-list", {
            let context = Arc::clone(&context);
            let directory = adapters.directory;
            move || peers::follow_directory(&context, directory.as_ref())
        })?;
        spawn("peers-hear", {
            let (context, socket) = (Arc::clone(&context), Arc::clone(&socket));
            move || peers::hear(&context, &socket)
        })?;
        spawn("peers-tell", {
            let context = Arc::clone(&context);
            move || peers::tell(&context)
        })?;
        let peer_listener = Arc::new(peer_listener);
        for _ in 0..peers::SNAPSHOT_SERVERS {
            spawn("peers-serve", {
                let (context, listener) = (Arc::clone(&context), Arc::clone(&peer_listener));
                move || peers::serve_snapshots(&context, &listener)
            })?;
        }
        spawn("peers-catch-up", {
            let context = Arc::clone(&context);
            move || peers::catch_up(&context)
        })?;
        spawn("tenant-rates", {
            let context = Arc::clone(&context);
            move || tenant_rates::probe_silent_nodes(&context)
        })?;
        spawn("command", {
            let context = Arc::clone(&context);
            let table = Arc::clone(&adapters.table);
            move || commanding::run(&context, table.as_ref())
        })?;
        if context.metering.is_some() {
            spawn("usage-tell", {
                let context = Arc::clone(&context);
                move || metering::tell(&context)
            })?;
        }
        if let Some(platform) = adapters.duties {
            spawn("duties", {
                let context = Arc::clone(&context);
                let table = adapters.table;
                move || duties::run(&context, table.as_ref(), platform.as_ref())
            })?;
        }
        spawn("recover", {
            let context = Arc::clone(&context);
            move || recovering::run(&context)
        })?;
        spawn("release", {
            let context = Arc::clone(&context);
            move || releasing::run(&context)
        })?;
        spawn("engine-probe", {
            let context = Arc::clone(&context);
            move || engine_contact::run_probes(&context)
        })?;
        spawn("spill-probe", {
            let context = Arc::clone(&context);
            move || spill::run_probes(&context)
        })?;
        spawn("accept", {
            let (context, open) = (Arc::clone(&context), Arc::clone(&open));
            let callers = adapters.callers;
            move || accepting::run(&listener, &context, &callers, &open)
        })?;
        Ok(Self {
            context,
            open,
            address,
            metrics,
        })
    }

    /// Where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where metrics are told, if they are.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics.as_ref().map(HttpServer::address)
    }

    /// Takes the zones and regions of new settings.
    pub fn set_topology(&self, settings: &TopologySettings) {
        self.context.set_topology(settings);
    }

    /// What others may ask about the process.
    pub fn state(&self) -> Arc<NodeState> {
        Arc::clone(&self.context.state)
    }

    /// Takes no new callers and returns when every request has ended with an answer, or just before the end by force.
    pub fn stop(&self) {
        self.end_requests();
        metering::tell_last(&self.context);
    }

    fn end_requests(&self) {
        let begun = self.context.now();
        self.context.state.begin_stop(begun);
        let grace = self.context.config.grace();
        let end = begun + self.context.config.end_after_stop();
        let resting_until = begun + RESTING_STAYS.min(grace / 2);
        let mut closed = false;
        loop {
            let now = self.context.now();
            if now >= end {
                log::warn!(
                    requests = self.context.state.requests_under_way(),
                    connections = self.open.count(),
                    tunnels = self.context.served_tunnels.busy();
                    "ended_by_force"
                );
                return self.open.end();
            }
            if now >= resting_until {
                self.context.state.begin_closing();
                self.open.close_resting(now);
                self.context.buffers.drop_lagging();
                let closed_before = std::mem::replace(&mut closed, true);
                if closed_before && self.context.served_tunnels.busy() == 0 && self.open.end_if_none() {
                    return;
                }
            }
            self.context.stop.wait(LOOK_EVERY);
        }
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<(), StartError> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(work)
        .map(|_| ())
        .map_err(StartError::Thread)
}
