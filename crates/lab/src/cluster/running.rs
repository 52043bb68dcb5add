//! Runs every part of a layout as threads of this process.

use super::engine_log::{nonce_of_caller, nonce_of_engine, read_log};
use super::layout::{ClusterLayout, EngineLayout, NodeLayout};
use super::publish::{PublishError, publish_first};
use crate::engine::{EngineConfig, EngineHandle, EngineServer};
use crate::platform::server::PlatformStartError;
use crate::platform::{PlatformConfig, PlatformHandle, PlatformServer};
use shelfjunction_controller::{Controller, ControllerConfig, ControllerHandle};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::{LoadedWeights, Role};
use shelfjunction_core::identity::WeightVersion;
use shelfjunction_core::tenancy::CacheSecret;
use shelfjunction_engine_model::config::EngineKind;
use shelfjunction_gateway::{Gateway, GatewayConfig, GatewayHandle};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use std::fmt;

/// Secret that the nodes of a stand-in deployment share.
const CACHE_SECRET: [u8; 32] = [7; 32];

/// A deployment whose parts are threads of this process.
pub struct Cluster {
    layout: ClusterLayout,
    platform: PlatformHandle,
    engines: Vec<EngineHandle>,
    controllers: Vec<ControllerHandle>,
    gateways: Vec<GatewayHandle>,
}

/// Why a deployment did not start or a part of it did not start again.
#[derive(Debug)]
pub enum ClusterError {
    /// The platform.
    Platform(PlatformStartError),
    /// The first bundle.
    Bundle(PublishError),
    /// An engine.
    Engine(crate::engine::StartError),
    /// A controller.
    Controller(shelfjunction_controller::StartError),
    /// A gateway.
    Gateway(shelfjunction_gateway::StartError),
}

impl fmt::Display for ClusterError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(error) => write!(formatter, "platform: {error}"),
            Self::Bundle(error) => write!(formatter, "first bundle: {error:?}"),
            Self::Engine(error) => write!(formatter, "engine: {error}"),
            Self::Controller(error) => write!(formatter, "controller: {error}"),
            Self::Gateway(error) => write!(formatter, "gateway: {error}"),
        }
    }
}

impl Cluster {
    /// Starts every part and publishes the first bundle; the deployment serves some time later.
    pub fn start(layout: ClusterLayout) -> Result<Self, ClusterError> {
        let platform = start_platform(&layout)?;
        publish_first(&platform_client(&layout), &layout.deployment).map_err(ClusterError::Bundle)?;
        let engines = layout.engines.iter().map(|engine| start_engine(&layout, engine));
        let engines = engines.collect::<Result<_, _>>()?;
        let controllers = layout.nodes.iter().map(|node| start_controller(&layout, node));
        let controllers = controllers.collect::<Result<_, _>>()?;
        let gateways = layout.nodes.iter().map(|node| start_gateway(&layout, node));
        let gateways = gateways.collect::<Result<_, _>>()?;
        Ok(Self {
            layout,
            platform,
            engines,
            controllers,
            gateways,
        })
    }

    /// Where everything listens.
    pub fn layout(&self) -> &ClusterLayout {
        &self.layout
    }

    /// The platform.
    pub fn platform(&self) -> &PlatformHandle {
        &self.platform
    }

    /// A client of the platform.
    pub fn platform_client(&self) -> HttpPlatform {
        platform_client(&self.layout)
    }

    /// Stops the gateway of a node as planned, waits for its streams, and starts the next under the same address.
    pub fn restart_gateway(&mut self, node: usize) -> Result<(), ClusterError> {
        let stopped = self.gateways.remove(node);
        stopped.stop();
        stopped.wait();
        let next = start_gateway(&self.layout, &self.layout.nodes[node])?;
        self.gateways.insert(node, next);
        Ok(())
    }

    /// Stops the controller of a node as planned and starts the next under the same address.
    pub fn restart_controller(&mut self, node: usize) -> Result<(), ClusterError> {
        let stopped = self.controllers.remove(node);
        stopped.stop();
        stopped.wait();
        let next = start_controller(&self.layout, &self.layout.nodes[node])?;
        self.controllers.insert(node, next);
        Ok(())
    }

    /// Engines that began a request, as often as they did; an engine that can't be read counts as none.
    pub fn engines_that_ran(&self, request: &str) -> Vec<&EngineLayout> {
        let nonce = nonce_of_caller(request);
        let runs_of = |engine: &EngineLayout| {
            let log = read_log(engine.address).ok();
            let runs = log.into_iter().flat_map(|log| log.runs);
            runs.filter(|run| nonce_of_engine(run.request.as_str()) == nonce)
                .count()
        };
        let engines = self.layout.engines.iter();
        engines
            .flat_map(|engine| std::iter::repeat_n(engine, runs_of(engine)))
            .collect()
    }

    /// Stops every part, gateways first, and waits for them.
    pub fn stop(self) {
        self.gateways.iter().for_each(GatewayHandle::stop);
        self.gateways.into_iter().for_each(GatewayHandle::wait);
        self.controllers.iter().for_each(ControllerHandle::stop);
        self.controllers.into_iter().for_each(ControllerHandle::wait);
        self.engines.iter().for_each(EngineHandle::stop);
        self.engines.into_iter().for_each(EngineHandle::wait);
        self.platform.stop();
        self.platform.wait();
    }
}

fn platform_client(layout: &ClusterLayout) -> HttpPlatform {
    HttpPlatform::new(layout.platform, PlatformTimeouts::default())
}

fn start_platform(layout: &ClusterLayout) -> Result<PlatformHandle, ClusterError> {
    let config = PlatformConfig {
        listen: layout.platform,
        machines: layout.machines(),
        ..PlatformConfig::default()
    };
    PlatformServer::start(config).map_err(ClusterError::Platform)
}

fn start_engine(layout: &ClusterLayout, engine: &EngineLayout) -> Result<EngineHandle, ClusterError> {
    let mut config = EngineConfig {
        name: engine.engine.clone(),
        listen: engine.address,
        ..EngineConfig::default()
    };
    config.model.kind = engine_kind(layout, engine.kind);
    EngineServer::start(config).map_err(ClusterError::Engine)
}

fn engine_kind(layout: &ClusterLayout, kind: ModelKind) -> EngineKind {
    let deployment = &layout.deployment;
    match kind {
        ModelKind::Model => EngineKind::Model {
            role: Role::Mixed,
            weights: vec![LoadedWeights {
                model: deployment.model.clone(),
                version: WeightVersion::new("1"),
                adapters: vec![deployment.adapter.clone()],
            }],
        },
        ModelKind::Application => EngineKind::Application {
            application: deployment.application.clone(),
        },
    }
}

fn start_controller(layout: &ClusterLayout, node: &NodeLayout) -> Result<ControllerHandle, ClusterError> {
    let config = ControllerConfig {
        node: node.node.clone(),
        zone: node.zone.clone(),
        region: layout.deployment.region.clone(),
        listen: node.controller,
        http_listen: node.controller_http,
        gateway_address: node.gateway,
        platform: layout.platform,
        roots: layout.deployment.roots(),
        seeds: layout.seeds_for(node),
        lease: Default::default(),
        membership: Default::default(),
        orders: Default::default(),
        timings: Default::default(),
        limits: Default::default(),
    };
    Controller::start(config).map_err(ClusterError::Controller)
}

fn start_gateway(layout: &ClusterLayout, node: &NodeLayout) -> Result<GatewayHandle, ClusterError> {
    let config = GatewayConfig {
        node: node.node.clone(),
        zone: node.zone.clone(),
        region: layout.deployment.region.clone(),
        listen: node.gateway,
        controllers: layout.controllers_from(node),
        platform: layout.platform,
        roots: layout.deployment.roots(),
        cache_secret_file: None,
        cache_secret: Some(CacheSecret::new(CACHE_SECRET)),
        http: Default::default(),
        requests: Default::default(),
        timings: Default::default(),
        engine_timeouts: Default::default(),
        routing: Default::default(),
        admission: Default::default(),
    };
    Gateway::start(config).map_err(ClusterError::Gateway)
}
