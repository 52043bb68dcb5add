//! The run of a stream whose engine is silent: it is kept until another engine has taken the stream over, since closing it for nothing
//! would cost the caller its stream while the engine may only be busy.

use super::crash_evidence::{EngineFate, SILENT};
use super::driver::Driver;
use super::exchange::{Exchange, Purpose};
use super::waiting::LONGEST_POLL;
use crate::ports::EngineReading;
use shelfjunction_core::identity::AttemptId;
use shelfjunction_core::outcome::Outcome;
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// A run whose engine is silent.
pub(super) struct KeptRun {
    exchange: Exchange,
    /// The request's course before another engine was looked for.
    course: RequestMachine,
    /// How long the engine had been silent by then.
    silence: Duration,
    /// The dispatch that all of the request has been sent with since then, and when that was noticed.
    sent_elsewhere: Option<(AttemptId, MonotonicTime)>,
}

impl KeptRun {
    pub(super) fn exchange(&self) -> &Exchange {
        &self.exchange
    }
}

impl Driver<'_> {
    /// Puts the run of a silent engine aside while another engine is looked for.
    pub(super) fn keep_run(&mut self, now: MonotonicTime) -> Event {
        let Some(exchange) = self.exchange.take() else {
            return self.time_over();
        };
        let silence = now.since(exchange.asked_at);
        self.note_broken(&exchange, SILENT, now);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            silent_millis = silence.as_millis() as u64;
            "run_kept"
        );
        let attempt = exchange.attempt.clone();
        self.kept_run = Some(KeptRun {
            exchange,
            course: self.machine.clone(),
            silence,
            sent_elsewhere: None,
        });
        Event::Disconnected { attempt }
    }

    /// Reads from a kept run: goes back to it where its engine goes on, and gives it up where that has closed it or another engine has
    /// taken the stream over.
    pub(super) fn review_kept_run(&mut self, now: MonotonicTime) -> Option<Event> {
        let kept = self.kept_run.as_mut()?;
        match kept.exchange.link.read() {
            EngineReading::Pending | EngineReading::ReadAgain => {
                if self.is_taken_over(now) {
                    self.give_up_kept_run("taken_over");
                }
                None
            }
            EngineReading::Broken(cause) => {
                self.give_up_kept_run(cause);
                None
            }
            reading => {
                self.return_to_kept_run("engine_went_on", now);
                self.on_reading(reading)
            }
        }
    }

    /// Whether another engine has taken the stream over.
    fn is_taken_over(&mut self, now: MonotonicTime) -> bool {
        // Reading a prompt does not continue a stream yet.
        let successor = self
            .exchange
            .as_ref()
            .filter(|successor| successor.purpose != Purpose::Prompt && successor.all_sent);
        let (Some(successor), Some(kept)) = (successor, &mut self.kept_run) else {
            return false;
        };
        let is_same = |(attempt, _): &&(AttemptId, MonotonicTime)| *attempt == successor.attempt;
        let sent_at = match kept.sent_elsewhere.as_ref().filter(is_same) {
            Some((_, sent_at)) => *sent_at,
            None => {
                kept.sent_elsewhere = Some((successor.attempt.clone(), now));
                now
            }
        };
        let settings = &self.context.config.handover;
        settings.is_taken_over(successor.head.is_some(), now.since(sent_at))
    }

    /// Longest wait until a kept run is reviewed again.
    pub(super) fn kept_run_wait(&self) -> Option<Duration> {
        let wait = self.context.config.handover.refusal_wait();
        self.kept_run.is_some().then_some(wait.min(LONGEST_POLL))
    }

    /// Goes back to a kept run instead of ending the stream, where there is one; whether it did.
    pub(super) fn continue_kept_run(&mut self, outcome: &Outcome) -> bool {
        let now = self.context.now();
        if *outcome == Outcome::Completed || now >= self.deadline || self.kept_run.is_none() {
            return false;
        }
        self.return_to_kept_run("not_continued", now);
        true
    }

    fn return_to_kept_run(&mut self, cause: &'static str, now: MonotonicTime) {
        let Some(KeptRun {
            mut exchange,
            course,
            silence,
            sent_elsewhere: _,
        }) = self.kept_run.take()
        else {
            return;
        };
        self.log_kept_run_ended(&exchange, cause);
        self.drop_exchange();
        self.pending.clear();
        let unused = self.machine.return_to(course);
        self.pending.extend(unused);
        // Each search may cost a repeat of the budget.
        exchange.restart_wait(now, Some(silence * 2));
        self.exchange = Some(exchange);
    }

    fn give_up_kept_run(&mut self, cause: &'static str) {
        if let Some(kept) = self.kept_run.take() {
            self.log_kept_run_ended(&kept.exchange, cause);
            self.count_broken_dispatch(&kept.exchange, SILENT, EngineFate::Unknown);
        }
    }

    /// Gives up a kept run when the course ends.
    pub(super) fn drop_kept_run(&mut self) {
        if let Some(kept) = self.kept_run.take() {
            self.log_kept_run_ended(&kept.exchange, "course_ended");
            self.count_abandoned(&kept.exchange.account);
        }
    }

    fn log_kept_run_ended(&self, exchange: &Exchange, cause: &'static str) {
        self.context.metrics.streams.count_kept(cause);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            cause,
            not_continued = self.not_continued.unwrap_or("none");
            "kept_run_ended"
        );
    }
}
