//! One gateway's process in the world: the real request machines, claim batcher and router, and a clock of its own.

use super::clock::ProcessClock;
use super::controller::ProcessState;
use super::planted::PlantedFault;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::engine::EngineCall;
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::ledger::batcher::{BatchId, BatchSettings, ClaimBatcher, Ticket};
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::machine::MachineState;
use shelfjunction_core::membership::record::EngineRecord;
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::Target;
use shelfjunction_core::retry::backoff::Backoff;
use shelfjunction_core::retry::budget::{RetryBudget, RetryBudgetSettings};
use shelfjunction_core::routing::weights::RoutingWeights;
use shelfjunction_core::routing::{KvRouter, RouteQuery};
use shelfjunction_core::table::{PlatformError, Row, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Something that the process still has to do or to take in.
#[derive(Clone, Debug)]
pub enum GatewayWork {
    /// An event for the machine of one caller.
    Event(usize, Event),
    /// An action that was put off.
    Later(usize, Action),
    /// The clock has been looked at; the call leaves now.
    Depart {
        caller: usize,
        target: Target,
        call: Box<EngineCall>,
    },
    /// The batcher may have a transaction to give.
    BatchDue,
    /// A transaction has ended.
    BatchEnded(BatchId, Result<TransactionOutcome, PlatformError>),
    /// A row was read so that a claim can be given back.
    ReleaseRead { release: Release, row: Option<Row> },
    /// An engine's record arrived.
    Record {
        engine: EngineId,
        record: Box<EngineRecord>,
        asked_at: MonotonicTime,
    },
    /// The platform's list arrived.
    Machines(Vec<(EngineId, MachineState)>),
}

/// One request in its course.
#[derive(Debug)]
pub struct Course {
    /// The machine.
    pub machine: RequestMachine,
    /// What it asks the router.
    pub query: RouteQuery,
    /// Call that was handed over last, for a planted fault.
    pub last_call: Option<(Target, Box<EngineCall>)>,
}

/// One gateway.
#[derive(Debug)]
pub struct GatewayProcess {
    /// Index of its zone.
    pub zone: usize,
    /// Whether it runs.
    pub state: ProcessState,
    /// Whether it takes nothing new and ends when its last stream has ended.
    pub stopping: bool,
    /// Number of its start.
    pub start: u64,
    /// Its clock.
    pub clock: ProcessClock,
    /// Requests by index of the caller.
    pub courses: BTreeMap<usize, Course>,
    /// Writes of claims.
    pub batcher: ClaimBatcher,
    /// Callers that wait for a claim's answer.
    pub tickets: BTreeMap<Ticket, usize>,
    /// Transactions on their way.
    pub batches: BTreeSet<BatchId>,
    /// Calls and questions whose first answer has not come.
    pub opening: BTreeSet<(usize, AttemptId)>,
    /// Questions about run states whose answer has not come.
    pub asking: BTreeSet<(usize, u64)>,
    /// Chooses engines.
    pub router: KvRouter,
    /// Starts of engines as last seen.
    pub incarnations: BTreeMap<EngineId, u64>,
    /// Last records of engines, with when they were asked for.
    pub records: BTreeMap<EngineId, (EngineRecord, MonotonicTime)>,
    /// Engines that the platform's list names as leaving, as far as this gateway has read it.
    pub leaving: BTreeSet<EngineId>,
    /// Limits retries.
    pub budget: RetryBudget,
    /// Pauses between retries.
    pub backoff: Backoff,
    /// Draws candidates and pauses.
    pub random: ChaCha8Rng,
    /// What arrived while it was paused.
    pub inbox: Vec<GatewayWork>,
    /// Numbers questions.
    pub questions: u64,
    planted: Option<PlantedFault>,
}

impl GatewayProcess {
    /// A process that has just started.
    pub fn new(
        zone: usize,
        start: u64,
        offset: Duration,
        random: ChaCha8Rng,
        planted: Option<PlantedFault>,
    ) -> Self {
        Self {
            zone,
            state: ProcessState::Up,
            stopping: false,
            start,
            clock: ProcessClock::new(offset),
            courses: BTreeMap::new(),
            batcher: ClaimBatcher::new(BatchSettings::default()),
            tickets: BTreeMap::new(),
            batches: BTreeSet::new(),
            opening: BTreeSet::new(),
            asking: BTreeSet::new(),
            router: KvRouter::new(RoutingWeights::default()),
            incarnations: BTreeMap::new(),
            records: BTreeMap::new(),
            leaving: BTreeSet::new(),
            budget: RetryBudget::new(RetryBudgetSettings::default()),
            backoff: Backoff::default(),
            random,
            inbox: Vec::new(),
            questions: 0,
            planted,
        }
    }

    /// Whether this fault is planted.
    pub fn has(&self, fault: PlantedFault) -> bool {
        self.planted == Some(fault)
    }

    /// Takes a record of an engine, as its controller publishes it.
    pub fn take_record(
        &mut self,
        record: EngineRecord,
        engine: &EngineId,
        asked_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        if let Some(status) = &record.status {
            self.incarnations.insert(engine.clone(), status.incarnation);
        }
        self.records.insert(engine.clone(), (record, asked_at));
        self.route_by(engine, now);
    }

    /// Takes the platform's list; gives the engines that it names as leaving for the first time.
    pub fn take_machines(
        &mut self,
        machines: Vec<(EngineId, MachineState)>,
        now: MonotonicTime,
    ) -> Vec<EngineId> {
        let leaving = machines
            .into_iter()
            .filter(|(_, state)| *state == MachineState::Leaving);
        let new: Vec<EngineId> = leaving
            .filter(|(engine, _)| self.leaving.insert(engine.clone()))
            .map(|(engine, _)| engine)
            .collect();
        for engine in &new {
            self.route_by(engine, now);
        }
        new
    }

    /// Hands the router the last record of an engine, with what the platform's list says of its machine.
    fn route_by(&mut self, engine: &EngineId, now: MonotonicTime) {
        let Some((mut record, asked_at)) = self.records.get(engine).cloned() else {
            return;
        };
        let overlooks = self.has(PlantedFault::RouteToLeavingEngine);
        if self.leaving.contains(engine) && !overlooks {
            record.machine_state = MachineState::Leaving;
        }
        if let Some(status) = record.status.as_mut().filter(|_| overlooks) {
            status.draining = false;
        }
        let local = self.clock.read(now);
        self.router
            .on_engine_record(engine, &record, local.since(asked_at), local);
    }
}
