//! Messages between nodes about rate limits and slots.

use super::limit::RateLimit;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// A node's notice of the rate limit of one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Handle of the engine; a restarted engine has a new handle.
    pub engine: SubjectHandle,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Milliseconds since the limit was last confirmed.
    pub age_millis: u32,
    /// Milliseconds until a slot may be free, as far as the sender knows.
    pub slot_wait_millis: u32,
}

/// Request for a slot, sent to the owner of the engine's slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Random number that identifies the request.
    pub number: u64,
    /// The engine's limit as known to the sender.
    pub notice: LimitNotice,
    /// Maximum wait for the slot, in milliseconds.
    pub max_wait_millis: u32,
}

/// Outcome of a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// A slot is reserved.
    Granted {
        /// Milliseconds until the slot.
        wait_millis: u32,
    },
    /// No slot is free within the maximum wait.
    Denied {
        /// Milliseconds until the next free slot.
        wait_millis: u32,
    },
    /// The engine no longer has a limit.
    NotLimited {
        /// Milliseconds since the end of the limit was confirmed.
        age_millis: u32,
    },
    /// Another node owns the engine's slots.
    NotOwner {
        /// The owner, as far as the sender knows.
        owner: SubjectHandle,
    },
}

/// Response to the slot request with the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotResponse {
    /// Number of the slot request.
    pub number: u64,
    /// Whether a slot is granted, and when.
    pub outcome: SlotOutcome,
}
