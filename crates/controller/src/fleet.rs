//! Engines and nodes as the records of membership describe them.

use crate::context::Context;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::EngineStatus;
use shelfjunction_core::identity::{EngineId, NodeId};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{
    EngineRecord, Liveness, NodeRecord, Record, RecordBody, RecordKey,
};
use std::net::SocketAddr;
use std::time::Duration;

/// An engine as its newest record describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its newest record.
    pub record: EngineRecord,
    /// Time since it was observed.
    pub age: Duration,
}

impl KnownEngine {
    /// Its HTTP address.
    pub fn address(&self) -> Option<SocketAddr> {
        match self.record.service {
            MachineService::ModelEngine { address } | MachineService::ApplicationEngine { address } => {
                Some(address)
            }
            MachineService::Node { .. } => None,
        }
    }

    /// Kind of work it does.
    pub fn kind(&self) -> ModelKind {
        match self.record.service {
            MachineService::ApplicationEngine { .. } => ModelKind::Application,
            MachineService::ModelEngine { .. } | MachineService::Node { .. } => ModelKind::Model,
        }
    }

    /// Whether its machine is to be taken away.
    pub fn is_leaving(&self) -> bool {
        self.record.machine_state == MachineState::Leaving
    }

    /// Its last status, while it is thought to answer.
    pub fn live_status(&self) -> Option<&EngineStatus> {
        match self.record.liveness {
            Liveness::Alive | Liveness::Leaving => self.record.status.as_ref(),
            Liveness::Suspect | Liveness::Dead => None,
        }
    }

    fn from_record(record: Record) -> Option<Self> {
        let (RecordKey::Engine(engine), RecordBody::Engine(body)) = (record.key, record.body) else {
            return None;
        };
        Some(Self {
            engine,
            record: body,
            age: Duration::from_millis(u64::from(record.age_millis)),
        })
    }
}

/// Every engine known and not dead.
pub fn engines(context: &Context) -> Vec<KnownEngine> {
    let known = context
        .gossip
        .records()
        .into_iter()
        .filter_map(KnownEngine::from_record);
    known
        .filter(|engine| engine.record.liveness != Liveness::Dead)
        .collect()
}

/// Engines of this controller's zone that are not dead.
pub fn zone_engines(context: &Context) -> Vec<KnownEngine> {
    let mut known = engines(context);
    known.retain(|engine| engine.record.zone == context.config.zone);
    known
}

/// Every node's record.
pub fn nodes(context: &Context) -> Vec<(NodeId, NodeRecord)> {
    let records = context.gossip.records().into_iter();
    records
        .filter_map(|record| match (record.key, record.body) {
            (RecordKey::Node(node), RecordBody::Node(body)) => Some((node, body)),
            _ => None,
        })
        .collect()
}

/// Peer address of a node's controller.
pub fn controller_address(service: MachineService) -> Option<SocketAddr> {
    match service {
        MachineService::Node { controller, .. } => Some(controller),
        MachineService::ModelEngine { .. } | MachineService::ApplicationEngine { .. } => None,
    }
}
