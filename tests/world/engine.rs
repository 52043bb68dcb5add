//! One engine's process in the world: the engine model that also serves as the stand-in.

use shelfjunction_core::engine::{
    EngineCall, EngineRefusal, EngineStatus, LoadedWeights, Order, OrderReply, Role,
};
use shelfjunction_core::identity::{EngineId, ModelId, WeightVersion};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::config::{ChangeCosts, EngineKind, StepCosts};
use shelfjunction_engine_model::{EngineModel, EngineModelConfig, KvExport, RunNumber};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a change takes, in milliseconds.
const CHANGE_MILLIS: u64 = 3_000;

/// Time of one step of the running batch, in microseconds: long, so that failures meet running requests.
const STEP_MICROS: u64 = 60_000;

/// The model that model engines run.
pub const MODEL: &str = "renewals";

/// The application that application engines run.
pub const APPLICATION: &str = "dispatch";

/// One engine.
#[derive(Debug)]
pub struct EngineProcess {
    /// Its identifier.
    pub engine: EngineId,
    /// Index of its zone.
    pub zone: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it runs an application.
    pub application: bool,
    /// Whether the process runs.
    pub up: bool,
    /// Whether the platform takes its machine away.
    pub machine_state: MachineState,
    /// Instant of the next look at its streams, if one is planned.
    pub pump_at: Option<MonotonicTime>,
    /// The model.
    pub model: EngineModel,
}

impl EngineProcess {
    /// An engine that has just started for the first time.
    pub fn new(engine: EngineId, zone: usize, number: u16, application: bool) -> Self {
        let kind = match application {
            true => EngineKind::Application {
                application: ModelId::new(APPLICATION),
            },
            false => EngineKind::Model {
                role: Role::Mixed,
                weights: vec![weights()],
            },
        };
        let config = EngineModelConfig {
            kind,
            step: StepCosts {
                base_micros: STEP_MICROS,
                ..StepCosts::default()
            },
            changes: ChangeCosts {
                role_millis: CHANGE_MILLIS,
                load_millis: CHANGE_MILLIS,
            },
            ..EngineModelConfig::default()
        };
        Self {
            model: EngineModel::new(engine.clone(), 1, config, u64::from(number)),
            engine,
            zone,
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
            application,
            up: true,
            machine_state: MachineState::Live,
            pump_at: None,
        }
    }

    /// What runs there and where it listens.
    pub fn service(&self) -> MachineService {
        match self.application {
            true => MachineService::ApplicationEngine {
                address: self.address,
            },
            false => MachineService::ModelEngine {
                address: self.address,
            },
        }
    }

    /// The start of the process.
    pub fn incarnation(&self) -> u64 {
        self.model.state().incarnation()
    }

    /// Ends the process; what comes up again is empty.
    pub fn crash(&mut self) {
        self.up = false;
        self.model.crash();
    }

    /// Takes an order; also tells whether it was carried out or begun by this very call.
    pub fn order(&mut self, order: &Order, now: MonotonicTime) -> (OrderReply, bool) {
        let before = self.model.status(now).last_order;
        let reply = self.model.order(now, order, Duration::ZERO);
        let last = self.model.status(now).last_order;
        let is_last = last
            .as_ref()
            .is_some_and(|progress| progress.order == order.order);
        let is_new = before.is_none_or(|before| before.order != order.order);
        (reply, is_last && is_new)
    }

    /// Begins a call, or refuses it before any of it ran.
    pub fn call(
        &mut self,
        call: &EngineCall,
        import: Option<&KvExport>,
        now: MonotonicTime,
    ) -> Result<RunNumber, EngineRefusal> {
        self.model.call(now, call, import)
    }

    /// Calls that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.model.state().in_flight()
    }

    /// Whether it is in the middle of a change that another order of the same holder began.
    pub fn is_changing_for_other(&mut self, order: &Order, now: MonotonicTime) -> bool {
        let status = self.status(now);
        let last = status.last_order.map(|progress| progress.order);
        self.up && status.changing && status.fence == order.token && last.as_ref() != Some(&order.order)
    }

    /// What the engine says of itself.
    pub fn status(&mut self, now: MonotonicTime) -> EngineStatus {
        self.model.status(now)
    }
}

/// Weights of the model.
pub fn weights() -> LoadedWeights {
    LoadedWeights {
        model: ModelId::new(MODEL),
        version: WeightVersion::new("1"),
        adapters: Vec::new(),
    }
}
