//! Hands the request to an engine.

use super::accounting::{Account, PlacedChoice};
use super::driver::Driver;
use super::exchange::{Exchange, Purpose};
use super::routing;
use crate::engine_contact::{self, ConnectFailure};
use crate::ports::{CallStage, EngineCall};
use crate::regions;
use shelfjunction_core::engine::{EngineCall as MachineCall, Phase};
use shelfjunction_core::forwarding::max_wait;
use shelfjunction_core::identity::{AttemptId, EngineId, NodeId};
use shelfjunction_core::placing::question::ChosenEngine;
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::specification::Target;
use shelfjunction_core::routing::pool::{EngineEstimate, EngineStage, Explanation, KvCacheSource};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

impl Driver<'_> {
    pub(super) fn dispatch(&mut self, target: &Target, call: &MachineCall) {
        let (stage, purpose) = match (&call.phase, &call.import) {
            (Phase::PrefillOnly, _) => (CallStage::Prompt, Purpose::Prompt),
            (Phase::Whole, Some(import)) => (CallStage::Output(import.clone()), Purpose::Output),
            (Phase::Whole, None) => (CallStage::Whole, Purpose::Whole),
        };
        if let Some(withheld) = self.withheld() {
            return self.take(Event::DispatchWithheld {
                attempt: call.attempt.clone(),
                retry_after: withheld.retry_after,
            });
        }
        if self.arrivals.lacks_grant(purpose.arrival()) && !self.take_repeat(self.arrivals.sent()) {
            log::info!(request = self.call.request.as_str(), purpose = purpose.name(); "repeat_denied");
            return self.take(Event::NotSent {
                attempt: call.attempt.clone(),
            });
        }
        // The entry may have changed since the engine was chosen.
        let origin = self.origin_at(&target.engine);
        if !self.may_continue_as(&origin) {
            log::info!(
                request = self.call.request.as_str(),
                engine = target.engine.as_str(),
                software_version = origin.version_name();
                "dispatch_of_other_version"
            );
            self.last_not_sent = true;
            return self.take(Event::NotSent {
                attempt: call.attempt.clone(),
            });
        }
        let choice = self.choice.take().filter(|choice| choice.engine == target.engine);
        if let Some(event) = self.pass_gate(choice.as_ref(), &target.engine, &call.attempt, purpose) {
            return self.take(event);
        }
        let now = self.context.now();
        let why = self.why(choice.as_ref(), &target.engine, purpose, now);
        let (account, max_wait) = self.note_sent(choice.as_ref(), &target.engine, purpose, now);
        let wait = max_wait::CONNECT.min(routing::left(self.deadline, now));
        if std::mem::take(&mut self.distrusts_resting) {
            self.context.links.forget(&target.engine);
        }
        let mut link = match engine_contact::take_link(self.context, &target.engine, target.address, wait) {
            Ok(link) => link,
            Err(error) => return self.not_connected(&account, &call.attempt, &error),
        };
        if !self.may_take_request(&mut link, &target.engine, purpose, wait) {
            log::info!(request = self.call.request.as_str(), engine = target.engine.as_str(); "start_not_confirmed");
            self.count_abandoned(&account);
            self.last_not_sent = true;
            return self.take(Event::NotSent {
                attempt: call.attempt.clone(),
            });
        }
        // More may have been learned while the request waited for a slot and a connection.
        if let Some(withheld) = self.withheld() {
            self.count_abandoned(&account);
            self.context.rest_link(&target.engine, link, self.context.now());
            return self.take(Event::DispatchWithheld {
                attempt: call.attempt.clone(),
                retry_after: withheld.retry_after,
            });
        }
        // The engine of a kept run may have gone on meanwhile.
        let went_on = self.review_kept_run(self.context.now());
        if went_on.is_some() || self.exchange.is_some() {
            self.count_abandoned(&account);
            self.context.rest_link(&target.engine, link, self.context.now());
            return went_on.map_or((), |event| self.take(event));
        }
        if let Some(event) = self.ended_while_connecting(&call.attempt) {
            self.count_abandoned(&account);
            self.context.rest_link(&target.engine, link, self.context.now());
            return self.take(event);
        }
        let left = routing::left(self.deadline, self.context.now());
        if let Some(tunnel) = link.tunnel() {
            tunnel.note_request(&self.call.request);
            self.context.metrics.relay.relayed_requests.inc();
        }
        self.arrivals.note_sent(purpose.arrival());
        if let Some(trial) = &mut self.trial {
            trial.note_sent();
        }
        if let Some(charged) = &mut self.charged {
            charged.note_sent();
        }
        let relayed = link.tunnel().map(|_| (target.clone(), call.clone()));
        let mut exchange = Exchange {
            attempt: call.attempt.clone(),
            engine: target.engine.clone(),
            address: target.address,
            account,
            purpose,
            link,
            relayed,
            head: None,
            sent_at: now,
            asked_at: now,
            silent_from: max_wait.map(|max_wait| now + max_wait),
            all_sent: false,
            held_answer: self.context.buffers.hold_answer(),
            reads_again: false,
            has_events: false,
            origin,
            has_passed_events: false,
        };
        if choice.is_none() {
            self.note_dispatched(purpose);
        }
        let fetch_from = match (&choice, purpose) {
            (Some(choice), _) => choice.chosen.fetch_from,
            (None, Purpose::Output) => None,
            (None, Purpose::Prompt | Purpose::Whole) => {
                lock(&self.context.router).fetch_source(&target.engine, &self.query(&[], now), now)
            }
        };
        exchange.link.begin(&EngineCall {
            call: self.call,
            engine: &target.engine,
            tenant: self.access.tenant.as_ref(),
            stage,
            fetch_from,
            time_left: left,
            urgency: self.urgency(),
            last_event: self.machine.last_event().or(self.call.last_event),
            events: self.route.events,
        });
        self.log_dispatch(&exchange, &why, fetch_from, left);
        self.exchange = Some(exchange);
    }

    /// What becomes of a dispatch instead whose time was over, or whose caller left, while a connection was made for it: several nodes
    /// may have been asked for one.
    fn ended_while_connecting(&mut self, attempt: &AttemptId) -> Option<Event> {
        self.heed_stop();
        if self.context.now() >= self.deadline {
            return Some(Event::DispatchTooLate {
                attempt: attempt.clone(),
            });
        }
        let has_left = self.watch_caller && self.caller.is_gone() && !self.context.state.is_closing();
        self.caller_gone |= has_left;
        has_left.then_some(Event::CallerGone)
    }

    /// The reading of a prompt fills an engine for longest, so others hear of it at once.
    fn note_dispatched(&self, purpose: Purpose) {
        match purpose {
            Purpose::Prompt => self.context.peers.note_new_work(),
            Purpose::Output | Purpose::Whole => self.context.peers.note_change(),
        }
    }

    /// What speaks for an engine, before the request is counted there.
    fn why(
        &self,
        choice: Option<&PlacedChoice>,
        engine: &EngineId,
        purpose: Purpose,
        now: MonotonicTime,
    ) -> Explanation {
        if let Some(choice) = choice {
            return explanation_of(&choice.chosen);
        }
        let (stage, reads) = match (purpose, self.prompt) {
            (Purpose::Prompt, _) => (EngineStage::Prefill, true),
            (Purpose::Output, _) => (EngineStage::Decode, false),
            (Purpose::Whole, Some(_)) => (EngineStage::Decode, true),
            (Purpose::Whole, None) => (EngineStage::Whole, false),
        };
        lock(&self.context.router).explain(engine, stage, reads, &self.query(&[], now), now)
    }

    fn log_dispatch(
        &self,
        exchange: &Exchange,
        why: &Explanation,
        fetch_from: Option<SocketAddr>,
        left: Duration,
    ) {
        let region = regions::of_engine(self.context, &exchange.engine);
        let tunnel = exchange.link.tunnel();
        let relay = tunnel.map(|tunnel| self.context.peers.name_of(tunnel.relay));
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            region = regions::name(region.as_ref()),
            relay = relay.as_ref().map_or("none", NodeId::as_str),
            purpose = exchange.purpose.name(),
            software_version = exchange.origin.version_name(),
            after_event:? = self.machine.last_event(),
            left_millis = left.as_millis() as u64,
            cost_millis = millis(why.cost),
            runner_up = why.runner_up.as_ref().map_or("none", |(engine, _)| engine.as_str()),
            runner_up_cost_millis = why.runner_up.as_ref().map_or(0, |(_, cost)| millis(*cost)),
            prompt_tokens_ahead = why.estimate.prompt_tokens_ahead,
            requests_there = why.estimate.requests,
            held_tokens = why.estimate.held_tokens,
            fetch_from:? = fetch_from,
            word_age_millis = why.estimate.oldest_report_age.as_millis() as u64,
            work_factor_percent = why.estimate.work_factor_percent,
            figure_age_millis:? = why.estimate.reported_pace_age.map(|age| age.as_millis() as u64);
            "dispatched"
        );
    }

    fn note_sent(
        &self,
        choice: Option<&PlacedChoice>,
        engine: &EngineId,
        purpose: Purpose,
        now: MonotonicTime,
    ) -> (Account, Option<Duration>) {
        if let Some(choice) = choice {
            return self.counted_by_placer(choice, purpose);
        }
        let query = self.query(&[], now);
        let mut router = lock(&self.context.router);
        match purpose {
            Purpose::Prompt => {
                let expected = router.prefill_delay(engine, &query, now).unwrap_or_default();
                let max_wait = max_wait::prompt(self.route, expected);
                let ticket = router.on_prompt_sent(engine, &query, now);
                (Account::Own(ticket), Some(max_wait))
            }
            Purpose::Output | Purpose::Whole => {
                let way = if purpose == Purpose::Whole {
                    KvCacheSource::Prefill
                } else {
                    KvCacheSource::Transfer
                };
                let ticket = router.on_output_sent(engine, &query, way, now);
                (Account::Own(ticket), max_wait::first_answer(self.route))
            }
        }
    }

    fn counted_by_placer(&self, choice: &PlacedChoice, purpose: Purpose) -> (Account, Option<Duration>) {
        let account = Account::Placer {
            at: choice.at,
            engine: choice.engine.clone(),
            pauses: Vec::new(),
        };
        let max_wait = match purpose {
            Purpose::Prompt => Some(max_wait::prompt(self.route, choice.expected)),
            Purpose::Output | Purpose::Whole => max_wait::first_answer(self.route),
        };
        (account, max_wait)
    }

    fn not_connected(&mut self, account: &Account, attempt: &AttemptId, failure: &ConnectFailure) {
        log::info!(
            request = self.call.request.as_str(),
            engine = account.engine().as_str(),
            error:% = failure.error,
            engine_at_fault = failure.is_engines;
            "not_connected"
        );
        if !failure.is_engines {
            self.count_abandoned(account);
        } else if failure.error.kind() == ErrorKind::TimedOut {
            self.count_silent(account);
        } else {
            self.count_broken(account);
        }
        self.last_not_sent = true;
        self.take(Event::NotSent {
            attempt: attempt.clone(),
        });
    }
}

/// Seconds as whole milliseconds, for the log.
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

/// What a placer said for an engine, as this node explains its own choices; costs stay with the placer.
fn explanation_of(chosen: &ChosenEngine) -> Explanation {
    Explanation {
        cost: 0.0,
        runner_up: None,
        estimate: EngineEstimate {
            prompt_tokens_ahead: chosen.prompt_tokens_ahead,
            requests: chosen.requests,
            held_tokens: chosen.held_tokens,
            oldest_report_age: chosen.oldest_report_age,
            work_factor_percent: chosen.work_factor_percent,
            reported_pace_age: chosen.reported_pace_age,
        },
    }
}
