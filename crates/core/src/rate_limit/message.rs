//! What nodes tell and ask each other about limits.

use super::limit::RateLimit;
use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// A node's notice of one engine's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// The start of the engine.
    pub engine: SubjectHandle,
    /// The limit; absent where it has ended.
    pub limit: Option<RateLimit>,
    /// Milliseconds since that was known to hold.
    pub age_millis: u32,
    /// Milliseconds until the first slot that may be free, as far as the sender knows.
    pub slot_wait_millis: u32,
}

/// Asks the owner of an engine for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Number that the sender has drawn for the question.
    pub number: u64,
    /// What the sender knows of the engine's limit.
    pub notice: LimitNotice,
    /// Longest wait for the slot, in milliseconds.
    pub max_wait_millis: u32,
}

/// What is answered to a [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// The request may be sent after so many milliseconds.
    Granted {
        /// Milliseconds.
        wait_millis: u32,
    },
    /// No slot comes in time.
    Denied {
        /// Milliseconds until the next one.
        wait_millis: u32,
    },
    /// The limit has ended.
    NotLimited {
        /// Milliseconds since that was known to hold.
        age_millis: u32,
    },
    /// Another node keeps the engine's slots.
    NotOwner {
        /// The one that does, as far as the sender knows.
        owner: SubjectHandle,
    },
}

/// The answer to the question with the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotResponse {
    /// Number of the question.
    pub number: u64,
    /// The answer.
    pub outcome: SlotOutcome,
}
