//! What one node believes of an engine's limit.

use super::limit::RateLimit;
use crate::time::MonotonicTime;
use std::time::Duration;

/// What the head of an engine's answer says of a limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResponseLimit {
    /// Nothing: the engine has none, or none any more.
    #[default]
    Absent,
    /// The engine names one.
    Valid(RateLimit),
    /// Field and value that are no rate, which says nothing of whether there is a limit.
    Invalid(String),
}

/// What an answer or a notice has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Nothing that others have to know.
    Unchanged,
    /// The limit, or whether there is one.
    Changed,
    /// The engine names something that is no rate, for the first time since it named one or none.
    Invalid,
}

/// Time for which others are told that a limit has ended.
const ENDED_TOLD: Duration = Duration::from_secs(10);

/// Longest wait for a slot that is believed without asking again: the limit, or the part of it that the owner has, may be
/// another by then.
const BELIEVED_FOR: Duration = Duration::from_secs(5);

/// What is believed of one start of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitEstimate {
    limit: Option<RateLimit>,
    /// When that was last known to hold; absent where nothing was ever heard.
    as_of: Option<MonotonicTime>,
    /// When an answer to this node named a limit last.
    named_here_at: Option<MonotonicTime>,
    is_unreadable: bool,
    /// The first slot that may be free; absent where nobody has said.
    next_slot: Option<MonotonicTime>,
}

impl LimitEstimate {
    /// The limit, if there is one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Takes what an answer says to a request sent at `sent_at`.
    pub fn on_answer(
        &mut self,
        said: &ResponseLimit,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> LimitChange {
        let was_unreadable = std::mem::take(&mut self.is_unreadable);
        match said {
            ResponseLimit::Valid(limit) => {
                self.named_here_at = Some(now);
                self.take(Some(*limit), now)
            }
            // Answers overtake each other: what was sent for before the limit was last heard may be older than it.
            ResponseLimit::Absent => self.take(None, sent_at),
            ResponseLimit::Invalid(_) => {
                self.is_unreadable = true;
                if was_unreadable {
                    LimitChange::Unchanged
                } else {
                    LimitChange::Invalid
                }
            }
        }
    }

    /// Takes another node's notice of what held at an instant.
    pub fn on_notice(&mut self, limit: Option<RateLimit>, as_of: MonotonicTime) -> LimitChange {
        self.take(limit, as_of)
    }

    /// The later statement holds. Of two of the same age the one that names a limit does.
    fn take(&mut self, limit: Option<RateLimit>, as_of: MonotonicTime) -> LimitChange {
        let is_newer = self
            .as_of
            .is_none_or(|known| as_of > known || (as_of == known && limit.is_some()));
        if !is_newer {
            return LimitChange::Unchanged;
        }
        // That an engine which never named any limit has none is no statement.
        if self.limit.is_none() && limit.is_none() {
            return LimitChange::Unchanged;
        }
        self.as_of = Some(as_of);
        let before = std::mem::replace(&mut self.limit, limit);
        if before == limit {
            return LimitChange::Unchanged;
        }
        self.next_slot = None;
        LimitChange::Changed
    }

    /// What others are told, and its age; absent where there is nothing to tell.
    pub fn advertised(&self, now: MonotonicTime) -> Option<(Option<RateLimit>, Duration)> {
        let age = now.since(self.as_of?);
        (self.limit.is_some() || age < ENDED_TOLD).then_some((self.limit, age))
    }

    /// Whether an answer to this node named the limit within a time.
    pub fn is_confirmed_locally(&self, within: Duration, now: MonotonicTime) -> bool {
        self.named_here_at.is_some_and(|at| now.since(at) < within)
    }

    /// Notes that no slot is free before a time has passed.
    pub fn record_slot_wait(&mut self, wait: Duration, now: MonotonicTime) {
        self.next_slot = Some(now + wait.min(BELIEVED_FOR));
    }

    /// Least time until a request may be sent there; zero where there is no limit, or nobody knows better.
    pub fn slot_wait(&self, now: MonotonicTime) -> Duration {
        let next = self.next_slot.filter(|_| self.limit.is_some());
        next.map_or(Duration::ZERO, |next| next.since(now))
    }
}
