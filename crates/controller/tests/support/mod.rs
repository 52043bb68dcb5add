//! Stand-ins for the systems outside, for tests of the controller alone.
#![allow(clippy::unwrap_used, dead_code)]

pub mod gate;

use shelfjunction_controller::Services;
use shelfjunction_controller::config::{ControllerConfig, Limits, Timings};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::engine::{
    EngineCall, EngineStatus, LoadReport, Order, OrderAction, OrderProgress, OrderReply, Role, RunState,
};
use shelfjunction_core::identity::{
    EngineId, FencingToken, ModelId, NodeId, RegionId, RequestId, WeightVersion, ZoneId,
};
use shelfjunction_core::lease::LeaseTimings;
use shelfjunction_core::machine::{Machine, MachineService, MachineState};
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::orders::OrderTimings;
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, TransactionOutcome};
use shelfjunction_platform::engine::{AnswerStream, CallError, ControlError, EngineClient, KvEventBatch};
use shelfjunction_platform::services::{MachineList, ObjectStore, TableService, WeightStore};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Any free loopback port.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Settings of a controller alone in its zone.
pub fn config(node: &str) -> ControllerConfig {
    let any: SocketAddr = ANY_PORT.parse().unwrap();
    ControllerConfig {
        node: NodeId::new(node),
        zone: ZoneId::new("zone-a"),
        region: RegionId::new("region"),
        listen: any,
        http_listen: any,
        gateway_address: any,
        platform: any,
        seeds: Vec::new(),
        roots: SigningAuthority::default(),
        lease: LeaseTimings::default(),
        orders: OrderTimings::default(),
        membership: MembershipConfig::default(),
        timings: Timings {
            engine_poll_millis: 20,
            machine_list_millis: 20,
            ..Timings::default()
        },
        limits: Limits::default(),
    }
}

/// A platform whose table and store are down and whose machine list is what the test says.
#[derive(Default)]
pub struct Platform {
    pub machines: Mutex<Vec<Machine>>,
}

impl TableService for Platform {
    fn read(&self, _: &RowKey) -> Result<Option<Row>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
    fn scan(&self, _: &str) -> Result<Vec<Row>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
    fn transact(&self, _: &Transaction) -> Result<TransactionOutcome, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

impl ObjectStore for Platform {
    fn put(&self, _: &str, _: &[u8]) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable)
    }
    fn get(&self, _: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

impl MachineList for Platform {
    fn machines(&self) -> Result<Vec<Machine>, PlatformError> {
        Ok(self.machines.lock().unwrap().clone())
    }
}

impl WeightStore for Platform {
    fn queue_millis(&self, _: &ModelId, _: &WeightVersion) -> Result<u64, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

/// One order as an engine met it.
#[derive(Clone, Debug)]
pub struct ToldOrder {
    pub order: Order,
    pub reply: OrderReply,
}

/// Engines that keep a fence, carry orders out at once and record what they were told; the port tells them apart.
#[derive(Default)]
pub struct Engines {
    pub statuses: Mutex<Vec<(SocketAddr, EngineStatus)>>,
    pub told: Mutex<Vec<ToldOrder>>,
    pub told_more: Condvar,
}

impl Engines {
    /// Waits until what the engines were told satisfies the condition.
    pub fn wait_told(&self, condition: impl Fn(&[ToldOrder]) -> bool, limit: Duration) -> Vec<ToldOrder> {
        let told = self.told.lock().unwrap();
        let (told, waited) = self
            .told_more
            .wait_timeout_while(told, limit, |told| !condition(told))
            .unwrap();
        assert!(!waited.timed_out(), "the engines were told only {told:#?}");
        told.clone()
    }
}

fn carry_out(status: &mut EngineStatus, order: &Order) -> OrderReply {
    let last = status
        .last_order
        .as_ref()
        .map(|last| last.sequence)
        .unwrap_or_default();
    let repeated = status
        .last_order
        .as_ref()
        .is_some_and(|last| last.order == order.order);
    if repeated {
        return OrderReply::Done;
    }
    if order.token < status.fence || (order.token == status.fence && order.sequence <= last) {
        return OrderReply::Fenced {
            highest: status.fence,
        };
    }
    status.fence = order.token;
    status.last_order = Some(OrderProgress {
        order: order.order.clone(),
        sequence: order.sequence,
        done: true,
    });
    match &order.action {
        OrderAction::RaiseFence => {}
        OrderAction::Drain => status.draining = true,
        OrderAction::Undrain => status.draining = false,
        OrderAction::ChangeRole { role } => status.role = *role,
        OrderAction::LoadWeights { weights } => {
            status.weights.retain(|held| held.model != weights.model);
            status.weights.push(weights.clone());
        }
    }
    OrderReply::Done
}

impl EngineClient for Engines {
    fn call(&self, _: SocketAddr, _: &EngineCall) -> Result<Box<dyn AnswerStream>, CallError> {
        Err(CallError::NotSent)
    }
    fn resume(&self, _: SocketAddr, _: &RequestId, _: u32) -> Result<Box<dyn AnswerStream>, CallError> {
        Err(CallError::NotSent)
    }
    fn run_state(&self, _: SocketAddr, _: &RequestId) -> Result<RunState, ControlError> {
        Err(ControlError::Unreachable)
    }
    fn cancel(&self, _: SocketAddr, _: &RequestId) -> Result<(), ControlError> {
        Err(ControlError::Unreachable)
    }
    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, ControlError> {
        let mut statuses = self.statuses.lock().unwrap();
        let found = statuses.iter_mut().find(|(known, _)| *known == address);
        let (_, status) = found.ok_or(ControlError::Unreachable)?;
        let reply = carry_out(status, order);
        self.told.lock().unwrap().push(ToldOrder {
            order: order.clone(),
            reply: reply.clone(),
        });
        self.told_more.notify_all();
        Ok(reply)
    }
    fn status(&self, address: SocketAddr) -> Result<EngineStatus, ControlError> {
        let statuses = self.statuses.lock().unwrap();
        let found = statuses.iter().find(|(known, _)| *known == address);
        found
            .map(|(_, status)| status.clone())
            .ok_or(ControlError::Unreachable)
    }
    fn kv_events(&self, _: SocketAddr, _: u64) -> Result<KvEventBatch, ControlError> {
        Err(ControlError::Unreachable)
    }
}

/// Services made of the two stand-ins.
pub fn services(platform: &Arc<Platform>, engines: &Arc<Engines>) -> Services {
    Services {
        table: Arc::clone(platform) as Arc<dyn TableService>,
        objects: Arc::clone(platform) as Arc<dyn ObjectStore>,
        machines: Arc::clone(platform) as Arc<dyn MachineList>,
        weights: Arc::clone(platform) as Arc<dyn WeightStore>,
        engines: Arc::clone(engines) as Arc<dyn EngineClient>,
    }
}

/// A model engine of the zone as the platform lists it.
pub fn engine_machine(name: &str, address: SocketAddr) -> Machine {
    Machine {
        name: name.to_owned(),
        zone: ZoneId::new("zone-a"),
        region: RegionId::new("region"),
        service: MachineService::ModelEngine { address },
        state: MachineState::Live,
    }
}

/// The status of an idle engine.
pub fn engine_status(name: &str, incarnation: u64) -> EngineStatus {
    EngineStatus {
        engine: EngineId::new(name),
        incarnation,
        fence: FencingToken(0),
        last_order: None,
        role: Role::Mixed,
        draining: false,
        changing: false,
        weights: Vec::new(),
        load: LoadReport::default(),
    }
}
