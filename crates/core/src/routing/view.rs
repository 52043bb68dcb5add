//! The router's view of one engine: its last report, plus the work sent since then.

use super::cache::CacheEstimate;
use super::health::{Health, delay_factor};
use super::query::RouteQuery;
use super::weights::RoutingWeights;
use crate::bundle::content::ModelKind;
use crate::engine::{EngineStatus, LoadReport, LoadedWeights, Role};
use crate::identity::ModelId;
use crate::machine::{MachineService, MachineState};
use crate::membership::record::{EngineRecord, Liveness};
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Multiple of the expected time to first token after which a request is overdue.
const OVERDUE_FACTOR: u32 = 3;
/// Minimum time without a response after which a request is overdue. Allows for delayed load reports and for requests of other
/// classes that the engine schedules first.
const MIN_OVERDUE_WAIT: Duration = Duration::from_secs(2);

/// Weight of a new report in the moving average of decoding sequences; matches the window over which engines measure
/// their speed.
const SEQUENCES_OBSERVATION_WEIGHT: f64 = 0.2;
/// Initial value of the moving average of decoding sequences.
const INITIAL_MEAN_SEQUENCES: f64 = 12.0;

/// A dispatch of this router to an engine that has not ended.
#[derive(Clone, Debug)]
pub struct InFlightWork {
    /// Time of the dispatch.
    pub sent_at: MonotonicTime,
    /// Prompt tokens that remain to be prefilled; zero once the first part of the response has arrived.
    pub prefill_tokens: f64,
    /// Expected number of output tokens.
    pub decode_tokens: f64,
    /// Time to first token that was expected at dispatch.
    pub expected_first_token: Duration,
    /// Time between tokens that was expected at dispatch.
    pub expected_token_interval: Duration,
    /// Whether the first part of the response has arrived.
    pub has_started: bool,
    /// Fraction of the prompt that was expected to be in the engine's prefix cache.
    pub cached_fraction: f64,
    /// Service class of the request.
    pub class: ServiceClass,
    /// Whether the last load report may include the dispatch.
    pub is_reported: bool,
}

/// Current queues of one engine, estimated from its last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueEstimate {
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: f64,
    /// Output tokens that remain to be decoded.
    pub decode_tokens: f64,
    /// Prompt tokens that are scheduled before a request of the given class.
    pub prefill_tokens_ahead: f64,
    /// Number of decoding sequences.
    pub sequences: f64,
    /// Number of running and waiting requests.
    pub requests: f64,
}

/// Last record of an engine, and what this router has observed and sent since.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Last membership record.
    pub record: EngineRecord,
    /// Time at which the state in the record was observed.
    pub observed_at: MonotonicTime,
    /// Estimated content of its prefix cache.
    pub cache: CacheEstimate,
    /// Slowness of the engine relative to its own reports, and its backoff.
    pub health: Health,
    mean_sequences: f64,
    dispatches: BTreeMap<u64, InFlightWork>,
    unreported: UnreportedWork,
}

/// Total work of the dispatches that no load report includes yet.
#[derive(Clone, Copy, Debug, Default)]
struct UnreportedWork {
    own: UnreportedWorkSum,
    /// The same work, but each dispatch counts only in proportion to the uncached fraction of its prompt. Other gateways are
    /// likely to have sent a similar amount.
    cache_independent: UnreportedWorkSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct UnreportedWorkSum {
    /// Prompt tokens by service class.
    prefill: [f64; 3],
    decode: f64,
    requests: f64,
}

impl UnreportedWork {
    fn add(&mut self, work: &InFlightWork) {
        self.own.add(work, 1.0);
        self.cache_independent.add(work, 1.0 - work.cached_fraction);
    }

    fn remove(&mut self, work: &InFlightWork) {
        self.remove_prefill(work);
        self.own.remove(work, 1.0);
        self.cache_independent.remove(work, 1.0 - work.cached_fraction);
    }

    fn remove_prefill(&mut self, work: &InFlightWork) {
        self.own.remove_prefill(work, 1.0);
        self.cache_independent
            .remove_prefill(work, 1.0 - work.cached_fraction);
    }
}

impl UnreportedWorkSum {
    fn add(&mut self, work: &InFlightWork, fraction: f64) {
        self.prefill[work.class.index()] += fraction * work.prefill_tokens;
        self.decode += fraction * work.decode_tokens;
        self.requests += fraction;
    }

    fn remove(&mut self, work: &InFlightWork, fraction: f64) {
        self.decode = (self.decode - fraction * work.decode_tokens).max(0.0);
        self.requests = (self.requests - fraction).max(0.0);
    }

    fn remove_prefill(&mut self, work: &InFlightWork, fraction: f64) {
        let prefill = &mut self.prefill[work.class.index()];
        *prefill = (*prefill - fraction * work.prefill_tokens).max(0.0);
    }
}

impl EngineView {
    /// Creates a view from the first record of an engine.
    pub fn new(record: EngineRecord, observed_at: MonotonicTime) -> Self {
        Self {
            record,
            observed_at,
            cache: CacheEstimate::default(),
            health: Health::default(),
            mean_sequences: INITIAL_MEAN_SEQUENCES,
            dispatches: BTreeMap::new(),
            unreported: UnreportedWork::default(),
        }
    }

    /// Updates the record. A newer incarnation of the engine clears the prefix cache, health and dispatches.
    pub fn update(&mut self, record: EngineRecord, observed_at: MonotonicTime, lag: Duration) {
        let before = self.incarnation();
        self.record = record;
        self.observed_at = observed_at;
        let after = self.incarnation();
        if after > before {
            self.cache.clear_if_newer(after);
            self.health.on_restart();
            self.dispatches.clear();
        }
        self.recount_unreported(observed_at - lag);
        let sequences = f64::from(self.load().active_sequences);
        if sequences > 0.0 {
            self.mean_sequences += (sequences - self.mean_sequences) * SEQUENCES_OBSERVATION_WEIGHT;
        }
    }

    /// Average number of concurrent sequences while the reported decode speed was measured.
    pub fn mean_sequences(&self) -> f64 {
        self.mean_sequences
    }

    /// Last reported status; `None` before the first one.
    pub fn status(&self) -> Option<&EngineStatus> {
        self.record.status.as_ref()
    }

    /// Address at which the engine accepts requests; `None` if the record describes a node.
    pub fn address(&self) -> Option<SocketAddr> {
        match self.record.service {
            MachineService::ModelEngine { address } | MachineService::ApplicationEngine { address } => {
                Some(address)
            }
            MachineService::Node { .. } => None,
        }
    }

    /// Reported role; mixed before the first status.
    pub fn role(&self) -> Role {
        self.status().map_or(Role::Mixed, |status| status.role)
    }

    /// Last reported load; zero before the first status.
    pub fn load(&self) -> LoadReport {
        self.status().map(|status| status.load).unwrap_or_default()
    }

    /// Whether the engine has loaded the model and adapter of a query and is of the right kind.
    pub fn serves(&self, query: &RouteQuery) -> bool {
        let kind_matches = match self.record.service {
            MachineService::ModelEngine { .. } => query.kind == ModelKind::Model,
            MachineService::ApplicationEngine { .. } => query.kind == ModelKind::Application,
            MachineService::Node { .. } => false,
        };
        kind_matches
            && self
                .status()
                .is_some_and(|status| status.weights.iter().any(|weights| has_loaded(weights, query)))
    }

    /// Whether the engine has loaded any version of a model.
    pub fn holds_model(&self, model: &ModelId) -> bool {
        self.status()
            .is_some_and(|status| status.weights.iter().any(|weights| weights.model == *model))
    }

    /// Whether the engine is alive and neither leaving, draining nor being reconfigured.
    pub fn accepts_new_work(&self) -> bool {
        self.record.liveness == Liveness::Alive
            && self.record.machine_state == MachineState::Live
            && self
                .status()
                .is_some_and(|status| !status.draining && !status.changing)
    }

    /// Records a dispatch.
    pub fn record_dispatch(&mut self, number: u64, work: InFlightWork) {
        self.unreported.add(&work);
        self.dispatches.insert(number, work);
    }

    /// Records the first part of a response. Returns the dispatch as it was before, or `None` if it is unknown or has already
    /// started.
    pub fn record_first_output(&mut self, number: u64) -> Option<InFlightWork> {
        let work = self.dispatches.get_mut(&number)?;
        if work.has_started {
            return None;
        }
        let before = work.clone();
        work.has_started = true;
        work.prefill_tokens = 0.0;
        if !before.is_reported {
            self.unreported.remove_prefill(&before);
        }
        Some(before)
    }

    /// Removes a dispatch that has ended; `None` if it is unknown.
    pub fn record_end(&mut self, number: u64) -> Option<InFlightWork> {
        let work = self.dispatches.remove(&number)?;
        if !work.is_reported {
            self.unreported.remove(&work);
        }
        Some(work)
    }

    /// Current queues as seen by a request of a class: the last report, minus the work completed since, plus the work sent
    /// since. Other gateways see the same reports and make similar choices, so own unreported work that was not routed for
    /// a cached prefix is counted an additional `peer_work_factor` times.
    pub fn queues(
        &self,
        class: ServiceClass,
        weights: &RoutingWeights,
        peer_work_factor: f64,
        now: MonotonicTime,
    ) -> QueueEstimate {
        let load = self.load();
        let age = now.since(self.observed_at).as_secs_f64() + weights.report_lag_seconds;
        let prefill_done = age * load.prefill_tokens_per_second as f64;
        let decode_done = age * load.decode_tokens_per_second as f64;
        let prefill = (load.queued_prefill_tokens as f64 - prefill_done).max(0.0);
        let decode = (load.queued_decode_tokens as f64 - decode_done).max(0.0);
        let remaining_fraction = decode / (load.queued_decode_tokens as f64).max(1.0);
        let mut queues = QueueEstimate {
            prefill_tokens: prefill,
            prefill_tokens_ahead: prefill * weights.queue_ahead_fraction(class),
            decode_tokens: decode,
            sequences: f64::from(load.active_sequences),
            requests: f64::from(load.requests_in_flight) * remaining_fraction,
        };
        if weights.count_sent_work {
            self.add_unreported(class, peer_work_factor, &mut queues);
        }
        queues
    }

    fn add_unreported(&self, class: ServiceClass, peer_work_factor: f64, queues: &mut QueueEstimate) {
        for (sum, multiplier) in [
            (&self.unreported.own, 1.0),
            (&self.unreported.cache_independent, peer_work_factor),
        ] {
            let ahead: f64 = sum.prefill[..=class.index()].iter().sum();
            queues.prefill_tokens += multiplier * sum.prefill.iter().sum::<f64>();
            queues.prefill_tokens_ahead += multiplier * ahead;
            queues.decode_tokens += multiplier * sum.decode;
            queues.sequences += multiplier * sum.requests;
            queues.requests += multiplier * sum.requests;
        }
    }

    /// Factor by which the engine is slower than its reports suggest, taking overdue requests into account.
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        let observed = self.health.slowness(now);
        let Some(oldest) = self.dispatches.values().find(|work| !work.has_started) else {
            return observed;
        };
        let waited = now.since(oldest.sent_at);
        let max_wait = oldest
            .expected_first_token
            .saturating_mul(OVERDUE_FACTOR)
            .max(MIN_OVERDUE_WAIT);
        if waited <= max_wait || oldest.class == ServiceClass::Batch {
            return observed;
        }
        observed.max(delay_factor(waited, oldest.expected_first_token))
    }

    fn incarnation(&self) -> u64 {
        self.status().map_or(0, |status| status.incarnation)
    }

    fn recount_unreported(&mut self, cutoff: MonotonicTime) {
        self.unreported = UnreportedWork::default();
        for work in self.dispatches.values_mut() {
            work.is_reported = work.is_reported || work.sent_at <= cutoff;
            if !work.is_reported {
                self.unreported.add(work);
            }
        }
    }
}

fn has_loaded(weights: &LoadedWeights, query: &RouteQuery) -> bool {
    weights.model == query.model
        && query
            .adapter
            .as_ref()
            .is_none_or(|adapter| weights.adapters.contains(adapter))
}
