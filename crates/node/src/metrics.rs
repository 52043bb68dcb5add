//! Counts, gauges and delays of the process in the OpenMetrics text; labels take few values, and none names a caller.

use crate::commanding::RegionalRoleMetrics;
use crate::engine_contact::ContactMetrics;
use crate::engine_signals::SignalMetrics;
use crate::metering::UsageMetrics;
use crate::pace_metrics::PaceMetrics;
use crate::quarantine::QuarantineMetrics;
use crate::rate_limits::RateLimitMetrics;
use crate::regions::RegionMetrics;
use crate::relay::RelayMetrics;
use crate::spill::SpillMetrics;
use crate::streams::StreamMetrics;
use crate::tenant_rates::TenantRateMetrics;
use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

const PREFIX: &str = "shelfjunction_node";

/// Upper bounds of the delay histograms, in seconds.
const DELAY_BOUNDS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0];

/// Upper bounds of the histogram of round trips to placers, in seconds.
const ROUND_TRIP_BOUNDS: [f64; 8] = [0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.04, 0.1];

/// Labels of requests that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    outcome: &'static str,
    cause: &'static str,
}

/// Labels of dispatches to engines that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DispatchLabels {
    purpose: &'static str,
    end: &'static str,
}

/// One label that says what became of something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

/// One label that says by what a stream came late.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LateLabel {
    late: &'static str,
}

/// Everything that is measured.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    ended_streams: Family<LateLabel, Counter>,
    dispatches: Family<DispatchLabels, Counter>,
    access_refusals: Family<ResultLabel, Counter>,
    retries: Family<ResultLabel, Counter>,
    store_calls: Family<ResultLabel, Counter>,
    orders: Family<ResultLabel, Counter>,
    usage_reports: Family<ResultLabel, Counter>,
    engine_orders: Family<ResultLabel, Counter>,
    /// Requests under which engines crashed.
    pub(crate) quarantine: QuarantineMetrics,
    /// Rate limits of engines.
    pub(crate) rate_limits: RateLimitMetrics,
    pub(crate) tenant_rates: TenantRateMetrics,
    /// Requests handed to other regions and accepted from them.
    pub(crate) spill: SpillMetrics,
    /// Plans of regions.
    pub(crate) regional_roles: RegionalRoleMetrics,
    /// Windows of usage.
    pub(crate) usage: UsageMetrics,
    /// Connections to engines.
    pub(crate) contact: ContactMetrics,
    /// Streams that are continued.
    pub(crate) streams: StreamMetrics,
    /// Connections through other nodes.
    pub(crate) relay: RelayMetrics,
    /// What engines said of themselves in their answers.
    pub(crate) signals: SignalMetrics,
    /// Figures by region.
    pub(crate) regions: RegionMetrics,
    /// Paces of engines.
    pub(crate) pace: PaceMetrics,
    placements: Family<ResultLabel, Counter>,
    path_beliefs: Family<ResultLabel, Counter>,
    engine_silences: Family<ResultLabel, Counter>,
    admissions: Family<ResultLabel, Counter>,
    whole_answer: Histogram,
    first_event: Histogram,
    between_events: Histogram,
    prompt_reading: Histogram,
    placement_round_trip: Histogram,
    /// Requests under way.
    pub(crate) in_flight: Gauge,
    /// Callers' connections.
    pub(crate) connections: Gauge,
    /// Repeats left in the tightest budget.
    pub(crate) repeats_left: Gauge<f64, AtomicU64>,
    pub(crate) repeats_usable_part: Gauge<f64, AtomicU64>,
    /// Version of the configuration in force.
    pub(crate) config_version: Gauge,
    /// Seconds since that version came into force here.
    pub(crate) config_age: Gauge,
    /// Version of the store that the list of engines reflects.
    pub(crate) list_version: Gauge,
    /// Engines that take work.
    pub(crate) engines: Gauge,
    pub(crate) engines_reserved: Gauge,
    /// Other nodes that were heard a short time ago.
    pub(crate) peers: Gauge,
    pub(crate) cordons: Gauge,
    pub(crate) kept_for_callers: Gauge,
    pub(crate) request_bytes: Gauge,
    pub(crate) answer_bytes: Gauge,
    pub(crate) buffer_capacity: Gauge,
    pub(crate) requests_without_room: Gauge,
    pub(crate) requests_dropped: Gauge,
    callers_let_go: Counter,
    /// Whether this node holds the lease over the engines.
    pub(crate) lease_held: Gauge,
    /// Log lines dropped or folded.
    pub(crate) log_lines_not_written: Gauge,
}

impl Metrics {
    /// Registers everything at zero.
    pub(crate) fn new() -> Self {
        let delays = || Histogram::new(DELAY_BOUNDS);
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            ended_streams: Family::default(),
            dispatches: Family::default(),
            access_refusals: Family::default(),
            retries: Family::default(),
            store_calls: Family::default(),
            orders: Family::default(),
            usage_reports: Family::default(),
            engine_orders: Family::default(),
            quarantine: QuarantineMetrics::default(),
            rate_limits: RateLimitMetrics::default(),
            tenant_rates: TenantRateMetrics::default(),
            spill: SpillMetrics::default(),
            regional_roles: RegionalRoleMetrics::default(),
            usage: UsageMetrics::default(),
            contact: ContactMetrics::default(),
            streams: StreamMetrics::default(),
            relay: RelayMetrics::default(),
            signals: SignalMetrics::default(),
            regions: RegionMetrics::default(),
            pace: PaceMetrics::default(),
            placements: Family::default(),
            path_beliefs: Family::default(),
            engine_silences: Family::default(),
            admissions: Family::default(),
            whole_answer: delays(),
            first_event: delays(),
            between_events: delays(),
            prompt_reading: delays(),
            placement_round_trip: Histogram::new(ROUND_TRIP_BOUNDS),
            in_flight: Gauge::default(),
            connections: Gauge::default(),
            repeats_left: Gauge::default(),
            repeats_usable_part: Gauge::default(),
            config_version: Gauge::default(),
            config_age: Gauge::default(),
            list_version: Gauge::default(),
            engines: Gauge::default(),
            engines_reserved: Gauge::default(),
            peers: Gauge::default(),
            cordons: Gauge::default(),
            kept_for_callers: Gauge::default(),
            request_bytes: Gauge::default(),
            answer_bytes: Gauge::default(),
            buffer_capacity: Gauge::default(),
            requests_without_room: Gauge::default(),
            requests_dropped: Gauge::default(),
            callers_let_go: Counter::default(),
            lease_held: Gauge::default(),
            log_lines_not_written: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_delays();
        metrics.register_gauges();
        metrics.quarantine.register(&mut metrics.registry);
        metrics.regions.register(&mut metrics.registry);
        metrics.pace.register(&mut metrics.registry);
        metrics.rate_limits.register(&mut metrics.registry);
        metrics.tenant_rates.register(&mut metrics.registry);
        metrics.spill.register(&mut metrics.registry);
        metrics.usage.register(&mut metrics.registry);
        metrics.contact.register(&mut metrics.registry);
        metrics.streams.register(&mut metrics.registry);
        metrics.relay.register(&mut metrics.registry);
        metrics.signals.register(&mut metrics.registry);
        metrics.regional_roles.register(&mut metrics.registry);
        metrics
    }

    /// The text that a scraper reads.
    pub(crate) fn render(&self) -> Result<String, fmt::Error> {
        let mut rendered = String::new();
        text::encode(&mut rendered, &self.registry)?;
        Ok(rendered)
    }

    pub(crate) fn request_ended(&self, outcome: &'static str, cause: &'static str, took: Duration) {
        self.requests
            .get_or_create(&RequestLabels { outcome, cause })
            .inc();
        self.whole_answer.observe(took.as_secs_f64());
    }

    pub(crate) fn stream_ended(&self, late: &'static str) {
        self.ended_streams.get_or_create(&LateLabel { late }).inc();
    }

    pub(crate) fn dispatch_ended(&self, purpose: &'static str, end: &'static str) {
        self.dispatches
            .get_or_create(&DispatchLabels { purpose, end })
            .inc();
    }

    pub(crate) fn access_refused(&self, result: &'static str) {
        self.access_refusals.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn retry_asked(&self, granted: bool) {
        let result = if granted { "granted" } else { "denied" };
        self.retries.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn store_called(&self, answered: bool) {
        let result = if answered { "answered" } else { "failed" };
        self.store_calls.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn caller_let_go(&self) {
        self.callers_let_go.inc();
    }

    pub(crate) fn placement(&self, result: &'static str) {
        self.placements.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn path_changed(&self, belief: &'static str) {
        self.path_beliefs
            .get_or_create(&ResultLabel { result: belief })
            .inc();
    }

    pub(crate) fn engine_silence(&self, result: &'static str) {
        self.engine_silences.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn admission(&self, result: &'static str) {
        self.admissions.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn placement_took(&self, took: Duration) {
        self.placement_round_trip.observe(took.as_secs_f64());
    }

    pub(crate) fn order_given(&self, result: &'static str) {
        self.orders.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn usage_reported(&self, result: &'static str) {
        self.usage_reports.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn engines_ordered(&self, result: &'static str) {
        self.engine_orders.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn first_event(&self, delay: Duration) {
        self.first_event.observe(delay.as_secs_f64());
    }

    pub(crate) fn next_event(&self, pause: Duration) {
        self.between_events.observe(pause.as_secs_f64());
    }

    pub(crate) fn prompt_read(&self, took: Duration) {
        self.prompt_reading.observe(took.as_secs_f64());
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "streams",
            "Streams that ended, by what came late: no, first_event, pause, first_event_and_pause",
            self.ended_streams.clone(),
        );
        registry.register(
            "dispatches",
            "Dispatches to engines that ended",
            self.dispatches.clone(),
        );
        registry.register(
            "access_refusals",
            "Requests that brought no key or one that no tenant has",
            self.access_refusals.clone(),
        );
        registry.register("retries", "Repeats that were asked for", self.retries.clone());
        registry.register(
            "store_calls",
            "Questions to the platform's store",
            self.store_calls.clone(),
        );
        registry.register(
            "placements",
            "Choices of engines: given to others, answered by a placer, own, timed out, made alone",
            self.placements.clone(),
        );
        registry.register(
            "path_beliefs",
            "Changes of belief about paths between zones: suspected, returns, trusted",
            self.path_beliefs.clone(),
        );
        registry.register(
            "engine_silences",
            "Engines left alone because they said nothing, and those whose load returns since they answered somebody",
            self.engine_silences.clone(),
        );
        registry.register(
            "admissions",
            "Decisions whether requests are taken, and whether a share was exceeded",
            self.admissions.clone(),
        );
        registry.register(
            "placement_round_trip_seconds",
            "Time from a question to a placer to its answer",
            self.placement_round_trip.clone(),
        );
        registry.register("orders", "Orders given to engines", self.orders.clone());
        registry.register(
            "callers_let_go",
            "Callers whose connection was closed since they took nothing of their answer",
            self.callers_let_go.clone(),
        );
        registry.register(
            "engine_orders",
            "Orders of how many engines should run",
            self.engine_orders.clone(),
        );
        registry.register(
            "usage_reports",
            "Usage reports sent to the platform",
            self.usage_reports.clone(),
        );
    }

    fn register_delays(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "answer_seconds",
            "Time from a call to its end",
            self.whole_answer.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from a call to its first event",
            self.first_event.clone(),
        );
        registry.register(
            "between_events_seconds",
            "Pause between two events of an answer",
            self.between_events.clone(),
        );
        registry.register(
            "prompt_seconds",
            "Time that reading a prompt took, with its wait",
            self.prompt_reading.clone(),
        );
    }

    fn register_gauges(&mut self) {
        let gauges = [
            ("in_flight", "Requests under way", &self.in_flight),
            ("connections", "Callers' connections", &self.connections),
            (
                "config_version",
                "Version of the configuration in force",
                &self.config_version,
            ),
            (
                "config_age_seconds",
                "Time since it came into force here",
                &self.config_age,
            ),
            (
                "list_version",
                "Version of the store that the list of engines reflects",
                &self.list_version,
            ),
            ("engines", "Engines in use that take work", &self.engines),
            (
                "engines_reserved",
                "Engines that are listed and not in use",
                &self.engines_reserved,
            ),
            ("peers", "Other nodes heard a short time ago", &self.peers),
            ("cordons", "Cordons of operators in force", &self.cordons),
            (
                "kept_for_callers_bytes",
                "Bytes of answers kept for callers that read slowly",
                &self.kept_for_callers,
            ),
            (
                "request_bytes",
                "Bytes reserved for bodies of requests, from the first byte until the answer has ended",
                &self.request_bytes,
            ),
            (
                "answer_bytes",
                "Bytes of answers that engines have not ended",
                &self.answer_bytes,
            ),
            (
                "buffer_capacity_bytes",
                "Bytes that may be held for others together",
                &self.buffer_capacity,
            ),
            (
                "requests_without_room",
                "Requests refused since the start because the buffers were full",
                &self.requests_without_room,
            ),
            (
                "requests_dropped",
                "Unfinished requests that gave way to others since the start",
                &self.requests_dropped,
            ),
            (
                "lease_held",
                "Whether this node may order engines",
                &self.lease_held,
            ),
            (
                "log_lines_not_written",
                "Log lines dropped or folded",
                &self.log_lines_not_written,
            ),
        ];
        for (name, help, gauge) in gauges {
            self.registry.register(name, help, gauge.clone());
        }
        self.registry.register(
            "repeats_left",
            "Repeats left in the tightest budget",
            self.repeats_left.clone(),
        );
        self.registry.register(
            "repeats_usable_part",
            "Part of its share of the budgets that this node may use",
            self.repeats_usable_part.clone(),
        );
    }
}
