//! Settings of the routing cost and their validation.

use crate::service_class::ServiceClass;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Settings of the cost in [`super::cost`]. Values without a unit in their name are dimensionless.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutingWeights {
    /// Cost of a second of waiting for prefill to start.
    pub prefill_wait: f64,
    /// Cost of a second of prefill of the uncached part of the prompt.
    pub prefill_compute: f64,
    /// Cost of a second of decoding, including the wait for a batch slot.
    pub decode_queue: f64,
    /// Cost of a second by which prefill of this request delays one decoding sequence.
    pub stall: f64,
    /// Cost of a second of KV cache transfer.
    pub transfer: f64,
    /// Cost of using an engine outside the gateway's zone, in seconds.
    pub other_zone_seconds: f64,
    /// Weight of cached prefixes, from zero (ignored) to one (all cached tokens count).
    pub prefix_overlap: f64,
    /// Cost of a delay for a batch request, relative to an interactive one.
    pub batch_waiting: f64,
    /// Cost of a delay for a standard request, relative to an interactive one.
    pub standard_waiting: f64,
    /// Half-life of the weight of a load report, in seconds. The mean over engines with the same role gets the rest of the weight.
    pub report_half_life_seconds: f64,
    /// Assumed delay between an engine's load and its report, in addition to the record's age, in seconds.
    pub report_lag_seconds: f64,
    /// Whether work sent since the last report is added to the reported queues.
    pub count_sent_work: bool,
    /// Whether reported speeds are corrected by observed delays.
    pub correct_speeds: bool,
    /// Maximum number of candidates that are all compared; larger sets are sampled.
    pub compare_all_up_to: usize,
    /// Fraction of a reported prefill queue that is scheduled before an interactive request.
    pub interactive_queue_ahead: f64,
    /// Fraction of a reported prefill queue that is scheduled before a standard request.
    pub standard_queue_ahead: f64,
    /// Assumed work of each other gateway since the last report, as a fraction of this gateway's own. Zero means that gateways
    /// choose independently, one that they make the same choices from the same reports.
    pub alike_choices: f64,
    /// Cost of a second by which prefill of other requests delays this request's decoding on a mixed engine.
    pub own_stall: f64,
    /// Number of sequences that fit into an engine's decode batch.
    pub batch_places: f64,
    /// Relative increase of the decode step time for each additional sequence.
    pub sequence_slowdown: f64,
    /// Setup time of one KV cache transfer, in seconds.
    pub transfer_setup_seconds: f64,
    /// Speed of KV cache transfers between engines, in tokens per second.
    pub transfer_tokens_per_second: f64,
    /// Prefill speed of engines that report none, in tokens per second.
    pub assumed_prefill_tokens_per_second: f64,
    /// Decode speed of engines that report none, in tokens per second.
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
    /// All invalid settings, with their allowed ranges; empty if there are none.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        for (field, value) in self.non_negative_settings() {
            if !(value.is_finite() && value >= 0.0) {
                errors.push(field_error(field, value, "a finite number, zero or more"));
            }
        }
        for (field, value) in self.positive_settings() {
            if !(value.is_finite() && value > 0.0) {
                errors.push(field_error(field, value, "a finite number above zero"));
            }
        }
        if self.prefix_overlap > 1.0 {
            errors.push(field_error(
                "routing.prefix_overlap",
                self.prefix_overlap,
                "zero to one",
            ));
        }
        errors
    }

    /// Cost of a delay for a class, relative to an interactive request.
    pub fn delay_cost(&self, class: ServiceClass) -> f64 {
        match class {
            ServiceClass::Interactive => 1.0,
            ServiceClass::Standard => self.standard_waiting,
            ServiceClass::Batch => self.batch_waiting,
        }
    }

    /// Fraction of a reported prefill queue that is scheduled before a request of a class. Reports don't break the queue down
    /// by class.
    pub fn queue_ahead_fraction(&self, class: ServiceClass) -> f64 {
        match class {
            ServiceClass::Interactive => self.interactive_queue_ahead,
            ServiceClass::Standard => self.standard_queue_ahead,
            ServiceClass::Batch => 1.0,
        }
    }

    fn non_negative_settings(&self) -> [(&'static str, f64); 14] {
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

fn field_error(field: &str, value: f64, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_string(),
        allowed: allowed.to_owned(),
    }
}
