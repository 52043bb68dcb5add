//! What goes back to the caller.

use super::STOPPING_RETRY_AFTER;
use super::driver::{Driver, End};
use crate::ports::{CallerGone, OwnAnswer};
use shelfjunction_core::outcome::{Failure, Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::event::OpaquePart;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// One pause between events in so many is told to the router; they resemble each other.
const PAUSES_TOLD: u32 = 4;

/// When to come back where the refusal does not say.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl Driver<'_> {
    /// Hands a piece of the answer to the caller.
    pub(super) fn deliver(&mut self, part: OpaquePart) {
        let result = match part {
            OpaquePart::Event { .. } => self.deliver_event(),
            OpaquePart::Ended => self.deliver_end(),
            // A whole answer goes out when the course ends, so that nothing is said twice.
            OpaquePart::Whole | OpaquePart::Failure => Ok(()),
        };
        if result.is_err() {
            self.caller_gone = true;
        }
    }

    fn deliver_event(&mut self) -> Result<(), CallerGone> {
        if !self.events_open {
            if let Some(head) = self.current_head().cloned() {
                let keep = self.leaves_open();
                self.caller.open_events(&head, keep)?;
            }
            self.events_open = true;
        }
        self.note_event_origin();
        let now = self.context.now();
        match self.last_event_at.replace(now) {
            None => self.context.metrics.first_event(now.since(self.arrived)),
            Some(last) => {
                let pause = now.since(last);
                self.context.metrics.next_event(pause);
                self.observe_pause(pause, now);
                self.judge_pause(pause, now);
            }
        }
        self.first_event_at.get_or_insert(now);
        self.events_delivered += 1;
        self.caller.event(&self.event_bytes)
    }

    /// Tells the router of some of the pauses between events.
    fn observe_pause(&mut self, pause: Duration, now: MonotonicTime) {
        if !self.events_delivered.is_multiple_of(PAUSES_TOLD) {
            return;
        }
        if let (Some(exchange), Some(harmless)) = (&mut self.exchange, self.route.event_gap) {
            let part = pause.as_secs_f64() / harmless.as_secs_f64().max(f64::MIN_POSITIVE);
            exchange.account.note_pause(self.context, part, now);
        }
    }

    fn deliver_end(&mut self) -> Result<(), CallerGone> {
        if self.events_open {
            return self.caller.end_events();
        }
        Ok(())
    }

    /// Ends the course; true where the caller's connection may carry another call.
    pub(super) fn end(mut self, end: End) -> bool {
        self.drop_exchange();
        self.drop_kept_run();
        // Others may run beside what has ended, however slowly its caller reads.
        self.trial = None;
        let ended_at = self.context.now();
        let answered = match &end {
            End::CallerGone => false,
            End::Finished(outcome) => self.answer(outcome) && !self.caller_gone,
        };
        let taken = self.delivered();
        self.log_end(&end, taken, ended_at);
        taken && answered && self.keep
    }

    /// Waits until the caller has taken all that was handed over; false where it left or was let go.
    fn delivered(&mut self) -> bool {
        if self.caller_gone {
            return false;
        }
        let taken = self.undelivered.finish(self.caller, &self.call.request);
        self.caller_gone = taken.is_err();
        taken.is_ok()
    }

    fn answer(&mut self, outcome: &Outcome) -> bool {
        if self.events_open {
            // A series that ends early must not look complete: its connection is closed.
            return *outcome == Outcome::Completed;
        }
        match outcome {
            Outcome::Completed | Outcome::Failed(_) | Outcome::Unknown(_) if self.whole.is_some() => {
                self.relay_whole()
            }
            Outcome::Completed => false,
            Outcome::NotRun(refusal) => self.say(OwnAnswer::NotRun {
                retry_after: self.retry_after(refusal),
            }),
            Outcome::Failed(Failure::DeadlinePassed) | Outcome::Unknown(Failure::DeadlinePassed) => {
                self.say(OwnAnswer::TimeOver)
            }
            Outcome::Failed(_) | Outcome::Unknown(_) => self.say(OwnAnswer::Unknown),
        }
    }

    /// When the caller should come back. What only a stop keeps from being served is served by another node at once.
    fn retry_after(&self, refusal: &Refusal) -> Duration {
        if self.ends_with_process {
            return STOPPING_RETRY_AFTER;
        }
        refusal.retry_after.unwrap_or(RETRY_AFTER)
    }

    fn relay_whole(&mut self) -> bool {
        let Some(whole) = self.whole.take() else {
            return false;
        };
        let keep = self.leaves_open();
        self.caller.answer(&whole.head, &whole.body, keep).is_ok()
    }

    fn say(&mut self, answer: OwnAnswer) -> bool {
        let keep = self.leaves_open();
        self.caller.say(&self.call.request, answer, keep).is_ok()
    }

    fn log_end(&self, end: &End, taken: bool, now: MonotonicTime) {
        let (outcome, cause) = match end {
            End::CallerGone => ("caller_gone", "caller_gone"),
            End::Finished(outcome) => (outcome_name(outcome), cause_name(outcome)),
        };
        self.note_stream_cut(end, now);
        let late = self.lateness();
        let metrics = &self.context.metrics;
        metrics.request_ended(outcome, cause, now.since(self.arrived));
        if self.events_open {
            metrics.stream_ended(late.name());
        }
        log::info!(
            request = self.call.request.as_str(),
            route:% = self.route.id,
            outcome,
            cause,
            took_millis = now.since(self.arrived).as_millis() as u64,
            first_event_millis:? = self.first_event_at.map(|at| at.since(self.arrived).as_millis() as u64),
            events = self.events_delivered,
            taken,
            longest_pause_millis = self.pauses.longest.as_millis() as u64,
            late = late.name();
            "request_ended"
        );
    }
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "completed",
        Outcome::NotRun(_) => "not_run",
        Outcome::Failed(_) => "failed",
        Outcome::Unknown(_) => "unknown",
    }
}

fn cause_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Completed => "none",
        Outcome::NotRun(refusal) => refusal_name(refusal.reason),
        Outcome::Failed(failure) | Outcome::Unknown(failure) => failure_name(*failure),
    }
}

fn refusal_name(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::DeadlineUnreachable => "deadline_unreachable",
        RefusalReason::Overloaded => "overloaded",
        RefusalReason::EnginesRefused => "engines_refused",
        RefusalReason::InvalidRequest => "invalid_request",
        RefusalReason::Quarantined => "quarantined",
        RefusalReason::Stopping => "stopping",
        _ => "other",
    }
}

fn failure_name(failure: Failure) -> &'static str {
    match failure {
        Failure::ConnectionLost => "connection_lost",
        Failure::EngineError => "engine_error",
        Failure::DeadlinePassed => "deadline_passed",
        Failure::ClaimUnsettled => "end_unknown",
        Failure::NodeStopped => "node_stopped",
        _ => "other",
    }
}
