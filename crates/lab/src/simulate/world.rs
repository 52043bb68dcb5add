//! The event loop of one run.

use super::deployment::Deployment;
use super::engines::SimulatedEngine;
use super::gateways::{Flight, SimulatedGateway};
use super::policy::{Policy, RolesPolicy};
use super::statistics::{Ending, RunStatistics, SERIES_BIN_SECONDS};
use super::trace::{DisturbanceKind, Trace};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::demand::{DemandHistory, DemandReport};
use shelfjunction_core::engine::KvEvent;
use shelfjunction_core::membership::record::EngineRecord;
use shelfjunction_core::roles::{EngineProfile, RoleCounts};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::{BatchEvent, SequenceKey};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

/// Time between two polls of an engine by its watcher.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two polls for a view without lag.
const PERFECT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time from a poll until gateways and controllers have its record.
const GOSSIP_DELAY: Duration = Duration::from_millis(100);
/// Time between two ticks of a gateway.
const GATEWAY_TICK: Duration = Duration::from_millis(50);
/// Time between two decisions of a zone's planner.
pub(super) const PLAN_INTERVAL: Duration = Duration::from_secs(3);
/// Time between two demand reports of a gateway.
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the last arrival until the run ends.
const RUN_OUT: Duration = Duration::from_secs(90);

/// Something that happens at an instant.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Arrival(usize),
    Deadline(usize),
    EngineWake(usize),
    Poll(usize),
    Deliver(usize, Box<Delivery>),
    EngineDead(usize, u64),
    EngineBack(usize),
    GatewayTick,
    DemandTick,
    Plan(usize),
    Disturbance(usize),
    ZoneBack(usize),
    SeriesTick(usize),
}

/// What a poll of an engine brought, on its way to those who use it.
#[derive(Clone, Debug)]
pub(super) struct Delivery {
    pub record: EngineRecord,
    pub incarnation: u64,
    pub events: Vec<KvEvent>,
    pub observed_at: MonotonicTime,
}

struct Scheduled {
    at: MonotonicTime,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// One run of one policy on one trace.
pub struct World<'a> {
    pub(super) deployment: &'a Deployment,
    pub(super) trace: &'a Trace,
    pub(super) policy: &'a Policy,
    pub(super) now: MonotonicTime,
    pub(super) engines: Vec<SimulatedEngine>,
    pub(super) gateways: Vec<SimulatedGateway>,
    pub(super) flights: Vec<Option<Flight>>,
    pub(super) running: HashMap<(usize, SequenceKey), usize>,
    pub(super) to_dispatch: VecDeque<usize>,
    pub(super) happened: VecDeque<(usize, BatchEvent)>,
    pub(super) view: Vec<Option<(EngineRecord, MonotonicTime)>>,
    pub(super) demand: Vec<DemandReport>,
    pub(super) history: DemandHistory,
    pub(super) profile: EngineProfile,
    pub(super) weights_free_at: MonotonicTime,
    pub(super) last_reaction: MonotonicTime,
    pub(super) crash_in_next_change: bool,
    pub(super) statistics: RunStatistics,
    pub(super) random: ChaCha8Rng,
    pub(super) report_delay: Duration,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
}

/// Runs a policy on a trace; `extra_lag` delays every load report. The same arguments give the same statistics.
pub fn run(
    deployment: &Deployment,
    trace: &Trace,
    policy: &Policy,
    extra_lag: Duration,
    seed: u64,
) -> RunStatistics {
    let mut world = World::new(deployment, trace, policy, extra_lag, seed);
    world.schedule_start();
    world.run();
    world.statistics
}

impl<'a> World<'a> {
    fn new(
        deployment: &'a Deployment,
        trace: &'a Trace,
        policy: &'a Policy,
        extra_lag: Duration,
        seed: u64,
    ) -> Self {
        let engines =
            (0..deployment.engines()).map(|index| SimulatedEngine::new(index, deployment, policy, seed));
        let gateways = deployment.zones.iter().map(|_| SimulatedGateway::new(policy));
        let report_delay = if policy.perfect_view {
            Duration::ZERO
        } else {
            GOSSIP_DELAY + extra_lag
        };
        Self {
            deployment,
            trace,
            policy,
            now: MonotonicTime::default(),
            engines: engines.collect(),
            gateways: gateways.collect(),
            flights: trace.requests.iter().map(|_| None).collect(),
            running: HashMap::new(),
            to_dispatch: VecDeque::new(),
            happened: VecDeque::new(),
            view: vec![None; deployment.engines()],
            demand: vec![DemandReport::default(); deployment.zones.len()],
            history: DemandHistory::default(),
            profile: EngineProfile::default(),
            weights_free_at: MonotonicTime::default(),
            last_reaction: MonotonicTime::default(),
            crash_in_next_change: false,
            statistics: RunStatistics::new(deployment, trace),
            random: ChaCha8Rng::seed_from_u64(seed),
            report_delay,
            queue: BinaryHeap::new(),
            scheduled: 0,
        }
    }

    /// Adds an event to the queue; events at one instant happen in the order in which they were added.
    pub(super) fn schedule(&mut self, at: MonotonicTime, event: Event) {
        self.scheduled += 1;
        let order = self.scheduled;
        self.queue.push(Reverse(Scheduled { at, order, event }));
    }

    fn schedule_start(&mut self) {
        let start = MonotonicTime::default();
        for engine in 0..self.engines.len() {
            self.poll(engine);
            let stagger = Duration::from_millis(20 * engine as u64);
            self.schedule(start + stagger, Event::Poll(engine));
        }
        self.schedule(start, Event::GatewayTick);
        self.schedule(start + DEMAND_INTERVAL, Event::DemandTick);
        if self.policy.roles != RolesPolicy::Fixed {
            for zone in 0..self.deployment.zones.len() {
                let stagger = PLAN_INTERVAL / 3 * zone as u32;
                self.schedule(start + PLAN_INTERVAL + stagger, Event::Plan(zone));
            }
        }
        for (index, disturbance) in self.trace.disturbances.iter().enumerate() {
            self.schedule(disturbance.at, Event::Disturbance(index));
        }
        self.schedule(start, Event::SeriesTick(0));
        if let Some(first) = self.trace.requests.first() {
            self.schedule(first.at, Event::Arrival(0));
        }
    }

    fn run(&mut self) {
        let end = self.trace.end + RUN_OUT;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = self.now.max(next.at);
            self.handle(next.event);
            self.settle();
        }
        let open: Vec<usize> = (0..self.flights.len())
            .filter(|index| self.flights[*index].is_some())
            .collect();
        for request in open {
            self.end_flight(request, Ending::Late);
        }
    }

    /// Carries out what the last event caused at this very instant.
    fn settle(&mut self) {
        loop {
            if let Some((engine, event)) = self.happened.pop_front() {
                self.on_batch_event(engine, event);
            } else if let Some(request) = self.to_dispatch.pop_front() {
                self.dispatch(request);
            } else {
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(request) => self.on_arrival(request),
            Event::Deadline(request) => self.on_deadline(request),
            Event::EngineWake(engine) => self.on_wake(engine),
            Event::Poll(engine) => self.on_poll(engine),
            Event::Deliver(engine, delivery) => self.on_delivery(engine, &delivery),
            Event::EngineDead(engine, incarnation) => self.on_engine_dead(engine, incarnation),
            Event::EngineBack(engine) => self.engine_back(engine),
            Event::GatewayTick => self.on_gateway_tick(),
            Event::DemandTick => self.on_demand_tick(),
            Event::Plan(zone) => self.on_plan(zone),
            Event::Disturbance(index) => self.on_disturbance(index),
            Event::ZoneBack(zone) => self.on_zone_back(zone),
            Event::SeriesTick(bin) => self.on_series_tick(bin),
        }
    }

    fn on_poll(&mut self, engine: usize) {
        self.poll(engine);
        let interval = if self.policy.perfect_view {
            PERFECT_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        self.schedule(self.now + interval, Event::Poll(engine));
    }

    fn on_gateway_tick(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.tick_gateway(gateway);
        }
        self.schedule(self.now + GATEWAY_TICK, Event::GatewayTick);
    }

    fn on_demand_tick(&mut self) {
        for (gateway, report) in self.gateways.iter_mut().zip(&mut self.demand) {
            *report = gateway.demand.report(self.now);
        }
        self.record_demand();
        self.schedule(self.now + DEMAND_INTERVAL, Event::DemandTick);
    }

    fn on_series_tick(&mut self, bin: usize) {
        let mut roles = RoleCounts::default();
        for engine in self.engines.iter().filter(|engine| engine.alive) {
            roles.add(engine.state.role());
        }
        if let Some(bin) = self.statistics.series.get_mut(bin) {
            bin.roles = roles;
        }
        let next = self.now + Duration::from_secs(SERIES_BIN_SECONDS);
        self.schedule(next, Event::SeriesTick(bin + 1));
    }

    fn on_disturbance(&mut self, index: usize) {
        let Some(disturbance) = self.trace.disturbances.get(index) else {
            return;
        };
        match disturbance.kind {
            DisturbanceKind::EngineCrash { engine, back_after } => self.crash_engine(engine, back_after),
            DisturbanceKind::CrashInNextChange => self.crash_in_next_change = true,
            DisturbanceKind::ZoneLost { zone, back_after } => self.lose_zone(zone, back_after),
            DisturbanceKind::EngineSlow { engine, factor } => {
                self.change_faults(engine, |faults| faults.slow_factor = factor);
            }
            DisturbanceKind::EngineLies { engine, factor } => {
                self.change_faults(engine, |faults| faults.lie_factor = factor);
            }
        }
    }

    fn lose_zone(&mut self, zone: usize, back_after: Duration) {
        self.gateways[zone].alive = false;
        for engine in 0..self.engines.len() {
            if self.engines[engine].zone == zone {
                self.crash_engine(engine, back_after);
            }
        }
        self.fail_gateway(zone);
        self.schedule(self.now + back_after, Event::ZoneBack(zone));
    }

    fn on_zone_back(&mut self, zone: usize) {
        self.gateways[zone].alive = true;
    }
}
