//! What the router believes of one engine.

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

/// A request counts as overdue once it has waited this many times longer than expected.
const OVERDUE_FACTOR: u32 = 3;
/// Waiting below this is never overdue; covers the lag of reports and the turns of other classes.
const OVERDUE_FLOOR: Duration = Duration::from_secs(2);

/// Share of a report in the mean number of decoding sequences, about the window over which engines measure speed.
const SEQUENCES_SHARE: f64 = 0.2;
/// Sequences assumed behind a decode speed that was reported before any decoding was seen.
const ASSUMED_SEQUENCES: f64 = 12.0;

/// Work handed to an engine by this router that has not ended.
#[derive(Clone, Debug)]
pub struct InFlightWork {
    /// When it was sent.
    pub sent_at: MonotonicTime,
    /// Prompt tokens that must be computed; zero once the first part came.
    pub prefill_tokens: f64,
    /// Output tokens expected.
    pub decode_tokens: f64,
    /// Delay to the first part that was expected.
    pub expected_first_token: Duration,
    /// Time between tokens that was expected.
    pub expected_token: Duration,
    /// Whether the first part came.
    pub started: bool,
    /// Part of the prompt that the engine was believed to hold.
    pub cached_part: f64,
    /// Class.
    pub class: ServiceClass,
    /// Whether a load report may include it already.
    pub reported: bool,
}

/// Queues of one engine in tokens, estimated for now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueueEstimate {
    /// Prompt tokens that wait.
    pub prefill_tokens: f64,
    /// Output tokens still to come.
    pub decode_tokens: f64,
    /// Part of those prompt tokens that goes before a request of the class that is asked for.
    pub prefill_tokens_ahead: f64,
    /// Sequences that decode.
    pub sequences: f64,
    /// Requests that run or wait.
    pub requests: f64,
}

/// One engine as the router sees it.
#[derive(Clone, Debug)]
pub struct EngineView {
    /// Last record.
    pub record: EngineRecord,
    /// When the state in the record was observed.
    pub observed_at: MonotonicTime,
    /// Prefixes it is believed to hold.
    pub cache: CacheEstimate,
    /// How it keeps what it reports.
    pub health: Health,
    mean_sequences: f64,
    sent: BTreeMap<u64, InFlightWork>,
    unreported: Unreported,
}

/// Sums over the work sent that no load report may include yet.
#[derive(Clone, Copy, Debug, Default)]
struct Unreported {
    own: UnreportedSum,
    /// The part that any gateway would have sent there: not what went there for its cached prefix.
    alike: UnreportedSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct UnreportedSum {
    /// Prompt tokens by class.
    prefill: [f64; 3],
    decode: f64,
    requests: f64,
}

impl Unreported {
    fn add(&mut self, work: &InFlightWork) {
        self.own.add(work, 1.0);
        self.alike.add(work, 1.0 - work.cached_part);
    }

    fn remove(&mut self, work: &InFlightWork) {
        self.remove_prefill(work);
        self.own.remove(work, 1.0);
        self.alike.remove(work, 1.0 - work.cached_part);
    }

    fn remove_prefill(&mut self, work: &InFlightWork) {
        self.own.remove_prefill(work, 1.0);
        self.alike.remove_prefill(work, 1.0 - work.cached_part);
    }
}

impl UnreportedSum {
    fn add(&mut self, work: &InFlightWork, part: f64) {
        self.prefill[work.class.index()] += part * work.prefill_tokens;
        self.decode += part * work.decode_tokens;
        self.requests += part;
    }

    fn remove(&mut self, work: &InFlightWork, part: f64) {
        self.decode = (self.decode - part * work.decode_tokens).max(0.0);
        self.requests = (self.requests - part).max(0.0);
    }

    fn remove_prefill(&mut self, work: &InFlightWork, part: f64) {
        let prefill = &mut self.prefill[work.class.index()];
        *prefill = (*prefill - part * work.prefill_tokens).max(0.0);
    }
}

impl EngineView {
    /// A view that starts with the given record.
    pub fn new(record: EngineRecord, observed_at: MonotonicTime) -> Self {
        Self {
            record,
            observed_at,
            cache: CacheEstimate::default(),
            health: Health::default(),
            mean_sequences: ASSUMED_SEQUENCES,
            sent: BTreeMap::new(),
            unreported: Unreported::default(),
        }
    }

    /// Takes a newer record; a new start of the engine forgets what its last one held and owed.
    pub fn update(&mut self, record: EngineRecord, observed_at: MonotonicTime, lag: Duration) {
        let before = self.incarnation();
        self.record = record;
        self.observed_at = observed_at;
        let after = self.incarnation();
        if after > before {
            self.cache.restart_at(after);
            self.health.on_restart();
            self.sent.clear();
        }
        self.recount_unreported(observed_at - lag);
        let sequences = f64::from(self.load().active_sequences);
        if sequences > 0.0 {
            self.mean_sequences += (sequences - self.mean_sequences) * SEQUENCES_SHARE;
        }
    }

    /// Sequences that decoded together, on average, while the reported decode speed was measured.
    pub fn mean_sequences(&self) -> f64 {
        self.mean_sequences
    }

    /// Last status, once there is one.
    pub fn status(&self) -> Option<&EngineStatus> {
        self.record.status.as_ref()
    }

    /// Where the engine listens; absent for a record that describes no engine.
    pub fn address(&self) -> Option<SocketAddr> {
        match self.record.service {
            MachineService::ModelEngine { address } | MachineService::ApplicationEngine { address } => {
                Some(address)
            }
            MachineService::Node { .. } => None,
        }
    }

    /// Present role; mixed before the first status.
    pub fn role(&self) -> Role {
        self.status().map_or(Role::Mixed, |status| status.role)
    }

    /// Load of the last report.
    pub fn load(&self) -> LoadReport {
        self.status().map(|status| status.load).unwrap_or_default()
    }

    /// Whether the engine holds the weights that a query needs and is of the right kind.
    pub fn serves(&self, query: &RouteQuery) -> bool {
        let right_kind = match self.record.service {
            MachineService::ModelEngine { .. } => query.kind == ModelKind::Model,
            MachineService::ApplicationEngine { .. } => query.kind == ModelKind::Application,
            MachineService::Node { .. } => false,
        };
        right_kind
            && self
                .status()
                .is_some_and(|status| status.weights.iter().any(|weights| holds(weights, query)))
    }

    /// Whether the engine holds any weights of a model.
    pub fn holds_model(&self, model: &ModelId) -> bool {
        self.status()
            .is_some_and(|status| status.weights.iter().any(|weights| weights.model == *model))
    }

    /// Whether new work may go there at all: it answers, stays, and is neither drained nor in a change.
    pub fn accepts_new_work(&self) -> bool {
        self.record.liveness == Liveness::Alive
            && self.record.machine_state == MachineState::Live
            && self
                .status()
                .is_some_and(|status| !status.draining && !status.changing)
    }

    /// Notes work that was just sent.
    pub fn sent(&mut self, number: u64, work: InFlightWork) {
        self.unreported.add(&work);
        self.sent.insert(number, work);
    }

    /// Notes the first part of an answer; gives the work as it was when that is news.
    pub fn started(&mut self, number: u64) -> Option<InFlightWork> {
        let work = self.sent.get_mut(&number)?;
        if work.started {
            return None;
        }
        let before = work.clone();
        work.started = true;
        work.prefill_tokens = 0.0;
        if !before.reported {
            self.unreported.remove_prefill(&before);
        }
        Some(before)
    }

    /// Notes the end of a dispatch.
    pub fn ended(&mut self, number: u64) -> Option<InFlightWork> {
        let work = self.sent.remove(&number)?;
        if !work.reported {
            self.unreported.remove(&work);
        }
        Some(work)
    }

    /// Queues now as a request of a class meets them: the last report, less what was worked off since, plus what
    /// was sent since. Other gateways see the same reports and choose alike, so each piece of own work that is not
    /// reported yet and did not go there for its cached prefix stands for `others` further pieces.
    pub fn queues(
        &self,
        class: ServiceClass,
        weights: &RoutingWeights,
        others: f64,
        now: MonotonicTime,
    ) -> QueueEstimate {
        let load = self.load();
        let age = now.since(self.observed_at).as_secs_f64() + weights.report_lag_seconds;
        let prefill_done = age * load.prefill_tokens_per_second as f64;
        let decode_done = age * load.decode_tokens_per_second as f64;
        let prefill = (load.queued_prefill_tokens as f64 - prefill_done).max(0.0);
        let decode = (load.queued_decode_tokens as f64 - decode_done).max(0.0);
        let decode_left = decode / (load.queued_decode_tokens as f64).max(1.0);
        let mut queues = QueueEstimate {
            prefill_tokens: prefill,
            prefill_tokens_ahead: prefill * weights.queue_ahead(class),
            decode_tokens: decode,
            sequences: f64::from(load.active_sequences),
            requests: f64::from(load.requests_in_flight) * decode_left,
        };
        if weights.count_sent_work {
            self.add_unreported(class, others, &mut queues);
        }
        queues
    }

    fn add_unreported(&self, class: ServiceClass, others: f64, queues: &mut QueueEstimate) {
        for (sum, times) in [(&self.unreported.own, 1.0), (&self.unreported.alike, others)] {
            let ahead: f64 = sum.prefill[..=class.index()].iter().sum();
            queues.prefill_tokens += times * sum.prefill.iter().sum::<f64>();
            queues.prefill_tokens_ahead += times * ahead;
            queues.decode_tokens += times * sum.decode;
            queues.sequences += times * sum.requests;
            queues.requests += times * sum.requests;
        }
    }

    /// Factor by which the engine is slower than it reports, with requests that are overdue counted already.
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        let observed = self.health.slowness(now);
        let Some(oldest) = self.sent.values().find(|work| !work.started) else {
            return observed;
        };
        let waited = now.since(oldest.sent_at);
        let limit = oldest
            .expected_first_token
            .saturating_mul(OVERDUE_FACTOR)
            .max(OVERDUE_FLOOR);
        if waited <= limit || oldest.class == ServiceClass::Batch {
            return observed;
        }
        observed.max(delay_factor(waited, oldest.expected_first_token))
    }

    fn incarnation(&self) -> u64 {
        self.status().map_or(0, |status| status.incarnation)
    }

    fn recount_unreported(&mut self, cutoff: MonotonicTime) {
        self.unreported = Unreported::default();
        for work in self.sent.values_mut() {
            work.reported = work.reported || work.sent_at <= cutoff;
            if !work.reported {
                self.unreported.add(work);
            }
        }
    }
}

fn holds(weights: &LoadedWeights, query: &RouteQuery) -> bool {
    weights.model == query.model
        && query
            .adapter
            .as_ref()
            .is_none_or(|adapter| weights.adapters.contains(adapter))
}
