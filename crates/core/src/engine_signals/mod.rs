//! Signals in the headers of engine responses: drain, backoff and rate limit.

mod register;

pub use register::{MAX_BACKOFF, SignalRegister};

use crate::rate_limit::ResponseLimit;
use std::time::Duration;

/// Signals in the headers of one response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSignals {
    /// Rate limit of the engine.
    pub rate_limit: ResponseLimit,
    /// Whether the engine is draining: it finishes its current requests and accepts no new ones.
    pub draining: bool,
    /// Backoff that the engine asks this node for.
    pub backoff: ResponseBackoff,
    /// Name of a header that the adapter does not recognize, so that an unsupported signal can be reported.
    pub unknown_field: Option<String>,
}

/// Backoff in a response: the time for which the node should send no requests to the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResponseBackoff {
    /// The response contains no backoff.
    #[default]
    Absent,
    /// Backoff of the given duration.
    Requested(Duration),
    /// Header name and value that cannot be parsed as a duration.
    Invalid(String),
}

impl EngineSignals {
    /// Merges the signals of a later response on the same connection.
    pub fn merge(&mut self, later: Self) {
        self.rate_limit = later.rate_limit;
        self.draining |= later.draining;
        if later.backoff != ResponseBackoff::Absent {
            self.backoff = later.backoff;
        }
        self.unknown_field = later.unknown_field.or(self.unknown_field.take());
    }
}
