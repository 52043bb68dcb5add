//! Settings of admission.

use crate::service_class::ServiceClass;
use crate::setting::FieldError;
use serde::{Deserialize, Serialize};

/// Bounds and windows of admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionConfig {
    /// Seconds of its rate that a tenant may spend at once.
    pub burst_seconds: f64,
    /// Most requests of one tenant that wait for one model.
    pub queued_per_tenant: usize,
    /// Most requests of all tenants that wait for one model.
    pub queued_per_model: usize,
    /// Work that may be at the engines before requests wait here instead, in seconds of their speed.
    pub window_seconds: f64,
    /// Backlog at the engines below which a gateway may go beyond its part of the window, in seconds.
    pub borrow_below_seconds: f64,
    /// Requests that may be at the engines before others wait here instead, relative to the places in their batches.
    pub window_places: f64,
    /// Part of windows and limits that standard requests may fill, from zero to one.
    pub standard_part: f64,
    /// Part of windows and limits that batch requests may fill, from zero to one.
    pub batch_part: f64,
    /// Waiting after which a request gets its turn past the classes before it, in seconds.
    pub aging_seconds: f64,
    /// Shortest time to come back after a refusal, in seconds.
    pub shortest_return_seconds: f64,
    /// Longest time to come back after a refusal, in seconds.
    pub longest_return_seconds: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            burst_seconds: 2.0,
            queued_per_tenant: 256,
            queued_per_model: 2_048,
            window_seconds: 2.0,
            borrow_below_seconds: 0.5,
            window_places: 1.0,
            standard_part: 0.9,
            batch_part: 0.7,
            aging_seconds: 10.0,
            shortest_return_seconds: 0.5,
            longest_return_seconds: 60.0,
        }
    }
}

impl AdmissionConfig {
    /// Every wrong setting, with what is allowed.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        for (field, value) in self.positive_settings() {
            if !(value.is_finite() && value > 0.0) {
                errors.push(wrong(field, value.to_string(), "a finite number above zero"));
            }
        }
        for (field, value) in [
            ("admission.standard_part", self.standard_part),
            ("admission.batch_part", self.batch_part),
        ] {
            if !(value > 0.0 && value <= 1.0) {
                errors.push(wrong(field, value.to_string(), "above zero, up to one"));
            }
        }
        if self.queued_per_tenant == 0 || self.queued_per_tenant > self.queued_per_model {
            let allowed = "one up to admission.queued_per_model";
            let value = self.queued_per_tenant.to_string();
            errors.push(wrong("admission.queued_per_tenant", value, allowed));
        }
        errors
    }

    /// Part of windows and limits that a class may fill.
    pub fn part(&self, class: ServiceClass) -> f64 {
        match class {
            ServiceClass::Interactive => 1.0,
            ServiceClass::Standard => self.standard_part,
            ServiceClass::Batch => self.batch_part,
        }
    }

    fn positive_settings(&self) -> [(&'static str, f64); 7] {
        [
            ("admission.window_places", self.window_places),
            ("admission.burst_seconds", self.burst_seconds),
            ("admission.window_seconds", self.window_seconds),
            ("admission.borrow_below_seconds", self.borrow_below_seconds),
            ("admission.aging_seconds", self.aging_seconds),
            ("admission.shortest_return_seconds", self.shortest_return_seconds),
            ("admission.longest_return_seconds", self.longest_return_seconds),
        ]
    }
}

fn wrong(field: &str, value: String, allowed: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value,
        allowed: allowed.to_owned(),
    }
}
