//! Settings of the routing cost.

use crate::service_class::ServiceClass;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Weights of the cost in [`super::cost`]; each is dimensionless unless it says otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingWeights {
    /// Worth of a second until the prompt's computation begins.
    pub prefill_wait: f64,
    /// Worth of a second of computing the part of the prompt that is not cached.
    pub prefill_compute: f64,
    /// Worth of a second of decode work that stands before or beside the request.
    pub decode_queue: f64,
    /// Worth of a second by which computing the prompt delays the tokens of one decoding sequence.
    pub stall: f64,
    /// Worth of a second that moving the KV cache takes.
    pub transfer: f64,
    /// Cost of leaving the gateway's zone, in seconds.
    pub other_zone_seconds: f64,
    /// How much a prefix that is held counts, from zero (ignored) to one (in full).
    pub prefix_overlap: f64,
    /// Worth of waiting for a batch request, relative to an interactive one.
    pub batch_waiting: f64,
    /// Worth of waiting for a standard request, relative to an interactive one.
    pub standard_waiting: f64,
    /// Age at which a load report counts half, in seconds; the rest is the mean of comparable engines.
    pub report_half_life_seconds: f64,
    /// Delay between an engine's load and its report, assumed beyond the record's own age, in seconds.
    pub report_lag_seconds: f64,
    /// Whether work sent since the last report is added to it.
    pub count_sent_work: bool,
    /// Whether observed delays correct an engine's reported speeds.
    pub correct_speeds: bool,
    /// Candidate sets up to this size are compared whole; larger ones by two random members and prefix holders.
    pub compare_all_up_to: usize,
    /// Part of a reported prefill queue that goes before an interactive request.
    pub interactive_queue_ahead: f64,
    /// Part of a reported prefill queue that goes before a standard request.
    pub standard_queue_ahead: f64,
    /// How alike the choices of gateways are that see the same reports, from zero to one; own work sent since a
    /// report stands for as much of every other gateway.
    pub alike_choices: f64,
    /// Worth of a second by which prompts slow the request's own tokens on a mixed engine.
    pub own_stall: f64,
    /// Sequences that fit into an engine's batch.
    pub batch_places: f64,
    /// Part by which each further sequence lengthens a decode step.
    pub sequence_slowdown: f64,
    /// Setup of one KV transfer, in seconds.
    pub transfer_setup_seconds: f64,
    /// Tokens of KV cache moved per second between engines.
    pub transfer_tokens_per_second: f64,
    /// Prefill speed assumed where none is reported, in tokens per second.
    pub assumed_prefill_tokens_per_second: f64,
    /// Decode speed assumed where none is reported, in tokens per second.
    pub assumed_decode_tokens_per_second: f64,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            prefill_wait: 1.0,
            prefill_compute: 1.0,
            decode_queue: 1.0,
            stall: 0.1,
            transfer: 1.0,
            other_zone_seconds: 0.002,
            prefix_overlap: 1.0,
            batch_waiting: 0.5,
            standard_waiting: 0.75,
            report_half_life_seconds: 6.0,
            report_lag_seconds: 0.2,
            count_sent_work: true,
            correct_speeds: true,
            compare_all_up_to: 16,
            interactive_queue_ahead: 0.2,
            standard_queue_ahead: 0.4,
            alike_choices: 1.0,
            own_stall: 0.5,
            batch_places: 32.0,
            sequence_slowdown: 0.03,
            transfer_setup_seconds: 0.005,
            transfer_tokens_per_second: 200_000.0,
            assumed_prefill_tokens_per_second: 8_000.0,
            assumed_decode_tokens_per_second: 1_000.0,
        }
    }
}

impl RoutingWeights {
    /// Every wrong setting, with what is allowed.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        for (field, value) in self.weights() {
            if !(value.is_finite() && value >= 0.0) {
                errors.push(wrong(field, value, "a finite number, zero or more"));
            }
        }
        for (field, value) in self.positive_settings() {
            if !(value.is_finite() && value > 0.0) {
                errors.push(wrong(field, value, "a finite number above zero"));
            }
        }
        if self.prefix_overlap > 1.0 {
            errors.push(wrong(
                "routing.prefix_overlap",
                self.prefix_overlap,
                "zero to one",
            ));
        }
        errors
    }

    /// Worth of a second of waiting for a class, relative to an interactive request.
    pub fn waiting(&self, class: ServiceClass) -> f64 {
        match class {
            ServiceClass::Interactive => 1.0,
            ServiceClass::Standard => self.standard_waiting,
            ServiceClass::Batch => self.batch_waiting,
        }
    }

    /// Part of a reported prefill queue that goes before a request of a class; reports do not tell it by class.
    pub fn queue_ahead(&self, class: ServiceClass) -> f64 {
        match class {
            ServiceClass::Interactive => self.interactive_queue_ahead,
            ServiceClass::Standard => self.standard_queue_ahead,
            ServiceClass::Batch => 1.0,
        }
    }

    fn weights(&self) -> [(&'static str, f64); 14] {
        [
            ("routing.prefill_wait", self.prefill_wait),
            ("routing.prefill_compute", self.prefill_compute),
            ("routing.decode_queue", self.decode_queue),
            ("routing.stall", self.stall),
            ("routing.transfer", self.transfer),
            ("routing.other_zone_seconds", self.other_zone_seconds),
            ("routing.batch_waiting", self.batch_waiting),
            ("routing.standard_waiting", self.standard_waiting),
            ("routing.report_lag_seconds", self.report_lag_seconds),
            ("routing.interactive_queue_ahead", self.interactive_queue_ahead),
            ("routing.standard_queue_ahead", self.standard_queue_ahead),
            ("routing.own_stall", self.own_stall),
            ("routing.sequence_slowdown", self.sequence_slowdown),
            ("routing.transfer_setup_seconds", self.transfer_setup_seconds),
        ]
    }

    fn positive_settings(&self) -> [(&'static str, f64); 5] {
        [
            ("routing.batch_places", self.batch_places),
            ("routing.report_half_life_seconds", self.report_half_life_seconds),
            (
                "routing.transfer_tokens_per_second",
                self.transfer_tokens_per_second,
            ),
            (
                "routing.assumed_prefill_tokens_per_second",
                self.assumed_prefill_tokens_per_second,
            ),
            (
                "routing.assumed_decode_tokens_per_second",
                self.assumed_decode_tokens_per_second,
            ),
        ]
    }
}

fn wrong(field: &str, value: f64, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
