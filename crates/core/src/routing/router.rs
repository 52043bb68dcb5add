//! The router: engine views in, one choice out.

use super::cost::{Candidate, compare_with_peers};
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

/// Fewest output tokens from which the time between tokens is judged.
const FEWEST_OBSERVED_TOKENS: u32 = 8;

/// Chooses engines for requests; holds no socket, thread or clock.
#[derive(Clone, Debug)]
pub struct KvRouter {
    weights: RoutingWeights,
    engines: BTreeMap<EngineId, EngineView>,
    gateways: u32,
    dispatches: u64,
}

impl KvRouter {
    /// A router that knows no engine yet.
    pub fn new(weights: RoutingWeights) -> Self {
        Self {
            weights,
            engines: BTreeMap::new(),
            gateways: 1,
            dispatches: 0,
        }
    }

    /// Sets how many gateways, this one included, share the engines.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Takes a record of an engine that was observed `age` ago.
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

    /// Forgets an engine.
    pub fn on_engine_removed(&mut self, engine: &EngineId) {
        self.engines.remove(engine);
    }

    /// Takes cache events of one start of an engine; events of an unknown engine are dropped.
    pub fn on_kv_events(&mut self, engine: &EngineId, incarnation: u64, events: &[KvEvent]) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.cache.apply(incarnation, events);
        }
    }

    /// Notes that a request is sent to an engine; for a split route call it once for each of the two engines.
    pub fn on_dispatched(
        &mut self,
        engine: &EngineId,
        query: &RouteQuery,
        now: MonotonicTime,
    ) -> DispatchTicket {
        self.dispatches += 1;
        let number = self.dispatches;
        let mut expected_first_token = Duration::ZERO;
        let mut expected_cached_tokens = 0;
        if let Some((engine, view)) = self.engines.get_key_value(engine) {
            let work = sent_work(engine, view, query, &self.weights, self.others(), now);
            expected_first_token = work.expected_first_token;
            let computed = work.prefill_tokens.min(f64::from(query.prompt_tokens)) as u32;
            expected_cached_tokens = query.prompt_tokens - computed;
            if let Some(view) = self.engines.get_mut(&engine.clone()) {
                view.sent(number, work);
            }
        }
        DispatchTicket {
            number,
            sent_at: now,
            expected_first_token,
            expected_cached_tokens,
        }
    }

    /// Notes the first part of an answer (a token, or the end of prefill).
    pub fn on_first_output(&mut self, engine: &EngineId, ticket: &DispatchTicket, now: MonotonicTime) {
        let Some(view) = self.engines.get_mut(engine) else {
            return;
        };
        let Some(work) = view.started(ticket.number) else {
            return;
        };
        if work.class != ServiceClass::Batch && work.prefill_tokens > 0.0 {
            let observed = now.since(work.sent_at);
            view.health.observe(observed, work.expected_first_token, now);
        }
    }

    /// Notes that an answer ended whole.
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
            if let Some(sent) = view.ended(ticket.number) {
                observe_tokens(view, &sent, work, now);
            }
            view.health.on_success();
        }
        debug_assert!(ticket.sent_at <= now, "a dispatch ended before it was sent");
    }

    /// Notes that a dispatch was cancelled by its caller or ended for a cause that is not the engine's.
    pub fn on_abandoned(&mut self, engine: &EngineId, ticket: &DispatchTicket) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.ended(ticket.number);
        }
    }

    /// Notes that an engine refused a dispatch before running it.
    pub fn on_refused(
        &mut self,
        engine: &EngineId,
        ticket: &DispatchTicket,
        reason: EngineRefusalReason,
        now: MonotonicTime,
    ) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.ended(ticket.number);
            view.health.on_refusal(reason, now);
        }
    }

    /// Notes that the connection to an engine broke or could not be made.
    pub fn on_broken(&mut self, engine: &EngineId, ticket: &DispatchTicket, now: MonotonicTime) {
        if let Some(view) = self.engines.get_mut(engine) {
            view.ended(ticket.number);
            view.health.on_connection_failure(now);
        }
    }

    /// Chooses where a request goes. Nothing outside the allowed zones, and nothing that leaves, is drained, changes
    /// or is not alive, is ever chosen.
    pub fn choose(&self, query: &RouteQuery, now: MonotonicTime, random: &mut dyn RngCore) -> Route {
        let mut candidates = self.candidates(query, now);
        if candidates.is_empty() {
            return Route::Nowhere(self.refusal_reason(query));
        }
        compare_with_peers(&mut candidates, &self.weights, now);
        let sampled = sample(candidates, self.weights.compare_all_up_to, random);
        cheapest(&sampled, query, &self.weights).unwrap_or(Route::Nowhere(RefusalReason::EnginesRefused))
    }

    /// Delays that a request would meet on the best of all engines now; absent when none can take it.
    pub fn estimate(&self, query: &RouteQuery, now: MonotonicTime) -> Option<RouteEstimate> {
        let mut candidates = self.candidates(query, now);
        compare_with_peers(&mut candidates, &self.weights, now);
        let wait = least(candidates.iter().filter(|one| one.runs_prompts()), |one| {
            one.wait() + one.compute()
        })?;
        let decode = least(candidates.iter().filter(|one| one.runs_outputs()), |one| {
            f64::from(query.expected_output_tokens) * one.token_seconds(&self.weights)
        })?;
        Some(RouteEstimate {
            first_token: Duration::from_secs_f64(wait),
            total: Duration::from_secs_f64(wait + decode),
        })
    }

    /// What the engines that hold a model can do and have to do, for the admission of one gateway among several.
    pub fn capacity(&self, model: &ModelId, now: MonotonicTime) -> ModelCapacity {
        let serving = self
            .engines
            .values()
            .filter(|view| view.accepts_new_work() && view.holds_model(model));
        super::capacity::sum(serving, &self.weights, self.gateways, self.others(), now)
    }

    /// The router's view of an engine.
    pub fn engine(&self, engine: &EngineId) -> Option<&EngineView> {
        self.engines.get(engine)
    }

    /// All engines known, by identifier.
    pub fn engines(&self) -> impl Iterator<Item = (&EngineId, &EngineView)> {
        self.engines.iter()
    }

    /// Pieces of other gateways' work that one piece of own unreported work stands for.
    fn others(&self) -> f64 {
        self.weights.alike_choices * f64::from(self.gateways - 1)
    }

    fn candidates<'a>(&'a self, query: &RouteQuery, now: MonotonicTime) -> Vec<Candidate<'a>> {
        self.engines
            .iter()
            .filter(|(engine, view)| self.may_take(engine, view, query, now))
            .map(|(engine, view)| Candidate::new(engine, view, query, &self.weights, self.others(), now))
            .collect()
    }

    fn may_take(&self, engine: &EngineId, view: &EngineView, query: &RouteQuery, now: MonotonicTime) -> bool {
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

fn sent_work(
    engine: &EngineId,
    view: &EngineView,
    query: &RouteQuery,
    weights: &RoutingWeights,
    others: f64,
    now: MonotonicTime,
) -> InFlightWork {
    let candidate = Candidate::new(engine, view, query, weights, others, now);
    let prefill_tokens = if candidate.runs_prompts() {
        candidate.uncached_tokens
    } else {
        0.0
    };
    let expected_output = f64::from(query.expected_output_tokens);
    let decode_tokens = if candidate.runs_outputs() {
        expected_output
    } else {
        0.0
    };
    let expected = candidate.wait() + prefill_tokens / candidate.prefill_speed;
    InFlightWork {
        sent_at: now,
        prefill_tokens,
        decode_tokens,
        expected_first_token: Duration::from_secs_f64(expected),
        expected_token: Duration::from_secs_f64(candidate.token_seconds(weights)),
        started: false,
        cached_part: cached_part(&candidate, query),
        class: query.class,
        reported: false,
    }
}

fn cached_part(candidate: &Candidate<'_>, query: &RouteQuery) -> f64 {
    if query.prompt_tokens == 0 {
        return 0.0;
    }
    1.0 - candidate.uncached_tokens / f64::from(query.prompt_tokens)
}

/// Compares the time between tokens with what the engine's report promised; too few tokens say too little.
fn observe_tokens(view: &mut EngineView, sent: &InFlightWork, work: &FinishedWork, now: MonotonicTime) {
    let Some(first_token) = work.first_token else {
        return;
    };
    if work.output_tokens < FEWEST_OBSERVED_TOKENS {
        return;
    }
    let gaps = work.output_tokens - 1;
    let observed = work.total.saturating_sub(first_token);
    view.health.observe(observed, sent.expected_token * gaps, now);
}

fn least<'c, 'a: 'c>(
    candidates: impl Iterator<Item = &'c Candidate<'a>>,
    seconds: impl Fn(&Candidate<'a>) -> f64,
) -> Option<f64> {
    candidates.map(seconds).min_by(f64::total_cmp)
}
