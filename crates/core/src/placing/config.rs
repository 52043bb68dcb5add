//! Settings that decide which nodes choose the engines of requests.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of request placement, from the section `placing`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacingSettings {
    /// Number of placers in a large fleet. Each placer reports its work to all other placers and evaluates every engine for each
    /// request that it places.
    pub placers: usize,
    /// Maximum number of nodes in a fleet without placers. In such a fleet, each node chooses engines for its own requests.
    pub alone_up_to: usize,
    /// Timeout for a placer's answer, in milliseconds. A round trip within a region takes 1 to 4 ms.
    pub answer_wait_millis: u64,
}

impl Default for PlacingSettings {
    fn default() -> Self {
        Self {
            placers: 8,
            alone_up_to: 16,
            answer_wait_millis: 40,
        }
    }
}

impl PlacingSettings {
    /// All invalid settings, with their allowed ranges; empty if there are none.
    pub fn validate(&self) -> Vec<FieldError> {
        let minimums = [
            ("placing.placers", self.placers as u64, 1),
            ("placing.alone_up_to", self.alone_up_to as u64, 1),
            ("placing.answer_wait_millis", self.answer_wait_millis, 1),
        ];
        minimums
            .into_iter()
            .filter(|(_, value, min)| value < min)
            .map(|(field, value, min)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("{min} or more"),
            })
            .collect()
    }

    /// Timeout for a placer's answer.
    pub fn answer_wait(&self) -> Duration {
        Duration::from_millis(self.answer_wait_millis)
    }
}
