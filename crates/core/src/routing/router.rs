//! Router that chooses engines by cost.

use super::cost::{Candidate, correct_candidates};
use super::query::{DispatchTicket, FinishedWork, Route, RouteEstimate, RouteQuery};
use super::selection::{cheapest, sample};
use super::view::{EngineView, InFlightWork};
use super::weights::RoutingWeights;
use crate::admission::ModelCapacity;
use crate::engine::{EngineRefusalReason, KvEvent};
use crate::identity::{EngineId, ModelId};
use crate::membership::record::EngineRecord;
use crate::outcome::RefusalReason;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use rand::RngCore;
use std::collections::BTreeMap;
use std::time::Duration;

/// Minimum number of output tokens in a response from which the time between tokens is measured.
const MIN_OBSERVED_OUTPUT_TOKENS: u32 = 8;

/// Chooses engines for requests. Does no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct KvRouter {
    weights: RoutingWeights,
    engines: BTreeMap<EngineId, EngineView>,
    gateway_count: u32,
    dispatch_count: u64,
}

impl KvRouter {
    /// Creates a router without engines.
    pub fn new(weights: RoutingWeights) -> Self {
        Self {
            weights,
            engines: BTreeMap::new(),
            gateway_count: 1,
            dispatch_count: 0,
        }
    }

    /// Sets the number of gateways that share the engines, including this one; zero counts as one.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateway_count = gateways.max(1);
    }

    /// Adds or updates an engine from a membership record that was observed `age` ago.
    pub fn on_engine_record(
        &mut self,
        engine: &EngineId,
        record: &EngineRecord,
        age: Duration,
        now: MonotonicTime,
    ) {
        let observed_at = now - age;
        let lag = Duration::from_secs_f64(self.weights.report_lag_seconds);
        match self.engines.get_mut(engine) {
            Some(view) => view.update(record.clone(), observed_at, lag),
            None => {
                let view = EngineView::new(record.clone(), observed_at);
                self.engines.insert(engine.clone(), view);
            }
        }
    }

    /// Removes an engine; does nothing if it is unknown.
    pub fn on_engine_removed(&mut self, engine: &EngineId) {
        self.engines.remove(engine);
    }

    /// Applies cache events of one incarnation of an engine; events of an unknown engine are ignored.
    pub fn on_kv_events(&mut self, engine: &EngineId, incarnation: u64, events: &[KvEvent]) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.cache.apply(incarnation, events);
        }
    }

    /// Records that a request is sent to an engine; to be called once per engine of a split route.
    pub fn on_dispatched(
        &mut self,
        engine: &EngineId,
        query: &RouteQuery,
        now: MonotonicTime,
    ) -> DispatchTicket {
        self.dispatch_count += 1;
        let number = self.dispatch_count;
        let mut expected_first_token = Duration::ZERO;
        let mut expected_cached_tokens = 0;
        if let Some((engine, view)) = self.engines.get_key_value(engine) {
            let work =
                create_in_flight_work(engine, view, query, &self.weights, self.peer_work_factor(), now);
            expected_first_token = work.expected_first_token;
            let computed = work.prefill_tokens.min(f64::from(query.prompt_tokens)) as u32;
            expected_cached_tokens = query.prompt_tokens - computed;
            if let Some(view) = self.engines.get_mut(&engine.clone()) {
                view.record_dispatch(number, work);
            }
        }
        DispatchTicket {
            number,
            sent_at: now,
            expected_first_token,
            expected_cached_tokens,
        }
    }

    /// Records the first output of a dispatch: a token, or the end of prefill at a prefill engine.
    pub fn on_first_output(&mut self, engine: &EngineId, ticket: &DispatchTicket, now: MonotonicTime) {
        let Some(view) = self.engines.get_mut(engine) else {
            return;
        };
        let Some(work) = view.record_first_output(ticket.number) else {
            return;
        };
        if work.class != ServiceClass::Batch && work.prefill_tokens > 0.0 {
            let observed = now.since(work.sent_at);
            view.health.observe(observed, work.expected_first_token, now);
        }
    }

    /// Records that a response has ended successfully.
    pub fn on_finished(
        &mut self,
        engine: &EngineId,
        ticket: &DispatchTicket,
        work: &FinishedWork,
        now: MonotonicTime,
    ) {
        if let Some(first_token) = work.first_token {
            self.on_first_output(engine, ticket, ticket.sent_at + first_token);
        }
        if let Some(view) = self.engines.get_mut(engine) {
            if let Some(sent) = view.record_end(ticket.number) {
                observe_token_interval(view, &sent, work, now);
            }
            view.health.on_success();
        }
        debug_assert!(ticket.sent_at <= now, "a dispatch ended before it was sent");
    }

    /// Records that a dispatch was cancelled by its caller or ended for a reason unrelated to the engine.
    pub fn on_abandoned(&mut self, engine: &EngineId, ticket: &DispatchTicket) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.record_end(ticket.number);
        }
    }

    /// Records that an engine refused a dispatch before running it.
    pub fn on_refused(
        &mut self,
        engine: &EngineId,
        ticket: &DispatchTicket,
        reason: EngineRefusalReason,
        now: MonotonicTime,
    ) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.record_end(ticket.number);
            view.health.on_refusal(reason, now);
        }
    }

    /// Records that the connection to an engine broke or could not be established.
    pub fn on_connection_failed(&mut self, engine: &EngineId, ticket: &DispatchTicket, now: MonotonicTime) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.record_end(ticket.number);
            view.health.on_connection_failure(now);
        }
    }

    /// Chooses the engines for a request. Only live engines in the allowed zones are chosen, and none that is leaving,
    /// draining or being reconfigured.
    pub fn choose(&self, query: &RouteQuery, now: MonotonicTime, random: &mut dyn RngCore) -> Route {
        let mut candidates = self.candidates(query, now);
        if candidates.is_empty() {
            return Route::Nowhere(self.refusal_reason(query));
        }
        correct_candidates(&mut candidates, &self.weights, now);
        let sampled = sample(candidates, self.weights.compare_all_up_to, random);
        cheapest(&sampled, query, &self.weights).unwrap_or(Route::Nowhere(RefusalReason::EnginesRefused))
    }

    /// Lowest expected delays of a request over all engines; `None` if no engine can accept it.
    pub fn estimate(&self, query: &RouteQuery, now: MonotonicTime) -> Option<RouteEstimate> {
        let mut candidates = self.candidates(query, now);
        correct_candidates(&mut candidates, &self.weights, now);
        let wait = min_delay_seconds(
            candidates.iter().filter(|candidate| candidate.runs_prefill()),
            |candidate| candidate.prefill_wait_seconds() + candidate.prefill_seconds(),
        )?;
        let decode = min_delay_seconds(
            candidates.iter().filter(|candidate| candidate.runs_decode()),
            |candidate| f64::from(query.expected_output_tokens) * candidate.token_seconds(&self.weights),
        )?;
        Some(RouteEstimate {
            first_token: Duration::from_secs_f64(wait),
            total: Duration::from_secs_f64(wait + decode),
        })
    }

    /// Combined capacity and load of the engines that serve a model, for admission control at this gateway.
    pub fn capacity(&self, model: &ModelId, now: MonotonicTime) -> ModelCapacity {
        let serving = self
            .engines
            .values()
            .filter(|view| view.accepts_new_work() && view.holds_model(model));
        super::capacity::total_capacity(
            serving,
            &self.weights,
            self.gateway_count,
            self.peer_work_factor(),
            now,
        )
    }

    /// View of an engine; `None` if it is unknown.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineView> {
        self.engines.get(engine)
    }

    /// All known engines, ordered by identifier.
    pub fn engines(&self) -> impl Iterator<Item = (&EngineId, &EngineView)> {
        self.engines.iter()
    }

    /// Amount of unreported work of other gateways that is assumed for each unit of own unreported work.
    fn peer_work_factor(&self) -> f64 {
        self.weights.alike_choices * f64::from(self.gateway_count - 1)
    }

    fn candidates<'a>(&'a self, query: &RouteQuery, now: MonotonicTime) -> Vec<Candidate<'a>> {
        self.engines
            .iter()
            .filter(|(engine, view)| self.is_eligible(engine, view, query, now))
            .map(|(engine, view)| {
                Candidate::new(engine, view, query, &self.weights, self.peer_work_factor(), now)
            })
            .collect()
    }

    fn is_eligible(
        &self,
        engine: &EngineId,
        view: &EngineView,
        query: &RouteQuery,
        now: MonotonicTime,
    ) -> bool {
        query.allowed_zones.contains(&view.record.zone)
            && view.accepts_new_work()
            && view.serves(query)
            && view.address().is_some()
            && !view.health.is_backing_off(now)
            && !query.excluded.contains(engine)
    }

    fn refusal_reason(&self, query: &RouteQuery) -> RefusalReason {
        let mut serving = self.engines.values().filter(|view| view.serves(query)).peekable();
        if serving.peek().is_none() {
            return RefusalReason::ModelUnavailable;
        }
        if serving.any(|view| query.allowed_zones.contains(&view.record.zone)) {
            return RefusalReason::EnginesRefused;
        }
        RefusalReason::NoEngineInPlace
    }
}

fn create_in_flight_work(
    engine: &EngineId,
    view: &EngineView,
    query: &RouteQuery,
    weights: &RoutingWeights,
    peer_work_factor: f64,
    now: MonotonicTime,
) -> InFlightWork {
    let candidate = Candidate::new(engine, view, query, weights, peer_work_factor, now);
    let prefill_tokens = if candidate.runs_prefill() {
        candidate.uncached_tokens
    } else {
        0.0
    };
    let expected_output = f64::from(query.expected_output_tokens);
    let decode_tokens = if candidate.runs_decode() {
        expected_output
    } else {
        0.0
    };
    let expected = candidate.prefill_wait_seconds() + prefill_tokens / candidate.prefill_speed;
    InFlightWork {
        sent_at: now,
        prefill_tokens,
        decode_tokens,
        expected_first_token: Duration::from_secs_f64(expected),
        expected_token_interval: Duration::from_secs_f64(candidate.token_seconds(weights)),
        has_started: false,
        cached_fraction: cached_fraction(&candidate, query),
        class: query.class,
        is_reported: false,
    }
}

fn cached_fraction(candidate: &Candidate<'_>, query: &RouteQuery) -> f64 {
    if query.prompt_tokens == 0 {
        return 0.0;
    }
    1.0 - candidate.uncached_tokens / f64::from(query.prompt_tokens)
}

/// Compares the observed time between tokens with the one expected from the engine's report, and records the result.
fn observe_token_interval(
    view: &mut EngineView,
    sent: &InFlightWork,
    work: &FinishedWork,
    now: MonotonicTime,
) {
    let Some(first_token) = work.first_token else {
        return;
    };
    if work.output_tokens < MIN_OBSERVED_OUTPUT_TOKENS {
        return;
    }
    let gaps = work.output_tokens - 1;
    let observed = work.total.saturating_sub(first_token);
    view.health
        .observe(observed, sent.expected_token_interval * gaps, now);
}

fn min_delay_seconds<'c, 'a: 'c>(
    candidates: impl Iterator<Item = &'c Candidate<'a>>,
    delay_seconds: impl Fn(&Candidate<'a>) -> f64,
) -> Option<f64> {
    candidates.map(delay_seconds).min_by(f64::total_cmp)
}
