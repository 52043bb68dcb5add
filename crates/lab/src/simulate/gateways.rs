//! Gateways of a run: arrivals, dispatches and endings.

use super::policy::{Policy, RoutingPolicy};
use super::statistics::Ending;
use super::world::{Event, World};
use shelfjunction_core::admission::{
    AdmissionConfig, AdmissionController, AdmissionQuery, AdmissionTicket, AdmittedWork, TicketNumber,
    TicketState,
};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::demand::DemandEstimator;
use shelfjunction_core::engine::Phase;
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::{DispatchTicket, FinishedWork, KvRouter, RouteQuery, RoutingWeights};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::{BatchEvent, BatchEventKind, SequenceKey};
use std::collections::HashMap;
use std::time::Duration;

/// Most output tokens that any request may ask for.
const LONGEST_OUTPUT: u32 = 4_096;
/// One gateway of a run.
pub(super) struct SimulatedGateway {
    pub router: KvRouter,
    pub admission: AdmissionController,
    pub demand: DemandEstimator,
    pub alive: bool,
    pub turn: usize,
    waiting: HashMap<TicketNumber, usize>,
}

/// Where a request's work is.
#[derive(Clone, Debug)]
pub(super) struct Running {
    pub engine: usize,
    pub key: SequenceKey,
    pub ticket: DispatchTicket,
    pub sent_at: MonotonicTime,
    /// Engine that decodes after this one has prefilled.
    pub decode: Option<EngineId>,
}

/// One request between its arrival and its end.
#[derive(Debug)]
pub(super) struct Flight {
    pub gateway: usize,
    pub query: RouteQuery,
    pub running: Option<Running>,
    pub tries: u32,
    admission: Option<AdmissionTicket>,
    first_token: Option<MonotonicTime>,
    cached_tokens: u32,
}

impl SimulatedGateway {
    pub fn new(policy: &Policy) -> Self {
        let weights = match &policy.routing {
            RoutingPolicy::Cost(weights) => weights.clone(),
            RoutingPolicy::RoundRobin | RoutingPolicy::LeastLoaded => RoutingWeights::default(),
        };
        Self {
            router: KvRouter::new(weights),
            admission: AdmissionController::new(AdmissionConfig::default()),
            demand: DemandEstimator::with_shift_detection(MonotonicTime::default(), policy.detect_shifts),
            alive: true,
            waiting: HashMap::new(),
            turn: 0,
        }
    }
}

impl World<'_> {
    pub(super) fn on_arrival(&mut self, request: usize) {
        if let Some(next) = self.trace.requests.get(request + 1) {
            self.schedule(next.at, Event::Arrival(request + 1));
        }
        let arrived = &self.trace.requests[request];
        let Some(gateway) = self.living_gateway(arrived.home_zone) else {
            return self.statistics.count(arrived, Ending::Refused, self.deployment);
        };
        let deadline = Duration::from_millis(self.deployment.target(arrived.class).deadline_millis);
        let model = &self.deployment.model;
        let demand = &mut self.gateways[gateway].demand;
        demand.on_arrival(model, arrived.class, arrived.prompt_tokens, self.now);
        let expected = demand.expected_output_tokens(model, arrived.class, LONGEST_OUTPUT);
        let query = self.route_query(request, gateway, expected);
        let Some(admission) = self.admit(gateway, request, &query, deadline) else {
            return self.statistics.count(arrived, Ending::Refused, self.deployment);
        };
        self.schedule(self.now + deadline, Event::Deadline(request));
        let started = admission
            .as_ref()
            .is_none_or(|ticket| self.gateways[gateway].admission.state(ticket) == TicketState::Started);
        let number = admission.as_ref().map(|ticket| ticket.number);
        self.flights[request] = Some(Flight {
            gateway,
            admission,
            query,
            running: None,
            first_token: None,
            cached_tokens: 0,
            tries: 0,
        });
        match number {
            Some(number) if !started => {
                self.gateways[gateway].waiting.insert(number, request);
            }
            _ => self.to_dispatch.push_back(request),
        }
    }

    /// A ticket, nothing where admission is off, or no ticket at all when the request is refused.
    fn admit(
        &mut self,
        gateway: usize,
        request: usize,
        query: &RouteQuery,
        deadline: Duration,
    ) -> Option<Option<AdmissionTicket>> {
        if !self.policy.admission {
            return Some(None);
        }
        let arrived = &self.trace.requests[request];
        let tenant = &self.deployment.tenants[arrived.tenant];
        let estimate = self.gateways[gateway].router.estimate(query, self.now);
        let asked = AdmissionQuery {
            tenant: tenant.tenant.clone(),
            limits: tenant.limits,
            class: arrived.class,
            model: query.model.clone(),
            prompt_tokens: arrived.prompt_tokens,
            expected_output_tokens: query.expected_output_tokens,
            first_token: Some(Duration::from_millis(
                self.deployment.target(arrived.class).first_token_millis,
            )),
            deadline,
            estimate,
        };
        let admission = &mut self.gateways[gateway].admission;
        admission.admit(&asked, self.now, &mut self.random).ok().map(Some)
    }

    fn living_gateway(&self, zone: usize) -> Option<usize> {
        let count = self.gateways.len();
        (0..count)
            .map(|step| (zone + step) % count)
            .find(|gateway| self.gateways[*gateway].alive)
    }

    fn route_query(&self, request: usize, gateway: usize, expected_output_tokens: u32) -> RouteQuery {
        let arrived = &self.trace.requests[request];
        let zones = self.deployment.tenants[arrived.tenant].zones.iter();
        RouteQuery {
            model: self.deployment.model.clone(),
            adapter: None,
            kind: ModelKind::Model,
            prompt_blocks: arrived.prompt_blocks.to_vec(),
            prompt_tokens: arrived.prompt_tokens,
            expected_output_tokens,
            class: arrived.class,
            allowed_zones: zones.map(|zone| self.deployment.zones[*zone].clone()).collect(),
            home_zone: self.deployment.zones[gateway].clone(),
            excluded: Vec::new(),
        }
    }

    pub(super) fn on_batch_event(&mut self, engine: usize, event: BatchEvent) {
        let Some(request) = self.running.get(&(engine, event.key)).copied() else {
            return;
        };
        match event.kind {
            BatchEventKind::FirstToken => self.on_first_token(request, event.at),
            BatchEventKind::Prefilled => self.on_prefilled(request, event.at),
            BatchEventKind::Finished { cached_prompt_tokens } => {
                self.on_finished(request, cached_prompt_tokens, event.at);
            }
        }
    }

    fn on_first_token(&mut self, request: usize, at: MonotonicTime) {
        let Some(flight) = self.flights[request].as_mut() else {
            return;
        };
        flight.first_token.get_or_insert(at);
        let gateway = &mut self.gateways[flight.gateway];
        if let Some(running) = &flight.running {
            let engine = &self.engines[running.engine].id;
            gateway.router.on_first_output(engine, &running.ticket, self.now);
        }
        if let Some(ticket) = &flight.admission {
            gateway.admission.on_first_output(ticket, self.now);
        }
        let gateway = flight.gateway;
        self.take_updates(gateway);
    }

    fn on_prefilled(&mut self, request: usize, at: MonotonicTime) {
        let Some(running) = self.leave_engine(request, at, 1) else {
            return;
        };
        if let Some(flight) = self.flights[request].as_mut() {
            flight.cached_tokens = running.ticket.expected_cached_tokens;
        }
        if let Some(flight) = &self.flights[request]
            && let Some(ticket) = &flight.admission
        {
            let gateway = flight.gateway;
            self.gateways[gateway].admission.on_first_output(ticket, self.now);
            self.take_updates(gateway);
        }
        let taken = running
            .decode
            .is_some_and(|decode| self.send(request, &decode, Phase::Whole, true, None));
        if !taken {
            self.to_dispatch.push_back(request);
        }
    }

    fn on_finished(&mut self, request: usize, cached_tokens: u32, at: MonotonicTime) {
        let arrived = &self.trace.requests[request];
        self.leave_engine(request, at, arrived.output_tokens);
        let Some(flight) = self.flights[request].as_mut() else {
            return;
        };
        flight.cached_tokens = flight.cached_tokens.max(cached_tokens);
        let first = flight.first_token.unwrap_or(at);
        let gaps = arrived.output_tokens.saturating_sub(1);
        let ending = Ending::Finished {
            first_token: first.since(arrived.at),
            between_tokens: (gaps > 0).then(|| at.since(first) / gaps),
            total: at.since(arrived.at),
        };
        self.gateways[flight.gateway].demand.on_finished(
            &flight.query.model,
            arrived.class,
            arrived.prompt_tokens,
            flight.cached_tokens,
            arrived.output_tokens,
        );
        self.statistics.cached_prompt_tokens += u64::from(flight.cached_tokens);
        self.statistics.prompt_tokens += u64::from(arrived.prompt_tokens);
        self.end_flight(request, ending);
    }

    /// Notes that an engine has done its part of a request.
    fn leave_engine(&mut self, request: usize, at: MonotonicTime, output_tokens: u32) -> Option<Running> {
        let flight = self.flights[request].as_mut()?;
        let running = flight.running.take()?;
        self.running.remove(&(running.engine, running.key));
        let first = if running.decode.is_some() {
            Some(at)
        } else {
            flight.first_token
        };
        let work = FinishedWork {
            output_tokens,
            first_token: first.map(|first| first.since(running.sent_at)),
            total: at.since(running.sent_at),
        };
        let engine = &self.engines[running.engine].id;
        let router = &mut self.gateways[flight.gateway].router;
        router.on_finished(engine, &running.ticket, &work, self.now);
        Some(running)
    }

    /// The engine that ran a request is gone: it is sent elsewhere, as every simulated request may be repeated.
    pub(super) fn on_connection_lost(&mut self, request: usize) {
        let Some(flight) = self.flights[request].as_mut() else {
            return;
        };
        if let Some(running) = flight.running.take() {
            let engine = &self.engines[running.engine].id;
            let router = &mut self.gateways[flight.gateway].router;
            router.on_connection_failed(engine, &running.ticket, self.now);
            flight.query.excluded.push(engine.clone());
        }
        self.to_dispatch.push_back(request);
    }

    pub(super) fn on_deadline(&mut self, request: usize) {
        let Some(flight) = &self.flights[request] else {
            return;
        };
        if let Some(running) = &flight.running {
            let (index, key) = (running.engine, running.key);
            self.advance_engine(index);
            self.engines[index].state.cancel(self.now, key);
            self.running.remove(&(index, key));
            self.plan_wake(index);
        }
        self.end_flight(request, Ending::Late);
    }

    /// Requests of a gateway that is gone are lost with it.
    pub(super) fn fail_gateway(&mut self, gateway: usize) {
        let lost: Vec<usize> = (0..self.flights.len())
            .filter(|request| {
                self.flights[*request]
                    .as_ref()
                    .is_some_and(|flight| flight.gateway == gateway)
            })
            .collect();
        for request in lost {
            self.on_deadline(request);
        }
    }

    /// Ends a request and frees what it held.
    pub(super) fn end_flight(&mut self, request: usize, ending: Ending) {
        let Some(mut flight) = self.flights[request].take() else {
            return;
        };
        let gateway = &mut self.gateways[flight.gateway];
        if let Some(running) = flight.running.take() {
            let engine = &self.engines[running.engine].id;
            gateway.router.on_abandoned(engine, &running.ticket);
        }
        if let Some(ticket) = flight.admission.take() {
            gateway.waiting.remove(&ticket.number);
            gateway
                .admission
                .release(ticket, AdmittedWork::default(), self.now);
        }
        self.statistics
            .count(&self.trace.requests[request], ending, self.deployment);
        self.take_updates(flight.gateway);
    }

    pub(super) fn tick_gateway(&mut self, index: usize) {
        let gateways = self.gateways.iter().filter(|gateway| gateway.alive).count() as u32;
        let gateway = &mut self.gateways[index];
        let model = &self.deployment.model;
        gateway.router.set_gateways(gateways);
        let capacity = gateway.router.capacity(model, self.now);
        gateway.admission.set_capacity(model, capacity, self.now);
        gateway.admission.tick(self.now, &mut self.random);
        self.take_updates(index);
    }

    fn take_updates(&mut self, index: usize) {
        let updates = self.gateways[index].admission.take_updates();
        for update in updates {
            let Some(request) = self.gateways[index].waiting.remove(&update.ticket) else {
                continue;
            };
            match update.state {
                TicketState::Started => self.to_dispatch.push_back(request),
                TicketState::Queued => {}
                TicketState::Refused(_) => self.end_flight(request, Ending::Refused),
            }
        }
    }
}
