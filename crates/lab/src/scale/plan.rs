//! Which nodes and engines a fleet of a size has, and where.

use shelfjunction_core::identity::{EngineId, NodeId, RegionId, ZoneId};
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use std::net::{Ipv4Addr, SocketAddr};

/// Zones of the fleet and the region that holds each.
pub const ZONES: [(&str, &str); 7] = [
    ("north-a", "north"),
    ("north-b", "north"),
    ("north-c", "north"),
    ("east-a", "east"),
    ("east-b", "east"),
    ("west-a", "west"),
    ("west-b", "west"),
];

/// Engines for each 410 nodes at the size aimed at.
const ENGINES_AT_AIM: usize = 920;

/// Nodes at the size aimed at.
const NODES_AT_AIM: usize = 410;

/// First of the ports from which a run takes the one of its hollow controllers; their addresses differ.
const FIRST_CONTROLLER_PORT: u16 = 10_000;

/// Ports from which a run takes one, by its process's identifier, so that two runs on one machine don't meet.
const CONTROLLER_PORTS: u32 = 9_000;

/// Port that stands for the engines; nothing listens there.
const ENGINE_PORT: u16 = 19_500;

/// One hollow node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodePlan {
    /// Its name.
    pub node: NodeId,
    /// Position of its zone in [`ZONES`].
    pub zone: usize,
    /// Its controller, TCP and UDP.
    pub controller: SocketAddr,
}

/// One hollow engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlan {
    /// Its name.
    pub engine: EngineId,
    /// Position of its zone in [`ZONES`].
    pub zone: usize,
    /// Its address, by which it is told apart.
    pub address: SocketAddr,
}

/// A fleet of one size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetPlan {
    /// Its nodes.
    pub nodes: Vec<NodePlan>,
    /// Its engines.
    pub engines: Vec<EnginePlan>,
}

impl FleetPlan {
    /// Spreads nodes, and engines in proportion, over the zones.
    pub fn new(nodes: usize) -> Self {
        let engines = nodes * ENGINES_AT_AIM / NODES_AT_AIM;
        Self {
            nodes: (0..nodes).map(node_plan).collect(),
            engines: (0..engines).map(engine_plan).collect(),
        }
    }

    /// The platform's list of this fleet.
    pub fn machines(&self) -> Vec<Machine> {
        let nodes = self.nodes.iter().map(NodePlan::machine);
        nodes
            .chain(
                self.engines
                    .iter()
                    .map(|engine| engine.machine(MachineState::Live)),
            )
            .collect()
    }
}

impl NodePlan {
    /// Its entry in the platform's list.
    pub fn machine(&self) -> Machine {
        Machine {
            name: self.node.0.clone(),
            zone: zone_id(self.zone),
            region: region_id(self.zone),
            service: self.service(),
            state: MachineState::Live,
        }
    }

    /// What it runs.
    pub fn service(&self) -> MachineService {
        MachineService::Node {
            gateway: self.controller,
            controller: self.controller,
        }
    }
}

impl EnginePlan {
    /// Its entry in the platform's list.
    pub fn machine(&self, state: MachineState) -> Machine {
        Machine {
            name: self.engine.to_string(),
            zone: zone_id(self.zone),
            region: region_id(self.zone),
            service: MachineService::ModelEngine {
                address: self.address,
            },
            state,
        }
    }
}

/// Name of a zone by its position.
pub fn zone_id(zone: usize) -> ZoneId {
    ZoneId::new(ZONES[zone].0)
}

/// Region of a zone by the zone's position.
pub fn region_id(zone: usize) -> RegionId {
    RegionId::new(ZONES[zone].1)
}

/// Zone that an address of this fleet belongs to.
pub fn zone_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        std::net::IpAddr::V4(address) => usize::from(address.octets()[1]).checked_sub(10),
        std::net::IpAddr::V6(_) => None,
    }
    .filter(|zone| *zone < ZONES.len())
}

fn node_plan(number: usize) -> NodePlan {
    let zone = number % ZONES.len();
    let node = NodeId::new(format!("node-{}-{number:03}", ZONES[zone].0));
    NodePlan {
        node,
        zone,
        controller: address(zone, number, controller_port()),
    }
}

/// The plan of an engine by its number; numbers beyond the fleet's make new engines.
pub fn engine_plan(number: usize) -> EnginePlan {
    let zone = number % ZONES.len();
    let engine = EngineId::new(format!("engine-{}-{number:03}", ZONES[zone].0));
    EnginePlan {
        engine,
        zone,
        address: address(zone, number, ENGINE_PORT),
    }
}

/// Port of every hollow controller of this process.
fn controller_port() -> u16 {
    let offset = std::process::id() % CONTROLLER_PORTS;
    FIRST_CONTROLLER_PORT + u16::try_from(offset).unwrap_or_default()
}

/// An address of the loopback network whose second number tells the zone.
fn address(zone: usize, number: usize, port: u16) -> SocketAddr {
    let zone = u8::try_from(zone + 10).unwrap_or(u8::MAX);
    let high = u8::try_from(number / 250).unwrap_or(u8::MAX);
    let low = u8::try_from(number % 250 + 1).unwrap_or(u8::MAX);
    SocketAddr::from((Ipv4Addr::new(127, zone, high, low), port))
}
