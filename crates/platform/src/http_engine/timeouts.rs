//! How long the client waits for an engine.

use serde::{Deserialize, Serialize};
use shelfjunction_core::setting::FieldError;
use std::time::Duration;

/// Longest wait that may be set, in milliseconds: one hour.
const MAXIMUM_MILLIS: u64 = 3_600_000;

/// Longest waits, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineTimeouts {
    /// To open a connection.
    pub connect_millis: u64,
    /// To send a call.
    pub send_millis: u64,
    /// From a call to the head of its answer.
    pub response_millis: u64,
    /// Between two parts of an answer, the first included.
    pub between_parts_millis: u64,
    /// For a whole control call.
    pub control_millis: u64,
}

impl Default for EngineTimeouts {
    fn default() -> Self {
        Self {
            connect_millis: 500,
            send_millis: 5_000,
            response_millis: 5_000,
            between_parts_millis: 30_000,
            control_millis: 2_000,
        }
    }
}

impl EngineTimeouts {
    /// Reports every field out of range.
    pub fn validate(&self) -> Vec<FieldError> {
        let fields = [
            ("connect_millis", self.connect_millis),
            ("send_millis", self.send_millis),
            ("response_millis", self.response_millis),
            ("between_parts_millis", self.between_parts_millis),
            ("control_millis", self.control_millis),
        ];
        fields
            .into_iter()
            .filter(|(_, millis)| !(1..=MAXIMUM_MILLIS).contains(millis))
            .map(|(field, millis)| FieldError {
                field: format!("engine_timeouts.{field}"),
                value: millis.to_string(),
                allowed: format!("1 to {MAXIMUM_MILLIS} milliseconds"),
            })
            .collect()
    }

    /// To open a connection.
    pub fn connect(&self) -> Duration {
        Duration::from_millis(self.connect_millis)
    }

    /// To send a call.
    pub fn send(&self) -> Duration {
        Duration::from_millis(self.send_millis)
    }

    /// From a call to the head of its answer.
    pub fn response(&self) -> Duration {
        Duration::from_millis(self.response_millis)
    }

    /// Between two parts of an answer.
    pub fn between_parts(&self) -> Duration {
        Duration::from_millis(self.between_parts_millis)
    }

    /// For a whole control call.
    pub fn control(&self) -> Duration {
        Duration::from_millis(self.control_millis)
    }
}
