//! The loop that drives one opaque request's machine in its caller's thread.

use super::arrivals::ArrivalAccount;
use super::exchange::{Exchange, Purpose};
use super::routing;
use crate::context::Context;
use crate::ports::{AnswerHead, Call, CallStage, CallerConnection, EngineCall, EngineReading};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use shelfjunction_core::engine::{AnswerPart, EngineCall as MachineCall, EngineRefusal, Phase};
use shelfjunction_core::forwarding::{PoolId, RouteRule, patience};
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::outcome::{Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::event::{Action, Event, ForwardAction, OpaquePart};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{Placement, Target};
use shelfjunction_core::routing::pool::{
    EngineStage, Explanation, OutputWay, PoolQuery, PoolTicket, PrefixBlock, PromptShape, rank_of,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

/// When to come back after no engine could be chosen.
const NOWHERE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How a course ended.
pub(super) enum End {
    /// With an outcome.
    Finished(Outcome),
    /// The caller went away.
    CallerGone,
}

/// An answer that an engine gave whole.
pub(super) struct WholeAnswer {
    pub(super) head: AnswerHead,
    pub(super) body: Vec<u8>,
}

/// One request under way.
pub(super) struct Driver<'a> {
    pub(super) context: &'a Context,
    pub(super) caller: &'a mut dyn CallerConnection,
    pub(super) call: &'a Call,
    pub(super) route: &'a RouteRule,
    pub(super) pool: &'a PoolId,
    pub(super) keep: bool,
    pub(super) machine: RequestMachine,
    pub(super) deadline: MonotonicTime,
    pub(super) arrived: MonotonicTime,
    /// Bytes of the event that the machine judges now.
    pub(super) event_bytes: Vec<u8>,
    /// The last whole answer, success or failure.
    pub(super) whole: Option<WholeAnswer>,
    /// Whether the head of a series of events has gone to the caller.
    pub(super) events_open: bool,
    pub(super) caller_gone: bool,
    pub(super) events_delivered: u32,
    pub(super) first_event_at: Option<MonotonicTime>,
    pub(super) last_event_at: Option<MonotonicTime>,
    prompt: Option<&'a PromptShape>,
    prefixes: Vec<PrefixBlock>,
    pending: VecDeque<Action>,
    exchange: Option<Exchange>,
    /// Arrivals at engines so far, and the repeats that were granted for them.
    arrivals: ArrivalAccount,
    /// The last dispatch never left, so trying again costs no engine anything.
    last_not_sent: bool,
    watch_caller: bool,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        context: &'a Context,
        caller: &'a mut dyn CallerConnection,
        call: &'a Call,
        route: &'a RouteRule,
        pool: &'a PoolId,
        keep: bool,
    ) -> Self {
        let deadline = routing::deadline(context, call, route);
        let specification = routing::specification(call, route, pool, deadline);
        let machine = RequestMachine::new(specification, routing::limits(route))
            .after_event(super::caller_position(route, call));
        let prompt = call
            .prompt
            .as_ref()
            .filter(|_| super::runs_model(context, pool, call));
        Self {
            context,
            caller,
            call,
            route,
            pool,
            keep,
            machine,
            deadline,
            arrived: context.now(),
            event_bytes: Vec::new(),
            whole: None,
            events_open: false,
            caller_gone: false,
            events_delivered: 0,
            first_event_at: None,
            last_event_at: None,
            prefixes: prompt.map(PromptShape::prefixes).unwrap_or_default(),
            prompt,
            pending: VecDeque::new(),
            exchange: None,
            arrivals: ArrivalAccount::default(),
            last_not_sent: false,
            watch_caller: true,
        }
    }

    /// Drives the request to its end; true where the caller's connection may carry another.
    pub(super) fn run(mut self) -> bool {
        self.take(Event::Admitted);
        loop {
            while let Some(action) = self.pending.pop_front() {
                match action {
                    Action::Finish(outcome) => return self.end(End::Finished(outcome)),
                    Action::Detach => return self.end(End::CallerGone),
                    action => self.carry_out(action),
                }
            }
            let event = self.wait();
            if let Some(event) = event {
                self.take(event);
            }
        }
    }

    fn take(&mut self, event: Event) {
        let actions = self.machine.handle(event, self.context.now());
        self.pending.extend(actions);
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Choose { excluded, .. } => self.choose(&excluded),
            Action::Forward(ForwardAction::ChooseOutput { source, excluded }) => {
                self.choose_output(&source, &excluded);
            }
            Action::Forward(ForwardAction::Deliver(part)) => self.deliver(part),
            Action::Forward(ForwardAction::FreeTransfer(transfer)) => self.context.releases.add(transfer),
            Action::Dispatch { target, call, .. } => self.dispatch(&target, &call),
            Action::AskRetry { tried } => self.ask_retry(tried),
            Action::Cancel { engine } => self.cancel(&engine),
            Action::AskRunState { engine, .. } => self.take(Event::RunStateUnavailable { engine }),
            Action::Resume { attempt, .. } => self.take(Event::Disconnected { attempt }),
            other => {
                log::error!(request = self.call.request.as_str(), action:? = other; "action_not_for_opaque_requests")
            }
        }
    }

    fn choose(&mut self, excluded: &[EngineId]) {
        let now = self.context.now();
        let route = lock(&self.context.router).choose(&self.query(excluded, now), now);
        self.placed(routing::placement(route));
    }

    fn choose_output(&mut self, source: &EngineId, excluded: &[EngineId]) {
        let now = self.context.now();
        let engine = lock(&self.context.router).choose_output(&self.query(excluded, now), source, now);
        self.placed(engine.map(|engine| Placement::Whole(routing::target(&engine))));
    }

    fn placed(&mut self, placement: Option<Placement>) {
        let event = match placement {
            Some(placement) => Event::Placed(placement),
            None => Event::Nowhere(Refusal {
                reason: RefusalReason::EnginesRefused,
                retry_after: Some(NOWHERE_RETRY_AFTER),
            }),
        };
        self.take(event);
    }

    fn query<'q>(&'q self, excluded: &'q [EngineId], now: MonotonicTime) -> PoolQuery<'q> {
        PoolQuery {
            pool: self.pool,
            prompt: self.prompt,
            prefixes: &self.prefixes,
            zone: &self.context.config.zone,
            excluded,
            paused_too: false,
            rank: rank_of(self.route.priority),
            remaining: routing::left(self.deadline, now),
        }
    }

    fn ask_retry(&mut self, tried: u32) {
        let free = std::mem::take(&mut self.last_not_sent);
        let granted = free || self.context.take_repeat(self.pool);
        log::info!(request = self.call.request.as_str(), tried, granted, free, repeats_left = self.context.repeats_left(); "retry_asked");
        self.arrivals.note_grant(granted && !free);
        let event = if granted {
            Event::RetryGranted {
                not_before: self.context.now(),
            }
        } else {
            Event::RetryDenied
        };
        self.take(event);
    }

    fn cancel(&mut self, engine: &EngineId) {
        if let Some(exchange) = self.exchange.take_if(|exchange| exchange.engine == *engine) {
            log::info!(request = self.call.request.as_str(), engine = engine.as_str(); "dispatch_cancelled");
            self.context
                .metrics
                .dispatch_ended(exchange.purpose.name(), "cancelled");
            lock(&self.context.router).on_abandoned(&exchange.ticket);
        }
    }

    fn dispatch(&mut self, target: &Target, call: &MachineCall) {
        let now = self.context.now();
        let (stage, purpose) = match (&call.phase, &call.import) {
            (Phase::PrefillOnly, _) => (CallStage::Prompt, Purpose::Prompt),
            (Phase::Whole, Some(import)) => (CallStage::Output(import.clone()), Purpose::Output),
            (Phase::Whole, None) => (CallStage::Whole, Purpose::Whole),
        };
        if self.arrivals.lacks_grant(purpose) && !self.context.take_repeat(self.pool) {
            log::info!(request = self.call.request.as_str(), purpose = purpose.name(); "repeat_denied");
            return self.take(Event::NotSent {
                attempt: call.attempt.clone(),
            });
        }
        let why = self.explain(&target.engine, purpose, now);
        let (ticket, patience) = self.note_sent(&target.engine, purpose, now);
        let left = routing::left(self.deadline, now);
        let wait = patience::CONNECT.min(left);
        let link = match self.context.links.take(&target.engine, target.address, wait, now) {
            Ok(link) => link,
            Err(error) => return self.not_connected(&ticket, &call.attempt, &error),
        };
        self.arrivals.note_sent(purpose);
        let mut exchange = Exchange {
            attempt: call.attempt.clone(),
            engine: target.engine.clone(),
            ticket,
            purpose,
            link,
            head: None,
            sent_at: now,
            asked_at: now,
            silent_from: patience.map(|patience| now + patience),
            all_sent: false,
            has_events: false,
        };
        self.context.peers.note_change();
        let fetch_from = match purpose {
            Purpose::Output => None,
            Purpose::Prompt | Purpose::Whole => {
                lock(&self.context.router).fetch_source(&target.engine, &self.query(&[], now), now)
            }
        };
        exchange.link.begin(&EngineCall {
            call: self.call,
            engine: &target.engine,
            stage,
            fetch_from,
            time_left: left,
            urgency: self.route.priority.min(9),
            last_event: self.machine.last_event().or(self.call.last_event),
            events: self.route.events,
        });
        self.log_dispatch(&exchange, &why, fetch_from, left);
        self.exchange = Some(exchange);
    }

    /// What speaks for an engine, before the request is counted there.
    fn explain(&self, engine: &EngineId, purpose: Purpose, now: MonotonicTime) -> Explanation {
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
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            left_millis = left.as_millis() as u64,
            cost_millis = millis(why.cost),
            runner_up = why.runner_up.as_ref().map_or("none", |(engine, _)| engine.as_str()),
            runner_up_cost_millis = why.runner_up.as_ref().map_or(0, |(_, cost)| millis(*cost)),
            prompt_tokens_ahead = why.prompt_tokens_ahead,
            requests_there = why.requests,
            held_tokens = why.held_tokens,
            fetch_from:? = fetch_from,
            word_age_millis = why.oldest_word.as_millis() as u64;
            "dispatched"
        );
    }

    fn note_sent(
        &self,
        engine: &EngineId,
        purpose: Purpose,
        now: MonotonicTime,
    ) -> (PoolTicket, Option<Duration>) {
        let query = self.query(&[], now);
        let mut router = lock(&self.context.router);
        match purpose {
            Purpose::Prompt => {
                let expected = router.prompt_delay(&query, now).unwrap_or_default();
                let patience = patience::prompt(self.route, expected);
                (router.on_prompt_sent(engine, &query, now), Some(patience))
            }
            Purpose::Output | Purpose::Whole => {
                let way = if purpose == Purpose::Whole {
                    OutputWay::Reads
                } else {
                    OutputWay::Fetches
                };
                let ticket = router.on_output_sent(engine, &query, way, now);
                (ticket, patience::first_answer(self.route))
            }
        }
    }

    fn not_connected(&mut self, ticket: &PoolTicket, attempt: &AttemptId, error: &std::io::Error) {
        log::info!(
            request = self.call.request.as_str(),
            engine = ticket.engine().as_str(),
            error:% = error;
            "not_connected"
        );
        lock(&self.context.router).on_broken(ticket, self.context.now());
        self.last_not_sent = true;
        self.take(Event::NotSent {
            attempt: attempt.clone(),
        });
    }

    /// Waits until the engine has something to say, the caller leaves or a time is over.
    fn wait(&mut self) -> Option<Event> {
        let now = self.context.now();
        if now >= self.deadline {
            return Some(Event::DeadlineReached);
        }
        if self.caller_gone {
            return Some(Event::CallerGone);
        }
        if let Some(event) = self.push_and_read() {
            return Some(event);
        }
        self.exchange.as_ref()?;
        self.poll(now)
    }

    fn push_and_read(&mut self) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        if !exchange.all_sent {
            match exchange.link.push() {
                Ok(all_sent) => exchange.all_sent = all_sent,
                Err(_) => return Some(self.broken("write_failed")),
            }
        }
        match exchange.link.read() {
            EngineReading::Pending => None,
            reading => self.on_reading(reading),
        }
    }

    fn poll(&mut self, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.as_ref()?;
        let until = exchange
            .silent_from
            .map_or(self.deadline, |silent| silent.min(self.deadline));
        let timeout = Timespec::try_from(until.since(now)).unwrap_or_default();
        let mut engine_flags = PollFlags::IN;
        if !exchange.all_sent {
            engine_flags |= PollFlags::OUT;
        }
        let caller_readable = {
            let mut waits = vec![PollFd::from_borrowed_fd(exchange.link.descriptor(), engine_flags)];
            if self.watch_caller {
                waits.push(PollFd::from_borrowed_fd(self.caller.descriptor(), PollFlags::IN));
            }
            // An interrupted wait is begun again by the next round.
            let _ = poll(&mut waits, Some(&timeout));
            waits.get(1).is_some_and(|wait| !wait.revents().is_empty())
        };
        if caller_readable {
            if !self.context.state.is_closing() && self.caller.is_gone() {
                self.caller_gone = true;
                return Some(Event::CallerGone);
            }
            // The caller has sent its next call already, or this side has stopped reading: only writing will show
            // whether it left.
            self.watch_caller = false;
        }
        let now = self.context.now();
        let silent = exchange.silent_from.is_some_and(|silent| now >= silent);
        if silent && now < self.deadline {
            return self.push_and_read().or_else(|| self.silent(now));
        }
        None
    }

    /// The engine's time to answer is over. One that answers others is only busy: asking another
    /// engine would have the prompt read twice.
    fn silent(&mut self, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        let lives = lock(&self.context.router)
            .engine(&exchange.engine)
            .is_some_and(|state| state.answers(now));
        if !lives {
            return Some(self.broken("silent"));
        }
        let waited = now.since(exchange.asked_at);
        exchange.asked_at = now;
        exchange.silent_from = Some(now + waited);
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            waited_millis = waited.as_millis() as u64;
            "waits_longer"
        );
        None
    }

    fn on_reading(&mut self, reading: EngineReading) -> Option<Event> {
        let now = self.context.now();
        match reading {
            EngineReading::Pending => None,
            EngineReading::Opened(head) => self.opened(head, now),
            EngineReading::Event { id, bytes } => {
                let patience = patience::next_event(self.route);
                let exchange = self.exchange.as_mut()?;
                if !std::mem::replace(&mut exchange.has_events, true) {
                    lock(&self.context.router).on_output_begun(&exchange.ticket, &self.prefixes, now);
                    self.context.peers.note_change();
                }
                exchange.heard(now, patience);
                self.event_bytes = bytes;
                Some(Event::Forwarded {
                    attempt: exchange.attempt.clone(),
                    part: OpaquePart::Event { id },
                })
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
                let head = self.exchange.as_mut()?.head.take()?;
                self.whole = Some(WholeAnswer { head, body });
                let part = if success {
                    OpaquePart::Whole
                } else {
                    OpaquePart::Failure
                };
                Some(self.answered(part, now))
            }
            EngineReading::PromptRead { handle } => self.prompt_read(handle, now),
            EngineReading::Refused { refusal, told } => {
                let exchange = self.exchange.take()?;
                let mut router = lock(&self.context.router);
                if let Some(told) = told {
                    router.on_told(&exchange.engine, told, now);
                }
                router.on_refused(&exchange.ticket, refusal.reason, now);
                drop(router);
                Some(self.refused(exchange, refusal, now))
            }
            EngineReading::Held(_) | EngineReading::Report(_) | EngineReading::Ordered(_) => {
                Some(self.broken("answer_not_asked_for"))
            }
            EngineReading::Broken(cause) => Some(self.broken(cause)),
        }
    }

    fn opened(&mut self, head: AnswerHead, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.as_mut()?;
        if let Some(told) = head.told {
            lock(&self.context.router).on_told(&exchange.engine, told, now);
        }
        exchange.head = Some(head);
        Some(Event::Opened {
            attempt: exchange.attempt.clone(),
        })
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
        let mut router = lock(&self.context.router);
        router.on_answered(&exchange.ticket);
        self.context.peers.note_change();
        drop(router);
        self.context.links.give_back(&exchange.engine, exchange.link, now);
        Event::Forwarded {
            attempt: exchange.attempt,
            part,
        }
    }

    fn prompt_read(&mut self, handle: String, now: MonotonicTime) -> Option<Event> {
        let exchange = self.exchange.take()?;
        lock(&self.context.router).on_prompt_read(&exchange.ticket, &self.prefixes, now);
        self.context.peers.note_change();
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
        self.context.links.give_back(&exchange.engine, exchange.link, now);
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
        self.context.links.give_back(&exchange.engine, exchange.link, now);
        Event::Refused {
            attempt: exchange.attempt,
            refusal,
        }
    }

    /// The connection broke, or its engine was silent too long: whether the engine runs the request is unknown.
    fn broken(&mut self, cause: &'static str) -> Event {
        let Some(exchange) = self.exchange.take() else {
            return Event::DeadlineReached;
        };
        log::info!(
            request = self.call.request.as_str(),
            engine = exchange.engine.as_str(),
            purpose = exchange.purpose.name(),
            cause,
            opened = exchange.head.is_some(),
            after_millis = self.context.now().since(exchange.sent_at).as_millis() as u64;
            "dispatch_broken"
        );
        self.context
            .metrics
            .dispatch_ended(exchange.purpose.name(), "broken");
        lock(&self.context.router).on_broken(&exchange.ticket, self.context.now());
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

    /// Gives up what is still under way when the course ends.
    pub(super) fn drop_exchange(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            lock(&self.context.router).on_abandoned(&exchange.ticket);
        }
    }

    /// Head of the answer that is coming in.
    pub(super) fn current_head(&self) -> Option<&AnswerHead> {
        self.exchange.as_ref()?.head.as_ref()
    }
}

/// Seconds as whole milliseconds, for the log.
fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}
