//! Decides whether a request is taken, and keeps what was expected of it.

use super::driver::Driver;
use super::routing;
use shelfjunction_core::outcome::{Refusal, RefusalReason};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::routing::pool::{Admission, AdmissionDecision, LATE_RANK, Timing, rank_of};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Rank at engines of what can't be in time, behind every other; engines know ranks from 0, served first, to 9.
const LATE_URGENCY: u8 = 9;

/// The last rank at engines of what can be in time.
const LAST_URGENCY_IN_TIME: u8 = 8;

/// What was expected of a request that was taken to be in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    /// When it was taken.
    pub(super) made_at: MonotonicTime,
    /// Expected time until its first event.
    pub(super) expected: Duration,
}

impl Driver<'_> {
    /// The first choice of engines for a request, which also decides whether it is taken.
    pub(super) fn admit(&mut self, now: MonotonicTime) {
        let timing = Timing {
            target: self.route.target_latency,
            left: routing::left(self.deadline, now),
            returned: self.returned,
        };
        let settings = &self.context.config.admission;
        let decision = lock(&self.context.router).admit(&self.query(&[], now), timing, settings, now);
        self.log_admission(&decision, timing);
        if !decision.expected.is_zero() {
            lock(&self.context.router).on_admission(&self.query(&[], now), decision.admission, now);
        }
        match decision.admission {
            Admission::InTime => {
                self.promise = (!decision.expected.is_zero()).then_some(Promise {
                    made_at: now,
                    expected: decision.expected,
                });
            }
            Admission::Late => self.late = true,
            Admission::Refused { retry_after } => {
                return self.take(Event::Nowhere(Refusal {
                    reason: RefusalReason::Overloaded,
                    retry_after: Some(retry_after),
                }));
            }
        }
        self.placed(routing::placement(decision.route));
    }

    /// Rank under which the request's work is counted and told to other nodes.
    pub(super) fn rank(&self) -> usize {
        if self.late {
            LATE_RANK
        } else {
            rank_of(self.route.priority)
        }
    }

    /// Rank of the request among those at an engine.
    pub(super) fn urgency(&self) -> u8 {
        if self.late {
            LATE_URGENCY
        } else {
            self.route.priority.min(LAST_URGENCY_IN_TIME)
        }
    }

    /// The first event came: what was expected of it is compared with the time it took.
    pub(super) fn judge_promise(&mut self, now: MonotonicTime) {
        if let Some(promise) = self.promise.take() {
            let took = now.since(promise.made_at);
            lock(&self.context.router).on_first_event(&self.query(&[], now), promise.expected, took);
        }
    }

    fn log_admission(&self, decision: &AdmissionDecision, timing: Timing) {
        if decision.expected.is_zero() {
            return;
        }
        log::info!(
            request = self.call.request.as_str(),
            admission:? = decision.admission,
            expected_millis = decision.expected.as_millis() as u64,
            error_percent = (decision.error * 100.0) as u64,
            turned_away_percent = (decision.turned_away * 100.0) as u64,
            target_millis = timing.target.as_millis() as u64,
            left_millis = timing.left.as_millis() as u64,
            returned = timing.returned;
            "admission_decided"
        );
    }
}
