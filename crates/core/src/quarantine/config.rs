//! Settings of the quarantine.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuarantineSettings {
    /// Whether requests that crash engines are refused at all.
    pub enabled: bool,
    /// Engines that may crash under one request, or one part of prompts, before it is refused; from the last but one on it runs alone.
    pub crashes: usize,
    /// Engines that may crash under a part of prompts that engines have answered before; from the last but one on requests with it
    /// run alone.
    pub answered_part_crashes: usize,
    /// Time for which a crash counts against a request, in seconds. Afterwards the request may run once more, alone.
    pub lasts_seconds: f64,
    /// Most requests and parts that are remembered, of some 200 bytes each; those with the fewest and oldest crashes give way.
    pub most_requests: usize,
    /// Time for which a node waits, before it lets a suspect run, for the report of another node that runs one, in
    /// milliseconds: several times the way between two nodes.
    pub trial_wait_millis: u64,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            enabled: true,
            crashes: 3,
            answered_part_crashes: 5,
            lasts_seconds: 600.0,
            most_requests: 1_024,
            trial_wait_millis: 30,
        }
    }
}

/// Bounds of the time for which a crash counts, in seconds: a report between nodes has 32 bits for it, in milliseconds.
const LASTS_SECONDS: std::ops::RangeInclusive<f64> = 1.0..=86_400.0;

/// Most crashes that are kept of one request; a report between nodes names each.
pub const MAX_CRASHES: usize = 16;

impl QuarantineSettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
        let mut check = |field: &str, holds: bool, value: String, allowed: String| {
            if !holds {
                errors.push(FieldError {
                    field: format!("quarantine.{field}"),
                    value,
                    allowed,
                });
            }
        };
        check(
            "crashes",
            (1..=MAX_CRASHES).contains(&self.crashes),
            self.crashes.to_string(),
            format!("1 to {MAX_CRASHES}"),
        );
        check(
            "answered_part_crashes",
            (self.crashes..=MAX_CRASHES).contains(&self.answered_part_crashes),
            self.answered_part_crashes.to_string(),
            format!("crashes to {MAX_CRASHES}"),
        );
        check(
            "lasts_seconds",
            LASTS_SECONDS.contains(&self.lasts_seconds),
            self.lasts_seconds.to_string(),
            "1 to 86400 seconds".to_owned(),
        );
        check(
            "most_requests",
            self.most_requests > 0,
            self.most_requests.to_string(),
            "1 or more".to_owned(),
        );
        errors
    }

    /// Time for which a crash counts against a request.
    pub fn lasts(&self) -> Duration {
        Duration::from_secs_f64(self.lasts_seconds)
    }

    /// Time for which a node waits for the report of another trial.
    pub fn trial_wait(&self) -> Duration {
        Duration::from_millis(self.trial_wait_millis)
    }
}
