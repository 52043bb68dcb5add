//! What callers saw of each request.

use std::time::Duration;

/// Kind of a request; its route is named after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A series of events that may not be repeated.
    Once,
    /// A series of events that may be resumed.
    Again,
    /// A short call that may not be repeated.
    Application,
    /// A short call that may be repeated.
    Look,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Once, Self::Again, Self::Application, Self::Look];

    /// Path of its route.
    pub fn path(self) -> &'static str {
        match self {
            Self::Once => "/once/",
            Self::Again => "/again/",
            Self::Application => "/app/",
            Self::Look => "/look/",
        }
    }

    /// Whether it may run more than once.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Again | Self::Look)
    }

    /// Whether its answer is a series of events.
    pub fn has_events(self) -> bool {
        matches!(self, Self::Once | Self::Again)
    }
}

/// An answer as far as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenAnswer {
    /// Status.
    pub status: u16,
    /// Request that it names.
    pub request: Option<String>,
    /// Signature of its engine.
    pub signature: Option<String>,
    /// Body, as far as it came.
    pub body: String,
    /// Whether the body came to its end.
    pub whole: bool,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenCall {
    /// Its name.
    pub request: String,
    /// Its kind.
    pub kind: CallKind,
    /// Node that it was sent to.
    pub node: usize,
    /// When it was sent, from the start of the callers.
    pub sent_at: Duration,
    /// How long it took.
    pub took: Duration,
    /// What came back; absent where nothing did.
    pub answer: Option<SeenAnswer>,
}
