//! Takes what an engine's connection says.

use super::crash_evidence::{END_NOT_CONFIRMED, EngineFate, SILENT};
use super::driver::{Driver, WholeAnswer};
use super::exchange::{Exchange, Purpose};
use super::stream_end::BrokenDispatch;
use crate::engine_signals;
use crate::metering;
use crate::ports::{AnswerHead, EngineReading};
use crate::quarantine;
use crate::relay::Tunnel;
use shelfjunction_core::engine::{AnswerPart, EngineRefusal};
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::request::event::{Event, OpaquePart};
use shelfjunction_core::routing::pool::ReportedLoad;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time from a request's sending before which an engine has not begun to run it: a way there and back, up to 3 ms, and one step. Of
/// 484 outputs whose connections were reset on a recorded day 139 were within it, refused as they came; of the others the platform
/// counted nine in ten as begun.
const RUN_BEGINS_AFTER: Duration = Duration::from_millis(5);

/// Maximum number of times that a request is sent again because a relay declined it.
const MAX_DECLINED: u32 = 3;

impl Driver<'_> {
    pub(super) fn on_reading(&mut self, reading: EngineReading) -> Option<Event> {
        let now = self.context.now();
        match reading {
            EngineReading::Pending | EngineReading::ReadAgain => None,
            EngineReading::Opened(head) => self.opened(head, now),
            EngineReading::Event { id, bytes } => {
                self.judge_promise(now);
                let max_wait = max_wait::next_event(self.route);
                let exchange = self.exchange.as_mut()?;
                exchange.restart_wait(now, max_wait);
                if !std::mem::replace(&mut exchange.has_events, true) {
                    self.count_usage(now);
                    self.note_begun(now);
                }
                let exchange = self.exchange.as_ref()?;
                self.event_bytes = bytes;
                Some(Event::Forwarded {
                    attempt: exchange.attempt.clone(),
                    part: OpaquePart::Event { id },
                })
            }
            EngineReading::Ended | EngineReading::Whole { .. } if !self.is_whole(&reading) => {
                Some(self.broken(END_NOT_CONFIRMED))
            }
            EngineReading::Ended => {
                if !self.events_open {
                    let head = self.exchange.as_mut()?.head.take()?;
                    self.whole = Some(WholeAnswer {
                        head,
                        body: Vec::new(),
                    });
                }
                Some(self.answered(OpaquePart::Ended, now))
            }
            EngineReading::Whole { body, success } => {
                self.count_whole_run();
                let head = self.exchange.as_mut()?.head.take()?;
                self.whole = Some(WholeAnswer { head, body });
                let part = if success {
                    OpaquePart::Whole
                } else {
                    OpaquePart::Failure
                };
                Some(self.answered(part, now))
            }
            EngineReading::PromptRead { handle, told } => self.prompt_read(handle, told, now),
            EngineReading::Refused { refusal, told } => {
                let exchange = self.exchange.take()?;
                self.count_refused(&exchange.account, refusal.reason, told, now);
                Some(self.refused(exchange, refusal, now))
            }
            EngineReading::Held(_)
            | EngineReading::Report(_)
            | EngineReading::Identity { .. }
            | EngineReading::Ordered(_) => Some(self.broken("answer_not_asked_for")),
            EngineReading::Broken(_) if self.is_declined_by_relay() => self.declined_by_relay(),
            EngineReading::Broken(cause) => Some(self.broken(cause)),
        }
    }

    fn is_declined_by_relay(&self) -> bool {
        self.exchange.as_ref().is_some_and(|exchange| {
            let tunnel = exchange.link.tunnel();
            exchange.head.is_none() && tunnel.is_some_and(Tunnel::has_declined)
        })
    }

    /// Repeats a dispatch that its relay declined over another path; safe for every request, since the engine never received it.
    fn declined_by_relay(&mut self) -> Option<Event> {
        let exchange = self.exchange.take()?;
        let now = self.context.now();
        let again = exchange
            .relayed
            .filter(|_| self.declined_by_relays < MAX_DECLINED);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            again = again.is_some();
            "declined_by_relay"
        );
        let metrics = &self.context.metrics;
        metrics.dispatch_ended(exchange.purpose.name(), "declined_by_relay");
        if let Some(tunnel) = exchange.link.tunnel() {
            self.context.relays.on_failed(tunnel.relay, now);
        }
        // Other resting connections to the engine may pass through the same relay.
        self.context.links.forget(&exchange.engine);
        self.count_abandoned(&exchange.account);
        self.arrivals.note_not_arrived(exchange.purpose.arrival());
        self.declined_by_relays += 1;
        let Some((target, call)) = again else {
            self.last_not_sent = true;
            return Some(Event::NotSent {
                attempt: exchange.attempt,
            });
        };
        self.dispatch(&target, &call);
        None
    }

    fn opened(&mut self, head: AnswerHead, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        if let Some(told) = head.told {
            lock(&self.context.router).on_reported_load(&exchange.engine, told, now);
        }
        exchange.head = Some(head);
        Some(Event::Opened {
            attempt: exchange.attempt.clone(),
        })
    }

    /// Reads from the engine's connection, and takes what the head of an answer says of its engine before anything is done
    /// about the answer itself, whatever that is worth.
    pub(super) fn read_engine(&mut self) -> Option<EngineReading> {
        let exchange = self.exchange.as_mut()?;
        let reading = exchange.link.read();
        exchange.held_answer.set(exchange.link.answer_bytes());
        if let Some(signals) = exchange.link.take_signals() {
            let (engine, sent_at) = (&exchange.engine, exchange.sent_at);
            engine_signals::on_request_answered(self.context, engine, &signals, sent_at);
        }
        Some(reading)
    }

    /// Counts the request for its tenant, as one that has begun to run.
    fn count_usage(&self, now: MonotonicTime) {
        if let Some(tenant) = &self.access.tenant {
            metering::count(self.context, tenant, now);
        }
    }

    /// Counts a run without events, which began when the engine had the request. One that broke has run, as far as
    /// anybody can tell, if all of it was sent.
    fn count_whole_run(&self) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        if !self.route.events && exchange.all_sent {
            self.count_usage(exchange.sent_at);
        }
    }

    /// Counts a run whose events were lost before the first one came, as far as can be told: an engine that had all of it for long
    /// enough to begin, and broke the connection.
    fn count_lost_run(&self, cause: &'static str) {
        let Some(exchange) = &self.exchange else {
            return;
        };
        let now = self.context.now();
        let runs = self.route.events && exchange.purpose != Purpose::Prompt;
        let had_time = exchange.all_sent && now.since(exchange.sent_at) >= RUN_BEGINS_AFTER;
        if runs && had_time && !exchange.has_events && cause != SILENT {
            self.count_usage(now);
        }
    }

    fn note_begun(&self, now: MonotonicTime) {
        if let Some(exchange) = &self.exchange {
            let told = exchange.head.as_ref().and_then(|head| head.told);
            self.count_begun(&exchange.account, told, now);
        }
    }

    fn answered(&mut self, part: OpaquePart, now: MonotonicTime) -> Event {
        let Some(exchange) = self.exchange.take() else {
            return Event::DeadlineReached;
        };
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            part:? = part,
            after_millis = now.since(exchange.sent_at).as_millis() as u64;
            "dispatch_answered"
        );
        self.context
            .metrics
            .dispatch_ended(exchange.purpose.name(), "answered");
        self.count_answered(exchange.account, now);
        // A failure that an engine reports may come before it has begun to run the request.
        if part != OpaquePart::Failure {
            quarantine::note_answered(self.context, &self.call.request, &self.subjects, exchange.sent_at);
        }
        self.context.rest_link(&exchange.engine, exchange.link, now);
        Event::Forwarded {
            attempt: exchange.attempt,
            part,
        }
    }

    fn prompt_read(
        &mut self,
        handle: String,
        told: Option<ReportedLoad>,
        now: MonotonicTime,
    ) -> Option<Event> {
        let exchange = self.exchange.take()?;
        if let Some(told) = told {
            lock(&self.context.router).on_reported_load(&exchange.engine, told, now);
        }
        self.prompt_told = told;
        self.prompt_is_read = true;
        self.count_prompt_read(&exchange.account, now);
        self.context.metrics.prompt_read(now.since(exchange.sent_at));
        self.context
            .metrics
            .dispatch_ended(Purpose::Prompt.name(), "answered");
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            took_millis = now.since(exchange.sent_at).as_millis() as u64;
            "prompt_read"
        );
        self.context.rest_link(&exchange.engine, exchange.link, now);
        Some(Event::Part {
            attempt: exchange.attempt,
            part: AnswerPart::Prefilled {
                request: self.machine.specification().request.clone(),
                handle,
            },
        })
    }

    fn refused(&mut self, exchange: Exchange, refusal: EngineRefusal, now: MonotonicTime) -> Event {
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            reason:? = refusal.reason;
            "engine_refused"
        );
        self.context
            .metrics
            .dispatch_ended(exchange.purpose.name(), "refused");
        self.context.rest_link(&exchange.engine, exchange.link, now);
        Event::Refused {
            attempt: exchange.attempt,
            refusal,
        }
    }

    /// The connection broke, or its engine was silent too long: whether the engine runs the request is unknown.
    pub(super) fn broken(&mut self, cause: &'static str) -> Event {
        self.count_whole_run();
        self.count_lost_run(cause);
        let Some(exchange) = self.exchange.take() else {
            return Event::DeadlineReached;
        };
        let now = self.context.now();
        self.note_broken(&exchange, cause, now);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            cause,
            opened = exchange.head.is_some(),
            silent_millis = now.since(exchange.asked_at).as_millis() as u64,
            after_millis = now.since(exchange.sent_at).as_millis() as u64;
            "dispatch_broken"
        );
        let fate = self.look_at_engine(&exchange, cause);
        self.count_broken_dispatch(&exchange, cause, fate);
        if exchange.head.is_some() {
            Event::Disconnected {
                attempt: exchange.attempt,
            }
        } else {
            Event::Ambiguous {
                attempt: exchange.attempt,
            }
        }
    }

    /// Notes that a dispatch counts as broken, and for how long its engine had said nothing.
    pub(super) fn note_broken(&mut self, exchange: &Exchange, cause: &'static str, now: MonotonicTime) {
        self.not_continued = None;
        self.last_broken = Some(BrokenDispatch {
            engine: exchange.engine.clone(),
            cause,
            silence: now.since(exchange.asked_at),
        });
    }

    /// Counts a broken dispatch for its relay and its engine.
    pub(super) fn count_broken_dispatch(&self, exchange: &Exchange, cause: &'static str, fate: EngineFate) {
        self.context
            .metrics
            .dispatch_ended(exchange.purpose.name(), "broken");
        if let Some(tunnel) = exchange.link.tunnel() {
            self.context.relays.on_failed(tunnel.relay, self.context.now());
        }
        let is_isolated = lock(&self.context.engine_reach).is_isolated();
        if is_isolated || fate == EngineFate::Unreached {
            self.count_abandoned(&exchange.account);
        } else if cause == SILENT {
            self.count_silent(&exchange.account);
        } else {
            self.count_broken(&exchange.account);
        }
    }

    /// Gives up what is still under way when the course ends.
    pub(super) fn drop_exchange(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            self.count_abandoned(&exchange.account);
        }
    }

    /// Head of the answer that is coming in.
    pub(super) fn current_head(&self) -> Option<&AnswerHead> {
        self.exchange.as_ref()?.head.as_ref()
    }
}
