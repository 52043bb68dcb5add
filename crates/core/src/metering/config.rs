//! When usage is counted and reported.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of metering.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeteringSettings {
    /// Length of a window.
    pub window_seconds: f64,
    /// Time from a window's end until its report must have been made.
    pub due_after_seconds: f64,
}

/// Part of the time until a report is due for which late nodes are waited for; the rest is for a store or a platform
/// that has to be asked again.
const WAITS_FOR_NODES: f64 = 0.6;

/// Shortest and longest window and time until a report is due.
const SECONDS: std::ops::RangeInclusive<f64> = 1.0..=86_400.0;

impl MeteringSettings {
    /// Every wrong field.
    pub fn validate(&self) -> Vec<FieldError> {
        let fields = [
            ("metering.window_seconds", self.window_seconds),
            ("metering.due_after_seconds", self.due_after_seconds),
        ];
        let wrong = fields.into_iter().filter(|(_, value)| !SECONDS.contains(value));
        wrong
            .map(|(field, value)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: "1 to 86400 seconds".to_owned(),
            })
            .collect()
    }

    /// Length of a window.
    pub fn window(&self) -> Duration {
        Duration::from_secs_f64(self.window_seconds)
    }

    /// Longest wait, from a window's end, for nodes that have not told everything.
    pub fn patience(&self) -> Duration {
        Duration::from_secs_f64(self.due_after_seconds * WAITS_FOR_NODES)
    }
}
