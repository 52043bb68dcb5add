//! The loop that drives one request's machine.

use super::claim_calls::{self, ClaimCalls};
use super::dispatch_account::DispatchAccount;
use super::engine_calls;
use super::sink::{AnswerSink, Delivery, SinkClosed};
use crate::context::Context;
use crate::metrics::{cause_name, outcome_name};
use shelfjunction_core::admission::AdmissionTicket;
use shelfjunction_core::engine::{AnswerPart, EngineCall, Phase, Role};
use shelfjunction_core::identity::{EngineId, RequestId};
use shelfjunction_core::ledger::batcher::ClaimWrite;
use shelfjunction_core::outcome::{Outcome, Refusal};
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{Placement, Target};
use shelfjunction_core::routing::{Route, RouteQuery};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::Duration;

/// Longest wait before it is looked whether the caller is still there.
const CALLER_CHECK: Duration = Duration::from_millis(500);

/// When to come back after no engine could be chosen.
const NOWHERE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One request that is ready to run.
pub(crate) struct Course<'a> {
    pub(crate) context: &'a Arc<Context>,
    pub(crate) machine: RequestMachine,
    pub(crate) query: RouteQuery,
    pub(crate) admission: Option<&'a AdmissionTicket>,
    pub(crate) arrived: MonotonicTime,
    pub(crate) events: (SyncSender<Event>, Receiver<Event>),
    pub(crate) delivered: Arc<AtomicU32>,
}

/// How a course ended.
#[derive(Clone, Debug)]
pub(crate) struct CourseEnd {
    /// Absent: the caller went away and the engine goes on.
    pub(crate) outcome: Option<Outcome>,
    /// The request, as engines know it; another one's where its claim was joined.
    pub(crate) request: RequestId,
    /// The engine that was asked last.
    pub(crate) engine: Option<EngineId>,
    /// Output tokens handed to the caller.
    pub(crate) tokens: u32,
}

struct Driver<'a, 's> {
    course: Course<'a>,
    sink: &'s mut dyn AnswerSink,
    pending: VecDeque<Action>,
    deferred: Option<(MonotonicTime, Action)>,
    dispatch: DispatchAccount,
    engine: Option<EngineId>,
    claim_calls: ClaimCalls,
    tokens: u32,
    caller_gone: bool,
}

/// Runs a course to its end, beginning with the given actions.
pub(crate) fn drive(course: Course<'_>, first: Vec<Action>, sink: &mut dyn AnswerSink) -> CourseEnd {
    let mut driver = Driver {
        course,
        sink,
        pending: first.into(),
        deferred: None,
        dispatch: DispatchAccount::default(),
        engine: None,
        claim_calls: ClaimCalls::default(),
        tokens: 0,
        caller_gone: false,
    };
    loop {
        if let Some(outcome) = driver.carry_out_pending() {
            return driver.end(outcome);
        }
        if let Some(event) = driver.next_event() {
            driver.take(event);
        }
    }
}

impl Driver<'_, '_> {
    /// Carries out what is pending; present when the course is over.
    fn carry_out_pending(&mut self) -> Option<Option<Outcome>> {
        while let Some(action) = self.pending.pop_front() {
            match action {
                Action::Finish(outcome) => return Some(Some(outcome)),
                Action::Detach => return Some(None),
                action => self.carry_out(action),
            }
        }
        None
    }

    fn take(&mut self, event: Event) {
        let now = self.course.context.now();
        self.dispatch.observe(self.course.context, &event, now);
        let actions = self.course.machine.handle(event, now);
        self.pending.extend(actions);
    }

    /// Waits for the next event; absent when a deferred action has come due instead.
    fn next_event(&mut self) -> Option<Event> {
        let now = self.course.context.now();
        let deadline = self.course.machine.specification().deadline;
        if now >= deadline {
            return Some(Event::DeadlineReached);
        }
        if self.caller_gone {
            return Some(Event::CallerGone);
        }
        if self.deferred.as_ref().is_some_and(|(due, _)| *due <= now) {
            let action = self.deferred.take().map(|(_, action)| action);
            self.pending.extend(action);
            return None;
        }
        let due = self.deferred.as_ref().map_or(deadline, |(due, _)| *due);
        let wait = due.min(deadline).since(now).min(CALLER_CHECK);
        match self.course.events.1.recv_timeout(wait) {
            Ok(event) => Some(event),
            Err(RecvTimeoutError::Timeout) => {
                self.caller_gone = self.sink.caller_is_gone();
                None
            }
            Err(RecvTimeoutError::Disconnected) => Some(Event::DeadlineReached),
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.course.context.now();
        let sender = &self.course.events.0.clone();
        match action {
            Action::Choose { not_before, .. } | Action::AskRunState { not_before, .. }
                if not_before > now =>
            {
                self.deferred = Some((not_before, action));
            }
            Action::Choose {
                excluded, whole_only, ..
            } => self.choose(excluded, whole_only, now),
            Action::Claim { key, row, expected } => {
                let write = ClaimWrite {
                    key,
                    expected,
                    value: Some(row.text()),
                };
                self.claim_calls.claim(self.course.context, sender, write, now);
            }
            Action::LookUpClaim { key } => self.claim_calls.look_up(self.course.context, sender, key, now),
            Action::Dispatch {
                target,
                call,
                not_after,
            } => {
                self.count_dispatch(&target, &call, now);
                engine_calls::dispatch(self.course.context, sender, target, call, not_after);
            }
            Action::Resume {
                engine,
                attempt,
                offset,
            } => {
                self.engine = Some(engine.clone());
                let request = self.course.machine.specification().request.clone();
                engine_calls::resume(self.course.context, sender, &engine, request, attempt, offset);
            }
            Action::AskRunState { engine, .. } => {
                self.engine = Some(engine.clone());
                let request = self.course.machine.specification().request.clone();
                engine_calls::ask_run_state(self.course.context, sender, engine, request);
            }
            Action::AskRetry { tried } => self.ask_retry(tried, now),
            Action::Emit(part) => self.emit(&part, now),
            Action::Cancel { engine } => {
                let request = self.course.machine.specification().request.clone();
                engine_calls::cancel(self.course.context, &engine, request);
            }
            action => claim_calls::carry_out_aside(self.course.context, action, now),
        }
    }

    fn choose(&mut self, excluded: Vec<EngineId>, whole_only: bool, now: MonotonicTime) {
        let context = self.course.context;
        let mut query = self.course.query.clone();
        query.excluded = excluded;
        let fleet = lock(&context.fleet);
        if whole_only {
            let one_phase = fleet
                .router
                .engines()
                .filter(|(_, view)| view.role() != Role::Mixed);
            query.excluded.extend(one_phase.map(|(engine, _)| engine.clone()));
        }
        let route = context.with_random(|random| fleet.router.choose(&query, now, random));
        let target = |engine: EngineId, address| Target {
            incarnation: fleet.incarnation(&engine),
            engine,
            address,
        };
        let event = match route {
            Route::Whole { engine, address } => Event::Placed(Placement::Whole(target(engine, address))),
            Route::Split { prefill, decode } => Event::Placed(Placement::Split {
                prefill: target(prefill.engine, prefill.address),
                decode: target(decode.engine, decode.address),
            }),
            Route::Nowhere(reason) => Event::Nowhere(Refusal {
                reason,
                retry_after: Some(NOWHERE_RETRY_AFTER),
            }),
        };
        drop(fleet);
        self.take(event);
    }

    fn ask_retry(&mut self, tried: u32, now: MonotonicTime) {
        let context = self.course.context;
        let event = if lock(&context.retry_budget).withdraw() {
            context.metrics.retries.inc();
            let pause = context.with_random(|random| context.backoff.pause(tried, random));
            Event::RetryGranted {
                not_before: now + pause,
            }
        } else {
            context.metrics.retries_denied.inc();
            Event::RetryDenied
        };
        self.take(event);
    }

    fn emit(&mut self, part: &AnswerPart, now: MonotonicTime) {
        let delivery = Delivery {
            request: &self.course.machine.specification().request,
            engine: self.engine.as_ref(),
        };
        let delivered = match part {
            AnswerPart::Token { offset, text, .. } => self.sink.token(delivery, *offset, text),
            AnswerPart::Finished {
                tokens,
                cached_prompt_tokens,
                ..
            } => self.sink.finished(delivery, *tokens, *cached_prompt_tokens),
            _ => Ok(()),
        };
        match part {
            AnswerPart::Token { .. } if delivered.is_ok() => self.count_token(now),
            AnswerPart::Finished {
                tokens,
                cached_prompt_tokens,
                ..
            } => self.learn_lengths(*tokens, *cached_prompt_tokens, now),
            _ => {}
        }
        if delivered == Err(SinkClosed) {
            self.caller_gone = true;
        }
    }

    fn count_token(&mut self, now: MonotonicTime) {
        let context = self.course.context;
        if self.tokens == 0 {
            context.metrics.first_token(now.since(self.course.arrived));
            if let Some(ticket) = self.course.admission {
                context.admission.on_first_output(ticket, now);
            }
        }
        self.tokens += 1;
        self.course.delivered.fetch_add(1, Ordering::Relaxed);
        context.metrics.tokens.inc();
    }

    fn learn_lengths(&mut self, tokens: u32, cached: u32, now: MonotonicTime) {
        let context = self.course.context;
        context.metrics.whole_answer(now.since(self.course.arrived));
        let query = &self.course.query;
        lock(&context.demand).on_finished(&query.model, query.class, query.prompt_tokens, cached, tokens);
    }

    fn count_dispatch(&mut self, target: &Target, call: &EngineCall, now: MonotonicTime) {
        let context = self.course.context;
        let query = &self.course.query;
        let part = match (call.phase, &call.import) {
            (Phase::PrefillOnly, _) => query.prefill_query(),
            (Phase::Whole, Some(_)) => query.decode_query(),
            (Phase::Whole, None) => query.clone(),
        };
        let attempt = call.attempt.clone();
        self.dispatch.begin(context, target, attempt, &part, now);
        let zone = lock(&context.fleet).zone(&target.engine);
        let request = &self.course.machine.specification().request;
        context.registry.placed(request, &target.engine, zone);
        self.engine = Some(target.engine.clone());
    }

    fn end(mut self, outcome: Option<Outcome>) -> CourseEnd {
        let context = self.course.context;
        self.dispatch.abandon(context);
        let (machine, events) = (&mut self.course.machine, &self.course.events.1);
        self.claim_calls.leave(context, machine, events);
        let specification = self.course.machine.specification();
        let engine = self.engine.clone();
        log_end(
            context,
            &self.course,
            outcome.as_ref(),
            engine.as_ref(),
            self.tokens,
        );
        CourseEnd {
            request: specification.request.clone(),
            outcome,
            engine,
            tokens: self.tokens,
        }
    }
}

fn log_end(
    context: &Context,
    course: &Course<'_>,
    outcome: Option<&Outcome>,
    engine: Option<&EngineId>,
    tokens: u32,
) {
    let specification = course.machine.specification();
    let generation = context.bundles.served();
    log::info!(
        request:% = specification.request,
        tenant:% = specification.tenant,
        zone:% = context.config.zone,
        generation = generation.map_or(0, |served| served.bundle.generation().0),
        model:% = specification.model,
        outcome = outcome_name(outcome),
        cause = cause_name(outcome).as_str(),
        engine = engine.map_or("", |engine| engine.as_str()),
        tokens = tokens,
        millis = context.now().since(course.arrived).as_millis() as u64;
        "request_ended"
    );
}
