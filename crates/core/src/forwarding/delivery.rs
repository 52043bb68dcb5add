//! What is done for a caller that reads its answer slowly.
//!
//! An engine that can't get rid of an answer cuts it off after some seconds, and keeps a place and memory for it until
//! then. So a node takes the answer from the engine and keeps it for the caller, within bounds:
//!
//! ```text
//! fill    = bytes kept for all callers of the node / node_bytes
//! allowed = patience * min(1, 2 * (1 - fill))      (all of it up to half full, none when full)
//! let go  if the caller has taken nothing for longer than allowed
//! stop    reading from the engine if connection_bytes or more are kept for this caller
//! ```

use crate::setting::FieldError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeliverySettings {
    /// Most bytes that are kept for one caller before no more is taken from its engine; holds whole answers of a few
    /// thousand tokens.
    pub connection_bytes: usize,
    /// Bytes kept for all callers from which one that takes nothing is let go at once; an eighth of what the smallest
    /// machines have.
    pub node_bytes: usize,
    /// Longest time for which a caller may take nothing, in milliseconds. Who reads at all takes something in a
    /// second; a lost packet is sent again within one or two.
    pub patience_millis: u64,
}

impl Default for DeliverySettings {
    fn default() -> Self {
        Self {
            connection_bytes: 256 * 1024,
            node_bytes: 16 * 1024 * 1024,
            patience_millis: 5_000,
        }
    }
}

/// What is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// More is taken from the engine.
    ReadOn,
    /// No more is taken until the caller has taken something.
    StopReading,
    /// The caller's connection is closed.
    LetGo,
}

impl DeliverySettings {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let least = [
            ("delivery.connection_bytes", self.connection_bytes as u64, 1_024),
            (
                "delivery.node_bytes",
                self.node_bytes as u64,
                self.connection_bytes as u64,
            ),
            ("delivery.patience_millis", self.patience_millis, 100),
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

    /// Decides for a caller that has taken nothing for `stalled_for`, with the bytes kept for it and for all.
    pub fn judge(&self, kept: usize, kept_for_all: usize, stalled_for: Duration) -> Delivery {
        if kept == 0 {
            return Delivery::ReadOn;
        }
        if stalled_for > self.allowed(kept_for_all) {
            return Delivery::LetGo;
        }
        if kept >= self.connection_bytes {
            return Delivery::StopReading;
        }
        Delivery::ReadOn
    }

    fn allowed(&self, kept_for_all: usize) -> Duration {
        let fill = kept_for_all as f64 / self.node_bytes as f64;
        let part = (2.0 * (1.0 - fill)).clamp(0.0, 1.0);
        Duration::from_millis(self.patience_millis).mul_f64(part)
    }
}
