//! Faults inside an engine.

use serde::{Deserialize, Serialize};

/// Faults that can be switched on and off while the engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Each step takes this many times as long.
    pub slow_factor: f64,
    /// The reported queues are this many times the true ones.
    pub lie_factor: f64,
    /// Part of all cache events that is lost; absent: as configured.
    pub event_gap_probability: Option<f64>,
    /// The engine ends in the middle of its next change.
    pub crash_in_change: bool,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            lie_factor: 1.0,
            event_gap_probability: None,
            crash_in_change: false,
        }
    }
}
