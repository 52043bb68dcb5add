//! Times of orders.

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Times of orders, in milliseconds on one process's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderTimings {
    /// Pause after a table call that failed.
    pub table_retry_millis: u64,
    /// Pause before an order is sent again to an engine that was busy, out of reach, or whose answer was lost.
    pub send_retry_millis: u64,
    /// Pause after an engine has said that it can't carry an order out.
    pub rejected_pause_millis: u64,
}

impl Default for OrderTimings {
    fn default() -> Self {
        Self {
            table_retry_millis: 250,
            send_retry_millis: 500,
            rejected_pause_millis: 10_000,
        }
    }
}

impl OrderTimings {
    /// Every wrong field.
    pub fn validate(&self) -> Vec<FieldError> {
        let fields = [
            ("orders.table_retry_millis", self.table_retry_millis),
            ("orders.send_retry_millis", self.send_retry_millis),
            ("orders.rejected_pause_millis", self.rejected_pause_millis),
        ];
        fields
            .into_iter()
            .filter(|(_, millis)| *millis == 0)
            .map(|(field, millis)| FieldError {
                field: field.to_owned(),
                value: millis.to_string(),
                allowed: "above 0".to_owned(),
            })
            .collect()
    }

    pub(super) fn table_retry(&self) -> Duration {
        Duration::from_millis(self.table_retry_millis)
    }

    pub(super) fn send_retry(&self) -> Duration {
        Duration::from_millis(self.send_retry_millis)
    }

    pub(super) fn rejected_pause(&self) -> Duration {
        Duration::from_millis(self.rejected_pause_millis)
    }
}
