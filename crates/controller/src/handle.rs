//! Starts a controller's threads and ends them.

use crate::bundle::{self, BundleState};
use crate::command::{self, CommandLink, CommandStatus, Executor};
use crate::config::{ControllerConfig, millis};
use crate::context::{Context, Services};
use crate::demand::{self, DemandBoard};
use crate::engine_watch::{self, EngineSchedule};
use crate::errors::StartError;
use crate::gossip::{Gossip, GossipConfig};
use crate::http::{self, HealthPages};
use crate::metrics::Metrics;
use crate::peer::server::{self, OpenConnections};
use crate::tenant_rates::{self, TenantRates};
use crate::{machine_watch, membership_watch, net};
use shelfjunction_core::identity::{FencingToken, Generation};
use shelfjunction_core::machine::MachineService;
use shelfjunction_core::membership::events::OwnNode;
use shelfjunction_core::orders::{CommanderEvent, CommanderPhase};
use shelfjunction_http::HttpServer;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::http_engine::{EngineTimeouts, HttpEngineClient};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_threads::StopSignal;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// One controller process's work, run by threads of the calling process.
#[derive(Debug)]
pub struct Controller;

/// A running controller.
pub struct ControllerHandle {
    context: Arc<Context>,
    http: HttpServer,
    threads: Vec<JoinHandle<()>>,
}

impl Controller {
    /// Starts against the platform and the engines over HTTP.
    pub fn start(config: ControllerConfig) -> Result<ControllerHandle, StartError> {
        let services = http_services(&config);
        Self::start_with(config, services)
    }

    /// Starts against the given services; every address is bound when this returns.
    pub fn start_with(config: ControllerConfig, services: Services) -> Result<ControllerHandle, StartError> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(StartError::Settings(errors));
        }
        let sockets = net::bind(config.listen)?;
        let clock = MonotonicClock::start();
        let gossip = Gossip::start(gossip_config(&config, sockets.address), sockets.datagrams, clock)?;
        let (command, events) = CommandLink::new(config.timings.weight_queue_millis);
        let metrics = Metrics::default();
        let context = Arc::new(Context {
            bundle: BundleState::new(config.roots.clone(), config.zone.clone(), metrics.clone()),
            config,
            clock,
            services,
            gossip,
            demand: DemandBoard::default(),
            tenant_rates: TenantRates::default(),
            command,
            metrics,
            open: OpenConnections::default(),
            peer_address: sockets.address,
            leaving: StopSignal::default(),
            stop: StopSignal::default(),
        });
        let mut handle = ControllerHandle {
            http: start_http(&context)?,
            context,
            threads: Vec::new(),
        };
        let listener = sockets.listener;
        handle.spawn("peer-server", move |context| server::run(context, &listener))?;
        handle.start_watching()?;
        handle.start_bundle()?;
        handle.start_command(events)?;
        Ok(handle)
    }
}

impl ControllerHandle {
    /// Address of the peer protocol, over TCP and UDP.
    pub fn peer_address(&self) -> SocketAddr {
        self.context.peer_address
    }

    /// Address of health and metrics.
    pub fn http_address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Token under which this controller may order engines now; absent without the lease.
    pub fn fencing_token(&self) -> Option<FencingToken> {
        let authority = self.context.command.status().authority?;
        (self.context.now() < authority.not_after).then_some(authority.token)
    }

    /// Generation of the bundle in force; zero without one.
    pub fn generation(&self) -> Generation {
        self.context.bundle.generation()
    }

    /// Waits until a generation at least this high is in force, or the time has passed; true when it is.
    pub fn wait_generation(&self, generation: Generation, timeout: Duration) -> bool {
        self.context.bundle.wait_generation(generation, timeout)
    }

    /// Waits until the bundle in force has been confirmed by the store or another zone, or the time has passed.
    pub fn wait_confirmed(&self, timeout: Duration) -> bool {
        self.context.bundle.wait_confirmed(|| self.context.now(), timeout)
    }

    /// Waits until this controller orders the zone's engines, or the time has passed; its token when it does.
    pub fn wait_commanding(&self, timeout: Duration) -> Option<FencingToken> {
        let commands =
            |status: &CommandStatus| status.phase == CommanderPhase::Commanding && status.authority.is_some();
        let status = self.context.command.wait_status(commands, timeout);
        status
            .authority
            .filter(|_| commands(&status))
            .map(|authority| authority.token)
    }

    /// Waits until this controller may order nothing, or the time has passed; true when it may order nothing.
    pub fn wait_lease_lost(&self, timeout: Duration) -> bool {
        let none = |status: &CommandStatus| status.authority.is_none();
        none(&self.context.command.wait_status(none, timeout))
    }

    /// Begins a planned stop: gives up the lease, tells the others, then ends every thread.
    pub fn stop(&self) {
        self.context.leaving.set();
    }

    /// Waits until every thread has ended; call [`ControllerHandle::stop`] first.
    pub fn wait(mut self) {
        for thread in self.threads {
            // A thread that panicked has been reported by the panic hook.
            let _ = thread.join();
        }
        self.http.stop();
        self.context.gossip.stop();
        self.context.open.close_all();
    }

    fn start_watching(&mut self) -> Result<(), StartError> {
        self.spawn("machine-list", |context| machine_watch::run(context))?;
        self.spawn("membership", |context| membership_watch::run(context))?;
        self.spawn("demand", |context| demand::run(context))?;
        self.spawn("tenant-rates", |context| tenant_rates::run(context))?;
        let schedule = Arc::new(EngineSchedule::default());
        let shared = Arc::clone(&schedule);
        self.spawn("engine-schedule", move |context| {
            engine_watch::run_schedule(context, &shared)
        })?;
        for _ in 0..self.context.config.limits.engine_workers {
            let schedule = Arc::clone(&schedule);
            self.spawn("engine-watch", move |context| {
                engine_watch::run_worker(context, &schedule)
            })?;
        }
        Ok(())
    }

    fn start_bundle(&mut self) -> Result<(), StartError> {
        self.spawn("bundle-store", |context| bundle::run_store_poll(context))?;
        self.spawn("bundle-peers", |context| bundle::run_exchange(context))
    }

    fn start_command(&mut self, events: Receiver<CommanderEvent>) -> Result<(), StartError> {
        let executor = Arc::new(Executor::new(self.context.config.zone.clone()));
        let limits = self.context.config.limits;
        let shared = Arc::clone(&executor);
        self.spawn("lease", move |context| shared.run_lease_calls(context))?;
        for _ in 0..limits.table_workers {
            let shared = Arc::clone(&executor);
            self.spawn("table", move |context| shared.run_table_calls(context))?;
        }
        for _ in 0..limits.order_workers {
            let shared = Arc::clone(&executor);
            self.spawn("orders", move |context| shared.run_orders(context))?;
        }
        self.spawn("weights", |context| command::run_weight_watch(context))?;
        self.spawn("command", move |context| {
            command::run(context, &executor, &events)
        })
    }

    fn spawn(
        &mut self,
        name: &str,
        work: impl FnOnce(&Arc<Context>) + Send + 'static,
    ) -> Result<(), StartError> {
        let context = Arc::clone(&self.context);
        match Builder::new().name(name.to_owned()).spawn(move || work(&context)) {
            Ok(thread) => {
                self.threads.push(thread);
                Ok(())
            }
            Err(error) => {
                self.context.end();
                self.context.gossip.stop();
                Err(StartError::Thread(error))
            }
        }
    }
}

fn http_services(config: &ControllerConfig) -> Services {
    let call = millis(config.timings.platform_timeout_millis);
    let timeouts = PlatformTimeouts {
        connect: PlatformTimeouts::default().connect.min(call),
        call,
    };
    let platform = Arc::new(HttpPlatform::new(config.platform, timeouts));
    let engines = HttpEngineClient::new(EngineTimeouts {
        control_millis: config.timings.engine_timeout_millis,
        ..EngineTimeouts::default()
    });
    Services {
        table: platform.clone(),
        objects: platform.clone(),
        machines: platform.clone(),
        weights: platform,
        engines: Arc::new(engines),
    }
}

fn gossip_config(config: &ControllerConfig, address: SocketAddr) -> GossipConfig {
    // The wall clock only makes incarnations rise from start to start; nothing else is read from it.
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    GossipConfig {
        membership: config.membership.clone(),
        identity: OwnNode {
            node: config.node.clone(),
            zone: config.zone.clone(),
            region: config.region.clone(),
            service: MachineService::Node {
                gateway: config.gateway_address,
                controller: address,
            },
            incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        },
        seeds: config.seeds.clone(),
        random_seed: rand::random(),
    }
}

fn start_http(context: &Arc<Context>) -> Result<HttpServer, StartError> {
    let address = context.config.http_listen;
    let pages = Arc::new(HealthPages::new(Arc::clone(context)));
    HttpServer::start(address, http::limits(), pages).map_err(|error| {
        context.gossip.stop();
        StartError::Bind {
            address,
            error: error.to_string(),
        }
    })
}
