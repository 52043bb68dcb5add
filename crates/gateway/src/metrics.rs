//! Counts, gauges and delays of a gateway in the OpenMetrics text; none names a tenant.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use shelfjunction_core::outcome::Outcome;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_protocol::tenant_rate_messages::ChargeOutcome;
use std::fmt;
use std::time::Duration;

const PREFIX: &str = "shelfjunction_gateway";

/// Upper bounds of the delay histograms, in seconds.
const DELAY_BOUNDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Labels of ended requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    outcome: &'static str,
    cause: String,
    class: &'static str,
}

/// Label of something refused before it was a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    cause: &'static str,
}

/// What became of a charge against a tenant's rate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ResultLabel {
    result: &'static str,
}

/// Everything that is measured.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabels, Counter>,
    bad_input: Family<CauseLabel, Counter>,
    tenant_rate_charges: Family<ResultLabel, Counter>,
    first_token: Histogram,
    whole_answer: Histogram,
    /// Output tokens delivered.
    pub(crate) tokens: Counter,
    /// Requests in flight.
    pub(crate) in_flight: Gauge,
    /// Dispatches to engines.
    pub(crate) dispatches: Counter,
    /// Retries that the budget granted.
    pub(crate) retries: Counter,
    /// Retries that the budget denied.
    pub(crate) retries_denied: Counter,
    /// Streams resumed at their offset.
    pub(crate) resumes: Counter,
    /// Claims asked for.
    pub(crate) claims: Counter,
    /// Claims that were met instead of made.
    pub(crate) claims_met: Counter,
    /// Generation of the bundle in force.
    pub(crate) generation: Gauge,
    /// Fleet records taken in.
    pub(crate) fleet_records: Counter,
    /// Times a controller's stream of records ended.
    pub(crate) fleet_reconnects: Counter,
    /// Calls to the platform that failed.
    pub(crate) platform_errors: Counter,
}

impl Metrics {
    /// Registers everything at zero.
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            bad_input: Family::default(),
            tenant_rate_charges: Family::default(),
            first_token: Histogram::new(DELAY_BOUNDS),
            whole_answer: Histogram::new(DELAY_BOUNDS),
            tokens: Counter::default(),
            in_flight: Gauge::default(),
            dispatches: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            resumes: Counter::default(),
            claims: Counter::default(),
            claims_met: Counter::default(),
            generation: Gauge::default(),
            fleet_records: Counter::default(),
            fleet_reconnects: Counter::default(),
            platform_errors: Counter::default(),
        };
        metrics.register_families();
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    /// The text that a scraper reads.
    pub(crate) fn render(&self) -> Result<String, fmt::Error> {
        let mut rendered = String::new();
        text::encode(&mut rendered, &self.registry)?;
        Ok(rendered)
    }

    /// Counts a request that ended.
    pub(crate) fn ended(&self, outcome: Option<&Outcome>, class: ServiceClass) {
        let labels = OutcomeLabels {
            outcome: outcome_name(outcome),
            cause: cause_name(outcome),
            class: class_name(class),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts input that was no request.
    pub(crate) fn bad_input(&self, cause: &'static str) {
        self.bad_input.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Counts a charge against a tenant's rate.
    pub(crate) fn tenant_rate_charged(&self, outcome: Option<&ChargeOutcome>) {
        let result = match outcome {
            Some(ChargeOutcome::Granted) => "granted",
            Some(ChargeOutcome::Denied { .. }) => "denied",
            _ => "no_answer",
        };
        self.tenant_rate_charges
            .get_or_create(&ResultLabel { result })
            .inc();
    }

    /// Notes the time to the first token.
    pub(crate) fn first_token(&self, delay: Duration) {
        self.first_token.observe(delay.as_secs_f64());
    }

    /// Notes the time to the last token.
    pub(crate) fn whole_answer(&self, delay: Duration) {
        self.whole_answer.observe(delay.as_secs_f64());
    }

    fn register_families(&mut self) {
        self.registry
            .register("requests", "Requests that ended", self.requests.clone());
        self.registry.register(
            "bad_input",
            "Input refused before it was a request",
            self.bad_input.clone(),
        );
        self.registry.register(
            "tenant_rate_charges",
            "Calls of tenants with a rate over all gateways that were charged at the owner of the tenant's bucket",
            self.tenant_rate_charges.clone(),
        );
        self.registry.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            self.first_token.clone(),
        );
        self.registry.register(
            "whole_answer_seconds",
            "Time from arrival to the last token",
            self.whole_answer.clone(),
        );
    }

    fn register_counters(&mut self) {
        let counters = [
            ("tokens", "Output tokens delivered", &self.tokens),
            ("dispatches", "Dispatches to engines", &self.dispatches),
            ("retries", "Retries granted", &self.retries),
            (
                "retries_denied",
                "Retries that the budget denied",
                &self.retries_denied,
            ),
            ("resumes", "Streams resumed at their offset", &self.resumes),
            ("claims", "Claims asked for", &self.claims),
            (
                "claims_met",
                "Claims that another request had made",
                &self.claims_met,
            ),
            ("fleet_records", "Fleet records taken in", &self.fleet_records),
            (
                "fleet_reconnects",
                "Ends of a controller's stream of records",
                &self.fleet_reconnects,
            ),
            (
                "platform_errors",
                "Calls to the platform that failed",
                &self.platform_errors,
            ),
        ];
        for (name, help, counter) in counters {
            self.registry.register(name, help, counter.clone());
        }
    }

    fn register_gauges(&mut self) {
        self.registry
            .register("in_flight", "Requests in flight", self.in_flight.clone());
        self.registry.register(
            "bundle_generation",
            "Generation of the bundle in force",
            self.generation.clone(),
        );
    }
}

/// Name of an outcome; absent: the caller went away while the request ran.
pub(crate) fn outcome_name(outcome: Option<&Outcome>) -> &'static str {
    match outcome {
        None => "detached",
        Some(Outcome::Completed) => "completed",
        Some(Outcome::NotRun(_)) => "not_run",
        Some(Outcome::Failed(_)) => "failed",
        Some(Outcome::Unknown(_)) => "unknown",
    }
}

/// Name of the cause of an outcome; empty where there is none.
pub(crate) fn cause_name(outcome: Option<&Outcome>) -> String {
    let name = match outcome {
        Some(Outcome::NotRun(refusal)) => serde_json::to_value(refusal.reason),
        Some(Outcome::Failed(failure) | Outcome::Unknown(failure)) => serde_json::to_value(failure),
        _ => return String::new(),
    };
    let name = name.ok().and_then(|value| value.as_str().map(str::to_owned));
    name.unwrap_or_default()
}

fn class_name(class: ServiceClass) -> &'static str {
    match class {
        ServiceClass::Interactive => "interactive",
        ServiceClass::Standard => "standard",
        ServiceClass::Batch => "batch",
    }
}
