//! What engines say of themselves in the heads of their answers: that they drain, and for how long they want nothing more.

mod register;

pub use register::{MAX_BACKOFF, SignalRegister};

use crate::rate_limit::ResponseLimit;
use std::time::Duration;

/// What the head of one answer says of its engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineSignals {
    /// Its rate limit.
    pub rate_limit: ResponseLimit,
    /// Whether it drains: it is about to end and takes no new work.
    pub draining: bool,
    /// Whether it wants no requests from this node for a time.
    pub backoff: AnsweredBackoff,
    /// Name of a field that the adapter neither reads nor passes on knowingly: it may say something that nobody acts on.
    pub unknown_field: Option<String>,
}

/// What a refusal says of the time for which its engine wants no requests from the node that it refused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum AnsweredBackoff {
    /// Nothing.
    #[default]
    Absent,
    /// It wants none for so long.
    For(Duration),
    /// Field and value that are no time.
    Unreadable(String),
}

impl EngineSignals {
    /// Adds what a later head of the same connection says.
    pub fn merge(&mut self, later: Self) {
        self.rate_limit = later.rate_limit;
        self.draining |= later.draining;
        if later.backoff != AnsweredBackoff::Absent {
            self.backoff = later.backoff;
        }
        self.unknown_field = later.unknown_field.or(self.unknown_field.take());
    }
}
