//! The fleet's events and how they are carried out.

use super::callers::CallerHistory;
use super::commanding::Commanding;
use super::controller::ControllerProcess;
use super::engine::EngineProcess;
use super::gateway::GatewayProcess;
use super::history::History;
use super::network::Network;
use super::planted::PlantedFault;
use super::schedule::Schedule;
use super::serving::Serving;
use super::store;
use super::streams::Stream;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use shelfjunction_core::identity::{EngineId, FencingToken, NodeId, ZoneId};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::platform::state::PlatformState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time until a killed process is started again.
const RESTART: Duration = Duration::from_millis(1_500);

/// How many processes a zone has.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ZonePlan {
    /// Controllers.
    pub controllers: usize,
    /// Engines that run the model.
    pub engines: usize,
    /// Engines that run the application.
    pub applications: usize,
    /// Gateways.
    pub gateways: usize,
}

/// How many processes each zone has, and what is planted.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The zones.
    pub zones: Vec<ZonePlan>,
    /// Seed of everything that the network and the clocks draw.
    pub seed: u64,
    /// Fault put in on purpose.
    pub planted: Option<PlantedFault>,
}

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub(super) enum Happening {
    Commanding(Commanding),
    Serving(Serving),
    ControllerStarts(usize),
    EngineStarts(usize),
    GatewayStarts(usize),
}

/// The whole fleet.
#[derive(Debug)]
pub struct Fleet {
    pub(super) now: MonotonicTime,
    pub(super) schedule: Schedule<Happening>,
    pub(super) network: Network,
    pub(super) platform: PlatformState,
    pub(super) controllers: Vec<ControllerProcess>,
    pub(super) engines: Vec<EngineProcess>,
    pub(super) gateways: Vec<GatewayProcess>,
    pub(super) streams: Vec<Stream>,
    /// When a start of a gateway read that an engine leaves.
    pub(super) known_leaving: BTreeMap<(usize, u64, EngineId), MonotonicTime>,
    pub(super) random: ChaCha8Rng,
    pub(super) epochs: Vec<FencingToken>,
    pub(super) planted: Option<PlantedFault>,
    pub(super) starts: u64,
    pub(super) records_read: u64,
    /// What happened to orders so far.
    pub history: History,
    /// What happened to callers so far.
    pub callers: CallerHistory,
}

impl Fleet {
    /// A fleet in which every process has just started.
    pub fn new(plan: &FleetPlan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let network = Network::new(ChaCha8Rng::seed_from_u64(random.random()));
        let mut fleet = Self {
            now: MonotonicTime::from_millis(1_000),
            schedule: Schedule::default(),
            network,
            platform: store::new_platform(),
            controllers: Vec::new(),
            engines: Vec::new(),
            gateways: Vec::new(),
            streams: Vec::new(),
            known_leaving: BTreeMap::new(),
            random,
            epochs: vec![FencingToken(0); plan.zones.len()],
            planted: plan.planted,
            starts: 0,
            records_read: 0,
            history: History::default(),
            callers: CallerHistory::default(),
        };
        for (zone, size) in plan.zones.iter().enumerate() {
            fleet.fill_zone(zone, *size);
        }
        for controller in 0..fleet.controllers.len() {
            fleet.begin_controller(controller);
        }
        for gateway in 0..fleet.gateways.len() {
            fleet.begin_gateway(gateway);
        }
        fleet
    }

    fn fill_zone(&mut self, zone: usize, size: ZonePlan) {
        for number in 0..size.engines + size.applications {
            let engine = EngineId::new(format!("engine-{zone}-{number}"));
            let index = u16::try_from(self.engines.len()).unwrap_or(u16::MAX);
            let application = number >= size.engines;
            self.engines
                .push(EngineProcess::new(engine, zone, index, application));
        }
        for number in 0..size.controllers {
            let node = NodeId(format!("node-{zone}-{number}"));
            let process = self.new_controller(node, zone);
            self.controllers.push(process);
        }
        for _ in 0..size.gateways {
            let process = self.new_gateway(zone);
            self.gateways.push(process);
        }
    }

    /// The present instant of virtual time.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Lets virtual time pass.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some((at, happening)) = self.schedule.next_until(end) {
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Identifier of a zone.
    pub fn zone_id(zone: usize) -> ZoneId {
        ZoneId(format!("zone-{zone}"))
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Commanding(commanding) => self.command(commanding),
            Happening::Serving(serving) => self.serve(serving),
            Happening::ControllerStarts(controller) => self.controller_starts(controller),
            Happening::EngineStarts(engine) => self.engines[engine].up = true,
            Happening::GatewayStarts(gateway) => {
                let zone = self.gateways[gateway].zone;
                self.gateways[gateway] = self.new_gateway(zone);
                self.begin_gateway(gateway);
            }
        }
    }

    pub(super) fn later(&mut self, at: MonotonicTime, happening: impl Into<Happening>) {
        self.schedule.add(at, happening.into());
    }

    pub(super) fn restart_later(&mut self, happening: impl Into<Happening>) {
        self.later(self.now + RESTART, happening);
    }
}
