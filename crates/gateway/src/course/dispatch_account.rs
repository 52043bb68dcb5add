//! Tells the router what becomes of a course's dispatches.

use crate::context::Context;
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::specification::Target;
use shelfjunction_core::routing::{DispatchTicket, FinishedWork, RouteQuery};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// The dispatch that is open, if any.
#[derive(Default)]
pub(super) struct DispatchAccount {
    open: Option<OpenDispatch>,
}

struct OpenDispatch {
    engine: EngineId,
    attempt: AttemptId,
    ticket: DispatchTicket,
    first_part: Option<Duration>,
    tokens: u32,
}

impl DispatchAccount {
    /// Notes a dispatch; one that is still open counts as abandoned.
    pub(super) fn begin(
        &mut self,
        context: &Context,
        target: &Target,
        attempt: AttemptId,
        query: &RouteQuery,
        now: MonotonicTime,
    ) {
        self.abandon(context);
        let ticket = lock(&context.fleet)
            .router
            .on_dispatched(&target.engine, query, now);
        self.open = Some(OpenDispatch {
            engine: target.engine.clone(),
            attempt,
            ticket,
            first_part: None,
            tokens: 0,
        });
    }

    /// Notes that the open dispatch no longer matters, for a cause that is not the engine's.
    pub(super) fn abandon(&mut self, context: &Context) {
        if let Some(open) = self.open.take() {
            lock(&context.fleet)
                .router
                .on_abandoned(&open.engine, &open.ticket);
        }
    }

    /// Notes an event of the open dispatch.
    pub(super) fn observe(&mut self, context: &Context, event: &Event, now: MonotonicTime) {
        let Some(open) = self.open.as_mut() else {
            return;
        };
        if event_attempt(event) != Some(&open.attempt) {
            return;
        }
        match event {
            Event::Part { part, .. } => {
                open.on_part(context, part, now);
                match part {
                    AnswerPart::Token { .. } => {}
                    AnswerPart::Prefilled { .. } | AnswerPart::Finished { .. } => self.finish(context, now),
                    AnswerPart::Failed { .. } => self.abandon(context),
                }
            }
            Event::Refused { refusal, .. } => {
                lock(&context.fleet)
                    .router
                    .on_refused(&open.engine, &open.ticket, refusal.reason, now);
                self.open = None;
            }
            Event::NotSent { .. } | Event::Ambiguous { .. } | Event::Disconnected { .. } => {
                lock(&context.fleet)
                    .router
                    .on_connection_failed(&open.engine, &open.ticket, now);
                self.open = None;
            }
            Event::DispatchTooLate { .. } => self.abandon(context),
            _ => {}
        }
    }

    fn finish(&mut self, context: &Context, now: MonotonicTime) {
        if let Some(open) = self.open.take() {
            let work = FinishedWork {
                output_tokens: open.tokens,
                first_token: open.first_part,
                total: now.since(open.ticket.sent_at),
            };
            lock(&context.fleet)
                .router
                .on_finished(&open.engine, &open.ticket, &work, now);
        }
    }
}

impl OpenDispatch {
    fn on_part(&mut self, context: &Context, part: &AnswerPart, now: MonotonicTime) {
        if matches!(part, AnswerPart::Token { .. }) {
            self.tokens += 1;
        }
        if self.first_part.is_none() {
            self.first_part = Some(now.since(self.ticket.sent_at));
            lock(&context.fleet)
                .router
                .on_first_output(&self.engine, &self.ticket, now);
        }
    }
}

fn event_attempt(event: &Event) -> Option<&AttemptId> {
    match event {
        Event::Part { attempt, .. }
        | Event::Refused { attempt, .. }
        | Event::NotSent { attempt }
        | Event::Ambiguous { attempt }
        | Event::Disconnected { attempt }
        | Event::DispatchTooLate { attempt } => Some(attempt),
        _ => None,
    }
}
