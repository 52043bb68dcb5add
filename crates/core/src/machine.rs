//! The platform's list of machines.

use crate::identity::{RegionId, ZoneId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One entry of the platform's lagging list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the machine: a node's or an engine's identifier.
    pub name: String,
    /// Zone that holds the machine.
    pub zone: ZoneId,
    /// Region that holds the zone.
    pub region: RegionId,
    /// What runs there and where it listens.
    pub service: MachineService,
    /// Whether the platform is about to take the machine away.
    pub state: MachineState,
}

/// What a machine runs. The variant's name is the outer key, since bincode can't read tags inside the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineService {
    /// A gateway and a controller.
    Node {
        /// HTTP address of the gateway (callers and administration).
        gateway: SocketAddr,
        /// UDP and TCP address of the controller (peers).
        controller: SocketAddr,
    },
    /// An engine that runs models.
    ModelEngine {
        /// HTTP address of the engine.
        address: SocketAddr,
    },
    /// An application that acts on calls, such as order application or caption delivery.
    ApplicationEngine {
        /// HTTP address of the engine.
        address: SocketAddr,
    },
}

/// Whether a machine stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// In service.
    Live,
    /// To be taken away soon: nothing new may go there.
    Leaving,
}
