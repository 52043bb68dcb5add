//! A course's writes to claim rows, those included whose answer comes after the course is over.

use super::engine_calls;
use crate::context::Context;
use shelfjunction_core::ledger::batcher::{ClaimWrite, WriteAnswer};
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::{Arc, Mutex};

/// Holds the machine of a course that ended before its claim was answered.
#[derive(Default)]
pub(super) struct ClaimCalls {
    left: Arc<Mutex<Option<RequestMachine>>>,
}

impl ClaimCalls {
    /// Asks for a claim; its answer goes to the course, or to the machine that the course left behind.
    pub(super) fn claim(
        &self,
        context: &Arc<Context>,
        events: &SyncSender<Event>,
        write: ClaimWrite,
        now: MonotonicTime,
    ) {
        context.metrics.claims.inc();
        let (context_of_reply, events, left) = (Arc::clone(context), events.clone(), Arc::clone(&self.left));
        context.claims.write(write, now, move |answer| {
            let event = claim_event(answer);
            if matches!(event, Event::ClaimExists(_)) {
                context_of_reply.metrics.claims_met.inc();
            }
            match lock(&left).as_mut() {
                None => engine_calls::send_aside(&events, event),
                Some(machine) => hand_in_late(&context_of_reply, machine, event),
            }
        });
    }

    /// Asks what the row of a claim holds.
    pub(super) fn look_up(
        &self,
        context: &Context,
        events: &SyncSender<Event>,
        key: RowKey,
        now: MonotonicTime,
    ) {
        let events = events.clone();
        context
            .claims
            .write(ClaimWrite::look_up(key), now, move |answer| {
                engine_calls::send_aside(&events, claim_event(answer));
            });
    }

    /// Leaves the machine for an answer that is still to come, and hands in one that came just now.
    pub(super) fn leave(&self, context: &Context, machine: &mut RequestMachine, events: &Receiver<Event>) {
        if !machine.awaits_claim() {
            return;
        }
        let mut left = lock(&self.left);
        while let Ok(event) = events.try_recv() {
            hand_in_late(context, machine, event);
        }
        *left = Some(machine.clone());
    }
}

/// Carries out what nobody waits for.
pub(super) fn carry_out_aside(context: &Context, action: Action, now: MonotonicTime) {
    match action {
        Action::Release(release) => context.claims.release(release),
        Action::Settle { key, row, expected } => {
            let write = ClaimWrite {
                key,
                expected: Some(expected),
                value: Some(row.text()),
            };
            context.claims.write_later(write, now);
        }
        _ => {}
    }
}

fn hand_in_late(context: &Context, machine: &mut RequestMachine, event: Event) {
    let now = context.now();
    for action in machine.handle(event, now) {
        carry_out_aside(context, action, now);
    }
}

fn claim_event(answer: WriteAnswer) -> Event {
    match answer {
        WriteAnswer::Committed { version } => Event::ClaimCommitted { version },
        WriteAnswer::Absent => Event::ClaimAbsent,
        WriteAnswer::Exists(claim) => Event::ClaimExists(claim),
        WriteAnswer::Gone => Event::ClaimFailed(PlatformError::Malformed("the claim is gone".to_owned())),
        WriteAnswer::Failed(error) => Event::ClaimFailed(error),
    }
}
