//! The admission controller of one gateway.

use super::bucket::RateBucket;
use super::config::AdmissionConfig;
use super::query::{
    AdmissionQuery, AdmissionTicket, AdmissionUpdate, AdmittedWork, ModelCapacity, TicketNumber, TicketState,
};
use super::queue::{Arrival, FairQueue};
use super::returns::ReturnSchedule;
use crate::identity::{ModelId, TenantId};
use crate::outcome::{Refusal, RefusalReason};
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use rand::RngCore;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Part of the engines' places in use below which a gateway may go beyond its part of them.
const BORROWED_PLACES: f64 = 0.7;

#[derive(Clone, Debug)]
struct Admitted {
    tenant: TenantId,
    model: ModelId,
    tokens: u64,
    prefill_tokens: f64,
    state: TicketState,
}

#[derive(Clone, Debug)]
struct TenantUse {
    bucket: RateBucket,
    tokens_in_flight: u64,
    returns: ReturnSchedule,
}

#[derive(Clone, Debug, Default)]
struct ModelGate {
    capacity: Option<ModelCapacity>,
    queue: FairQueue,
    prefill_in_flight: f64,
    started: usize,
    returns: ReturnSchedule,
}

/// Lets requests in, orders those that wait, and refuses the rest with a time to come back.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    tenants: BTreeMap<TenantId, TenantUse>,
    models: BTreeMap<ModelId, ModelGate>,
    tickets: HashMap<TicketNumber, Admitted>,
    next_ticket: u64,
    updates: Vec<AdmissionUpdate>,
}

impl AdmissionController {
    /// A controller with nothing in flight.
    pub fn new(config: AdmissionConfig) -> Self {
        Self {
            config,
            tenants: BTreeMap::new(),
            models: BTreeMap::new(),
            tickets: HashMap::new(),
            next_ticket: 0,
            updates: Vec::new(),
        }
    }

    /// Sets what a model's engines can do; until the first call requests of that model never wait here.
    pub fn set_capacity(&mut self, model: &ModelId, capacity: ModelCapacity, now: MonotonicTime) {
        let gate = self.models.entry(model.clone()).or_default();
        gate.capacity = Some(capacity);
        self.start_waiting(model, now);
    }

    /// Lets a request in, at once or to wait (see [`Self::state`]), or refuses it as not run.
    pub fn admit(
        &mut self,
        query: &AdmissionQuery,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Result<AdmissionTicket, Refusal> {
        // First, so that what is over a tenant's limits takes none of the times at which others of the model come back.
        self.charge_tenant(query, now, random)?;
        let own_wait = self.expected_wait(query);
        let service = query.estimate.map_or(Duration::ZERO, |estimate| estimate.total);
        if own_wait + service > query.deadline {
            let excess = (own_wait + service).saturating_sub(query.deadline);
            self.give_back(query);
            return Err(self.refuse_for_model(
                query,
                RefusalReason::DeadlineUnreachable,
                excess,
                now,
                random,
            ));
        }
        if self.queue_is_full(query) {
            self.give_back(query);
            return Err(self.refuse_for_model(query, RefusalReason::Overloaded, own_wait, now, random));
        }
        Ok(self.let_in(query, service, now))
    }

    /// Where an admitted request stands; a ticket that was released counts as started.
    pub fn state(&self, ticket: &AdmissionTicket) -> TicketState {
        let admitted = self.tickets.get(&ticket.number);
        admitted.map_or(TicketState::Started, |admitted| admitted.state.clone())
    }

    /// Refuses what waits in vain and starts what may start; call it every few milliseconds while anything waits.
    pub fn tick(&mut self, now: MonotonicTime, random: &mut dyn RngCore) {
        let models: Vec<ModelId> = self.models.keys().cloned().collect();
        for model in models {
            self.expire(&model, now, random);
            self.start_waiting(&model, now);
        }
    }

    /// Changes of tickets that waited, since the last call.
    pub fn take_updates(&mut self) -> Vec<AdmissionUpdate> {
        std::mem::take(&mut self.updates)
    }

    /// Notes the first part of an answer: its prompt no longer occupies the engines.
    pub fn on_first_output(&mut self, ticket: &AdmissionTicket, now: MonotonicTime) {
        let Some(admitted) = self.tickets.get_mut(&ticket.number) else {
            return;
        };
        let freed = std::mem::take(&mut admitted.prefill_tokens);
        let model = admitted.model.clone();
        if let Some(gate) = self.models.get_mut(&model) {
            gate.prefill_in_flight = (gate.prefill_in_flight - freed).max(0.0);
        }
        self.start_waiting(&model, now);
    }

    /// Takes a ticket back when its request has ended in any way.
    pub fn release(&mut self, ticket: AdmissionTicket, _work: AdmittedWork, now: MonotonicTime) {
        let Some(admitted) = self.tickets.remove(&ticket.number) else {
            return;
        };
        if let Some(tenant) = self.tenants.get_mut(&admitted.tenant) {
            tenant.tokens_in_flight = tenant.tokens_in_flight.saturating_sub(admitted.tokens);
        }
        if let Some(gate) = self.models.get_mut(&admitted.model) {
            gate.leave(ticket.number, &admitted);
        }
        self.start_waiting(&admitted.model, now);
    }

    /// Requests that wait for a model.
    pub fn queued(&self, model: &ModelId) -> usize {
        self.models.get(model).map_or(0, |gate| gate.queue.len())
    }

    /// Tokens of a tenant in flight.
    pub fn tokens_in_flight(&self, tenant: &TenantId) -> u64 {
        self.tenants
            .get(tenant)
            .map_or(0, |tenant| tenant.tokens_in_flight)
    }

    fn expected_wait(&self, query: &AdmissionQuery) -> Duration {
        let Some(gate) = self.models.get(&query.model) else {
            return Duration::ZERO;
        };
        let Some(capacity) = gate.capacity else {
            return Duration::ZERO;
        };
        let ahead = gate.queue.work_ahead(&query.tenant, query.class);
        Duration::from_secs_f64(capacity.seconds_of_own(ahead))
    }

    fn queue_is_full(&self, query: &AdmissionQuery) -> bool {
        self.models.get(&query.model).is_some_and(|gate| {
            gate.queue.len() >= self.config.queued_per_model
                || gate.queue.tenant_len(&query.tenant) >= self.config.queued_per_tenant
        })
    }

    fn charge_tenant(
        &mut self,
        query: &AdmissionQuery,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Result<(), Refusal> {
        let rate = f64::from(query.limits.requests_per_second.max(1));
        let capacity = self.tenant_capacity(query);
        let part = self.config.part(query.class);
        let reserve = (capacity - 1.0) * (1.0 - part);
        let tokens = query_tokens(query);
        let limit = (query.limits.tokens_in_flight as f64 * part) as u64;
        let tenant = self
            .tenants
            .entry(query.tenant.clone())
            .or_insert_with(|| TenantUse {
                bucket: RateBucket::full(capacity, now),
                tokens_in_flight: 0,
                returns: ReturnSchedule::default(),
            });
        let over_tokens =
            tenant.tokens_in_flight > 0 && tenant.tokens_in_flight.saturating_add(tokens) > limit;
        let earliest = match tenant.bucket.take(rate, capacity, reserve, now) {
            Ok(()) if !over_tokens => {
                tenant.tokens_in_flight = tenant.tokens_in_flight.saturating_add(tokens);
                return Ok(());
            }
            Ok(()) => {
                tenant.bucket.give_back(capacity);
                Duration::ZERO
            }
            Err(until_refilled) => until_refilled,
        };
        let shortest = Duration::from_secs_f64(self.config.shortest_return_seconds);
        let longest = Duration::from_secs_f64(self.config.longest_return_seconds);
        let spacing = Duration::from_secs_f64(1.0 / rate);
        let earliest = earliest.max(shortest);
        let retry_after = tenant.returns.hand_out(earliest, spacing, longest, now, random);
        Err(refusal(RefusalReason::OverLimit, retry_after))
    }

    /// Gives a tenant back what was charged for a request that is refused for another cause.
    fn give_back(&mut self, query: &AdmissionQuery) {
        let capacity = self.tenant_capacity(query);
        if let Some(tenant) = self.tenants.get_mut(&query.tenant) {
            tenant.bucket.give_back(capacity);
            tenant.tokens_in_flight = tenant.tokens_in_flight.saturating_sub(query_tokens(query));
        }
    }

    /// Requests that a tenant may have at once.
    fn tenant_capacity(&self, query: &AdmissionQuery) -> f64 {
        let rate = f64::from(query.limits.requests_per_second.max(1));
        (rate * self.config.burst_seconds).max(1.0)
    }

    fn let_in(&mut self, query: &AdmissionQuery, service: Duration, now: MonotonicTime) -> AdmissionTicket {
        self.next_ticket += 1;
        let number = TicketNumber(self.next_ticket);
        let admitted = Admitted {
            tenant: query.tenant.clone(),
            model: query.model.clone(),
            tokens: query_tokens(query),
            prefill_tokens: f64::from(query.prompt_tokens),
            state: TicketState::Queued,
        };
        let gate = self.models.entry(query.model.clone()).or_default();
        gate.queue.push(
            &query.tenant,
            query.class,
            f64::from(query.limits.share.max(1)),
            Arrival {
                ticket: number,
                work: query_tokens(query) as f64,
                since: now,
                good_until: now + time_to_start_well(query),
                start_by: now + query.deadline.saturating_sub(service),
            },
        );
        self.tickets.insert(number, admitted);
        self.start_waiting(&query.model, now);
        self.updates.retain(|update| update.ticket != number);
        AdmissionTicket { number }
    }

    fn start_waiting(&mut self, model: &ModelId, now: MonotonicTime) {
        let aging = Duration::from_secs_f64(self.config.aging_seconds);
        let Some(gate) = self.models.get_mut(model) else {
            return;
        };
        while !gate.queue.is_empty() {
            let open = ServiceClass::ALL.map(|class| gate.is_open(class, &self.config));
            let next = gate.queue.pop_next(aging, now, |class| open[class.index()]);
            let Some(waiting) = next else {
                return;
            };
            let Some(admitted) = self.tickets.get_mut(&waiting.ticket) else {
                continue;
            };
            admitted.state = TicketState::Started;
            gate.enter(admitted);
            self.updates.push(AdmissionUpdate {
                ticket: waiting.ticket,
                state: TicketState::Started,
            });
        }
    }

    fn expire(&mut self, model: &ModelId, now: MonotonicTime, random: &mut dyn RngCore) {
        let Some(gate) = self.models.get_mut(model) else {
            return;
        };
        for waiting in gate.queue.take_expired(now) {
            let retry_after = gate.time_to_return(waiting.work, Duration::ZERO, &self.config, now, random);
            let state = TicketState::Refused(refusal(RefusalReason::DeadlineUnreachable, retry_after));
            if let Some(admitted) = self.tickets.get_mut(&waiting.ticket) {
                admitted.state = state.clone();
            }
            self.updates.push(AdmissionUpdate {
                ticket: waiting.ticket,
                state,
            });
        }
    }

    fn refuse_for_model(
        &mut self,
        query: &AdmissionQuery,
        reason: RefusalReason,
        earliest: Duration,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Refusal {
        let gate = self.models.entry(query.model.clone()).or_default();
        let work = query_tokens(query) as f64;
        let retry_after = gate.time_to_return(work, earliest, &self.config, now, random);
        refusal(reason, retry_after)
    }
}

impl ModelGate {
    /// Whether one more request of the class may go to the engines: within this gateway's part of the windows, or
    /// beyond it while the engines have little to do.
    fn is_open(&self, class: ServiceClass, config: &AdmissionConfig) -> bool {
        let Some(capacity) = self.capacity else {
            return true;
        };
        let part = config.part(class);
        let own_part = part / f64::from(capacity.gateways.max(1));
        let window = config.window_seconds * capacity.prefill_tokens_per_second;
        let places = config.window_places * capacity.sequence_places;
        let prefill_open = self.prefill_in_flight < window * own_part
            || capacity.backlog_seconds < config.borrow_below_seconds * part;
        let places_open = (self.started as f64) < places * own_part
            || capacity.requests_at_engines < places * part * BORROWED_PLACES;
        self.started == 0 || (prefill_open && places_open)
    }

    fn enter(&mut self, admitted: &Admitted) {
        self.started += 1;
        self.prefill_in_flight += admitted.prefill_tokens;
    }

    fn leave(&mut self, ticket: TicketNumber, admitted: &Admitted) {
        match admitted.state {
            TicketState::Started => {
                self.started = self.started.saturating_sub(1);
                self.prefill_in_flight = (self.prefill_in_flight - admitted.prefill_tokens).max(0.0);
            }
            TicketState::Queued => {
                self.queue.remove(ticket);
            }
            TicketState::Refused(_) => {}
        }
    }

    fn time_to_return(
        &mut self,
        work: f64,
        earliest: Duration,
        config: &AdmissionConfig,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Duration {
        let shortest = Duration::from_secs_f64(config.shortest_return_seconds);
        let longest = Duration::from_secs_f64(config.longest_return_seconds);
        let seconds = self
            .capacity
            .map_or(0.0, |capacity| capacity.seconds_of_own(work));
        let spacing = Duration::from_secs_f64(seconds.min(config.longest_return_seconds));
        self.returns
            .hand_out(earliest.max(shortest), spacing, longest, now, random)
    }
}

impl ModelCapacity {
    /// Seconds in which this gateway's part of the engines works off that many tokens; bounded by an hour.
    fn seconds_of_own(&self, tokens: f64) -> f64 {
        const LONGEST_SECONDS: f64 = 3_600.0;
        let speed = self.prefill_tokens_per_second / f64::from(self.gateways.max(1));
        if tokens <= 0.0 {
            return 0.0;
        }
        (tokens / speed.max(f64::MIN_POSITIVE)).min(LONGEST_SECONDS)
    }
}

/// Time within which a request must start for its first token to be in time.
fn time_to_start_well(query: &AdmissionQuery) -> Duration {
    let first_token = query.first_token.unwrap_or(query.deadline);
    let at_engine = query
        .estimate
        .map_or(Duration::ZERO, |estimate| estimate.first_token);
    first_token.saturating_sub(at_engine)
}

fn query_tokens(query: &AdmissionQuery) -> u64 {
    u64::from(query.prompt_tokens) + u64::from(query.expected_output_tokens)
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(retry_after),
    }
}
