//! Engines of a run: polls, deaths and returns.

use super::deployment::{Deployment, ENGINES_PER_ZONE};
use super::policy::Policy;
use super::world::{Delivery, Event, World};
use shelfjunction_core::engine::{LoadedWeights, OrderSequence, Role};
use shelfjunction_core::identity::{EngineId, WeightVersion};
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_core::membership::record::{EngineRecord, Liveness};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::config::{EngineKind, ReportLags};
use shelfjunction_engine_model::{EngineFaults, EngineModelConfig, EngineState};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Time until an engine that does not answer is thought dead.
const DEATH_AFTER: Duration = Duration::from_secs(3);
/// Port of the first engine; nothing listens there, the address only tells engines apart.
const FIRST_PORT: u16 = 1_000;

/// Where a role change stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum ChangeStage {
    /// Drained; waits until nothing is in flight.
    Draining,
    /// The engine changes.
    Changing,
    /// The engine started empty and loads weights.
    Loading,
}

/// One engine of a run.
pub(super) struct SimulatedEngine {
    pub id: EngineId,
    pub address: SocketAddr,
    pub zone: usize,
    pub state: EngineState,
    pub alive: bool,
    pub wanted: Role,
    pub stage: Option<ChangeStage>,
    pub changed_at: Option<MonotonicTime>,
    pub sequence: OrderSequence,
    pub faults: EngineFaults,
    pub last_event: u64,
    pub wake_at: Option<MonotonicTime>,
}

impl SimulatedEngine {
    pub fn new(index: usize, deployment: &Deployment, policy: &Policy, seed: u64) -> Self {
        let role = policy.initial[index % ENGINES_PER_ZONE];
        let id = EngineId::new(format!("engine-{index}"));
        let mut config = EngineModelConfig {
            kind: EngineKind::Model {
                role,
                weights: vec![weights(deployment)],
            },
            ..EngineModelConfig::default()
        };
        if policy.perfect_view {
            config.reports = ReportLags {
                load_lag_millis: 0,
                load_interval_millis: 0,
                event_lag_millis: 0,
                ..config.reports
            };
        }
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + index as u16)),
            zone: index / ENGINES_PER_ZONE,
            state: EngineState::new(id.clone(), 1, config, seed ^ index as u64),
            id,
            alive: true,
            wanted: role,
            stage: None,
            changed_at: None,
            sequence: OrderSequence(0),
            faults: EngineFaults::default(),
            last_event: 0,
            wake_at: None,
        }
    }
}

/// The weights that every engine of a deployment runs.
pub(super) fn weights(deployment: &Deployment) -> LoadedWeights {
    LoadedWeights {
        model: deployment.model.clone(),
        version: WeightVersion::new("1"),
        adapters: Vec::new(),
    }
}

impl World<'_> {
    /// Brings an engine up to now and keeps what happened in it for [`World::settle`].
    pub(super) fn advance_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if !engine.alive {
            return;
        }
        let before = engine.state.incarnation();
        let mut events = Vec::new();
        engine.state.advance(self.now, &mut events);
        self.happened
            .extend(events.into_iter().map(|event| (index, event)));
        if self.engines[index].state.incarnation() != before {
            self.on_engine_restarted(index);
        }
    }

    /// Makes sure that an engine is woken when something may happen in it.
    pub(super) fn plan_wake(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let next = engine.state.next_event_at().filter(|_| engine.alive);
        if next == engine.wake_at {
            return;
        }
        engine.wake_at = next;
        if let Some(at) = next {
            self.schedule(at, Event::EngineWake(index));
        }
    }

    pub(super) fn on_wake(&mut self, index: usize) {
        if self.engines[index].wake_at != Some(self.now) {
            return;
        }
        self.engines[index].wake_at = None;
        self.advance_engine(index);
        self.plan_wake(index);
    }

    /// A watcher asks the engine for its status and cache events.
    pub(super) fn poll(&mut self, index: usize) {
        if !self.engines[index].alive {
            return;
        }
        self.advance_engine(index);
        self.plan_wake(index);
        self.advance_change(index);
        let engine = &mut self.engines[index];
        let status = engine.state.status(self.now);
        let events = engine.state.kv_events(engine.last_event, self.now);
        if let Some(last) = events.last() {
            engine.last_event = last.sequence;
        }
        let delivery = Delivery {
            incarnation: status.incarnation,
            record: EngineRecord {
                zone: self.deployment.zones[engine.zone].clone(),
                service: MachineService::ModelEngine {
                    address: engine.address,
                },
                machine_state: MachineState::Live,
                liveness: Liveness::Alive,
                status: Some(status),
            },
            events,
            observed_at: self.now,
        };
        self.schedule(
            self.now + self.report_delay,
            Event::Deliver(index, Box::new(delivery)),
        );
    }

    pub(super) fn on_delivery(&mut self, index: usize, delivery: &Delivery) {
        let age = self.now.since(delivery.observed_at);
        let id = self.engines[index].id.clone();
        for gateway in &mut self.gateways {
            gateway
                .router
                .on_engine_record(&id, &delivery.record, age, self.now);
            gateway
                .router
                .on_kv_events(&id, delivery.incarnation, &delivery.events);
        }
        if let Some(status) = &delivery.record.status {
            self.profile.learn(status.role, &status.load);
        }
        self.view[index] = Some((delivery.record.clone(), delivery.observed_at));
    }

    /// Ends an engine's process; it starts again, empty, after the given time.
    pub(super) fn crash_engine(&mut self, index: usize, back_after: Duration) {
        self.engines[index].state.crash();
        self.on_engine_restarted(index);
        let engine = &mut self.engines[index];
        engine.alive = false;
        engine.wake_at = None;
        let incarnation = engine.state.incarnation();
        self.schedule(self.now + DEATH_AFTER, Event::EngineDead(index, incarnation));
        self.schedule(self.now + back_after, Event::EngineBack(index));
    }

    /// Everything that ran on an engine is gone with its process.
    fn on_engine_restarted(&mut self, index: usize) {
        self.engines[index].last_event = 0;
        self.engines[index].stage = Some(ChangeStage::Loading);
        let mut lost: Vec<usize> = self
            .running
            .iter()
            .filter(|((engine, _), _)| *engine == index)
            .map(|(_, request)| *request)
            .collect();
        lost.sort_unstable();
        self.running.retain(|(engine, _), _| *engine != index);
        self.happened.retain(|(engine, _)| *engine != index);
        for request in lost {
            self.on_connection_lost(request);
        }
    }

    pub(super) fn on_engine_dead(&mut self, index: usize, incarnation: u64) {
        let engine = &self.engines[index];
        if engine.alive || engine.state.incarnation() != incarnation {
            return;
        }
        let Some((mut record, _)) = self.view[index].clone() else {
            return;
        };
        record.liveness = Liveness::Dead;
        let id = engine.id.clone();
        for gateway in &mut self.gateways {
            gateway
                .router
                .on_engine_record(&id, &record, Duration::ZERO, self.now);
        }
        self.view[index] = Some((record, self.now));
    }

    pub(super) fn engine_back(&mut self, index: usize) {
        self.engines[index].alive = true;
        self.poll(index);
    }

    /// Switches faults of an engine.
    pub(super) fn change_faults(&mut self, index: usize, change: impl FnOnce(&mut EngineFaults)) {
        self.advance_engine(index);
        let engine = &mut self.engines[index];
        change(&mut engine.faults);
        engine.state.set_faults(engine.faults);
        self.plan_wake(index);
    }
}
