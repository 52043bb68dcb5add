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

/// The same for a holder of the lease that has begun to gather a moment ago: a second is left for the store and the
/// platform where a report is due after 10 s, since a report that comes late counts as missing.
const WAITS_WHILE_GATHERING: f64 = 0.88;

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

    /// Longest wait, from a window's end, of a holder that has begun to gather a moment ago.
    pub fn gathering_patience(&self) -> Duration {
        Duration::from_secs_f64(self.due_after_seconds * WAITS_WHILE_GATHERING)
    }
}
