//! Encoding of a machine's service inside records.
//!
//! [`MachineService`] names its kind inside the object, as the platform's JSON does. bincode cannot read such a
//! type, since it does not describe itself; a record numbers the kinds instead.

use crate::machine::MachineService;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::net::SocketAddr;

/// [`MachineService`] with the kind outside the object.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Service {
    Node {
        gateway: SocketAddr,
        controller: SocketAddr,
    },
    ModelEngine {
        address: SocketAddr,
    },
    ApplicationEngine {
        address: SocketAddr,
    },
}

/// Writes a service.
pub fn serialize<S: Serializer>(service: &MachineService, serializer: S) -> Result<S::Ok, S::Error> {
    let service = match *service {
        MachineService::Node { gateway, controller } => Service::Node { gateway, controller },
        MachineService::ModelEngine { address } => Service::ModelEngine { address },
        MachineService::ApplicationEngine { address } => Service::ApplicationEngine { address },
    };
    service.serialize(serializer)
}

/// Reads a service.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<MachineService, D::Error> {
    Ok(match Service::deserialize(deserializer)? {
        Service::Node { gateway, controller } => MachineService::Node { gateway, controller },
        Service::ModelEngine { address } => MachineService::ModelEngine { address },
        Service::ApplicationEngine { address } => MachineService::ApplicationEngine { address },
    })
}
