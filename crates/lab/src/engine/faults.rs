//! Faults that a test switches on by `POST /faults`; each post replaces all of them.

use serde::{Deserialize, Serialize};
use shelfjunction_engine_model::EngineFaults;

/// Body of `POST /faults`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineServerFaults {
    /// Faults inside the engine.
    pub model: EngineFaults,
    /// End the engine's process now and start the next, empty.
    pub crash_now: bool,
    /// Stop everything for this time now, in milliseconds.
    pub freeze_millis: u64,
    /// Wait before the head of each answer to a call, in milliseconds.
    pub first_byte_delay_millis: u64,
    /// Break the connection of an answer after this many parts.
    pub break_after_parts: Option<u32>,
}
