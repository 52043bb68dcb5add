//! Where every part of a small deployment runs, decided before anything starts.

use super::addresses::unused_address;
use super::deployment::Deployment;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::identity::{EngineId, NodeId, ZoneId};
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use std::net::SocketAddr;

/// Parts in each zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneSize {
    /// Nodes, each a gateway and a controller.
    pub nodes: usize,
    /// Engines that run the model.
    pub model_engines: usize,
    /// Engines that run the application.
    pub application_engines: usize,
}

impl ZoneSize {
    /// As the first users have it today.
    pub const TODAY: Self = Self {
        nodes: 1,
        model_engines: 3,
        application_engines: 1,
    };
}

/// Addresses of a whole deployment on loopback.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterLayout {
    /// The deployment.
    pub deployment: Deployment,
    /// The platform.
    pub platform: SocketAddr,
    /// Nodes, by zone.
    pub nodes: Vec<NodeLayout>,
    /// Engines, by zone.
    pub engines: Vec<EngineLayout>,
}

/// One node: a gateway and a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLayout {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// HTTP address of the gateway.
    pub gateway: SocketAddr,
    /// Peer address of the controller, over TCP and UDP.
    pub controller: SocketAddr,
    /// HTTP address of the controller.
    pub controller_http: SocketAddr,
}

/// One engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineLayout {
    /// Its name.
    pub engine: EngineId,
    /// Its zone.
    pub zone: ZoneId,
    /// What it runs.
    pub kind: ModelKind,
    /// HTTP address.
    pub address: SocketAddr,
}

impl ClusterLayout {
    /// Gives every part of the deployment an address.
    pub fn new(deployment: Deployment, size: ZoneSize) -> std::io::Result<Self> {
        let mut nodes = Vec::new();
        let mut engines = Vec::new();
        for zone in &deployment.zones {
            for index in 1..=size.nodes {
                nodes.push(NodeLayout::new(zone, index)?);
            }
            for index in 1..=size.model_engines {
                engines.push(EngineLayout::new(zone, ModelKind::Model, index)?);
            }
            for index in 1..=size.application_engines {
                engines.push(EngineLayout::new(zone, ModelKind::Application, index)?);
            }
        }
        Ok(Self {
            platform: unused_address()?,
            deployment,
            nodes,
            engines,
        })
    }

    /// The platform's list of machines.
    pub fn machines(&self) -> Vec<Machine> {
        let nodes = self.nodes.iter().map(|node| {
            let service = MachineService::Node {
                gateway: node.gateway,
                controller: node.controller,
            };
            self.machine(node.node.as_str(), &node.zone, service)
        });
        let engines = self.engines.iter().map(|engine| {
            let address = engine.address;
            let service = match engine.kind {
                ModelKind::Model => MachineService::ModelEngine { address },
                ModelKind::Application => MachineService::ApplicationEngine { address },
            };
            self.machine(engine.engine.as_str(), &engine.zone, service)
        });
        nodes.chain(engines).collect()
    }

    /// Controllers as the gateway of a node asks them: its own first, then the others.
    pub fn controllers_from(&self, node: &NodeLayout) -> Vec<SocketAddr> {
        let others = self.nodes.iter().filter(|other| other.node != node.node);
        std::iter::once(node.controller)
            .chain(others.map(|other| other.controller))
            .collect()
    }

    /// Controllers of every node but one.
    pub fn seeds_for(&self, node: &NodeLayout) -> Vec<SocketAddr> {
        self.controllers_from(node).split_off(1)
    }

    fn machine(&self, name: &str, zone: &ZoneId, service: MachineService) -> Machine {
        Machine {
            name: name.to_owned(),
            zone: zone.clone(),
            region: self.deployment.region.clone(),
            service,
            state: MachineState::Live,
        }
    }
}

impl NodeLayout {
    fn new(zone: &ZoneId, index: usize) -> std::io::Result<Self> {
        Ok(Self {
            node: NodeId::new(format!("node-{zone}-{index}")),
            zone: zone.clone(),
            gateway: unused_address()?,
            controller: unused_address()?,
            controller_http: unused_address()?,
        })
    }
}

impl EngineLayout {
    fn new(zone: &ZoneId, kind: ModelKind, index: usize) -> std::io::Result<Self> {
        let kind_name = match kind {
            ModelKind::Model => "model",
            ModelKind::Application => "application",
        };
        Ok(Self {
            engine: EngineId::new(format!("{kind_name}-{zone}-{index}")),
            zone: zone.clone(),
            kind,
            address: unused_address()?,
        })
    }
}
