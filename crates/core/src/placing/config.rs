//! Settings of the placing.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the placing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacingSettings {
    /// Nodes that choose engines for all in a large fleet. Each tells every other of its work, and looks at every
    /// engine once for each request that it places.
    pub placers: usize,
    /// Largest fleet in which each node chooses for its own requests: all hear of each other's work in time.
    pub alone_up_to: usize,
    /// Longest wait for a placer's answer, in milliseconds; a round trip takes 1 to 4.
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
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let least = [
            ("placing.placers", self.placers as u64, 1),
            ("placing.alone_up_to", self.alone_up_to as u64, 1),
            ("placing.answer_wait_millis", self.answer_wait_millis, 1),
        ];
        least
            .into_iter()
            .filter(|(_, value, least)| value < least)
            .map(|(field, value, least)| FieldError {
                field: field.to_owned(),
                value: value.to_string(),
                allowed: format!("{least} or more"),
            })
            .collect()
    }

    /// Longest wait for a placer's answer.
    pub fn answer_wait(&self) -> Duration {
        Duration::from_millis(self.answer_wait_millis)
    }
}
