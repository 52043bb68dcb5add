//! A node's estimate of the rate limit of an engine.

use super::limit::RateLimit;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Rate limit in the headers of an engine's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum ResponseLimit {
    /// The response names no limit.
    #[default]
    Absent,
    /// The response names a limit.
    Valid(RateLimit),
    /// Header and value that can't be parsed as a rate; the limit remains unknown.
    Invalid(String),
}

/// Effect of a response or a notice on the estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The limit is the same as before.
    Unchanged,
    /// The limit has a new value, or has been added or removed.
    Changed,
    /// The response has an invalid value, and the response before it did not.
    Invalid,
}

/// Time for which notices report that a limit has ended.
const ENDED_NOTICE_DURATION: Duration = Duration::from_secs(10);

/// Maximum time for which a node remembers that no slot is free. After that it asks the owner again, because the limit or the
/// owner's share of it may have changed.
const MAX_REMEMBERED_WAIT: Duration = Duration::from_secs(5);

/// Estimated rate limit of one start of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitEstimate {
    limit: Option<RateLimit>,
    /// Time at which `limit` was last confirmed; `None` if no limit was ever named.
    as_of: Option<MonotonicTime>,
    /// Time at which a response to this node last named a limit.
    confirmed_locally_at: Option<MonotonicTime>,
    /// Whether the last response had an invalid value.
    is_invalid: bool,
    /// Earliest time at which a slot may be free; `None` if unknown.
    next_slot: Option<MonotonicTime>,
}

impl LimitEstimate {
    /// The current limit; `None` if the engine is not known to have one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Updates the estimate from the response to a request sent at `sent_at`.
    pub fn on_answer(
        &mut self,
        response: &ResponseLimit,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> LimitChange {
        let was_invalid = std::mem::take(&mut self.is_invalid);
        match response {
            ResponseLimit::Valid(limit) => {
                self.confirmed_locally_at = Some(now);
                self.update(Some(*limit), now)
            }
            // Responses may arrive out of order, so the time of the request is used, not that of the response.
            ResponseLimit::Absent => self.update(None, sent_at),
            ResponseLimit::Invalid(_) => {
                self.is_invalid = true;
                if was_invalid {
                    LimitChange::Unchanged
                } else {
                    LimitChange::Invalid
                }
            }
        }
    }

    /// Updates the estimate from a peer's notice of the limit at the time `as_of`.
    pub fn on_notice(&mut self, limit: Option<RateLimit>, as_of: MonotonicTime) -> LimitChange {
        self.update(limit, as_of)
    }

    /// Replaces the limit if the new value is more recent. If both are equally recent, a value that names a limit takes precedence.
    fn update(&mut self, limit: Option<RateLimit>, as_of: MonotonicTime) -> LimitChange {
        let is_newer = self
            .as_of
            .is_none_or(|known| as_of > known || (as_of == known && limit.is_some()));
        if !is_newer {
            return LimitChange::Unchanged;
        }
        // The engine had no known limit and still names none.
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

    /// Limit and its age for notices to peers; `None` if there is nothing to report.
    pub fn advertised(&self, now: MonotonicTime) -> Option<(Option<RateLimit>, Duration)> {
        let age = now.since(self.as_of?);
        (self.limit.is_some() || age < ENDED_NOTICE_DURATION).then_some((self.limit, age))
    }

    /// Whether a response to this node has named the limit at most `max_age` ago.
    pub fn is_confirmed_locally(&self, max_age: Duration, now: MonotonicTime) -> bool {
        self.confirmed_locally_at
            .is_some_and(|at| now.since(at) < max_age)
    }

    /// Records that no slot is free until `wait` has passed.
    pub fn record_slot_wait(&mut self, wait: Duration, now: MonotonicTime) {
        self.next_slot = Some(now + wait.min(MAX_REMEMBERED_WAIT));
    }

    /// Minimum time until a request may be sent to the engine; zero if there is no limit or the time is unknown.
    pub fn slot_wait(&self, now: MonotonicTime) -> Duration {
        let next = self.next_slot.filter(|_| self.limit.is_some());
        next.map_or(Duration::ZERO, |next| next.since(now))
    }
}
