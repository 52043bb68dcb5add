//! Speaks with engines on threads of their own, so that a course never waits for one of them alone.

use crate::context::Context;
use shelfjunction_core::engine::{AnswerPart, EngineCall};
use shelfjunction_core::identity::{AttemptId, EngineId, RequestId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::specification::Target;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::engine::{AnswerStream, CallError};
use shelfjunction_threads::lock;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::thread::Builder;

/// Hands a request to an engine unless its time has passed, and reads the answer.
pub(super) fn dispatch(
    context: &Arc<Context>,
    events: &SyncSender<Event>,
    target: Target,
    call: Box<EngineCall>,
    not_after: MonotonicTime,
) {
    let attempt = call.attempt.clone();
    let attempt_of_thread = attempt.clone();
    let (context, sender) = (Arc::clone(context), events.clone());
    let work = move || {
        // Read right before the send: a process that was frozen in between finds its time passed.
        if context.now() > not_after {
            let attempt = attempt_of_thread;
            return send(&sender, Event::DispatchTooLate { attempt });
        }
        context.metrics.dispatches.inc();
        let opened = context.backends.engines.call(target.address, &call);
        read(&sender, &attempt_of_thread, opened);
    };
    if Builder::new().name("engine-call".to_owned()).spawn(work).is_err() {
        send_aside(events, Event::NotSent { attempt });
    }
}

/// Reads an answer on from an offset.
pub(super) fn resume(
    context: &Arc<Context>,
    events: &SyncSender<Event>,
    engine: &EngineId,
    request: RequestId,
    attempt: AttemptId,
    offset: u32,
) {
    let Some(address) = lock(&context.fleet).address(engine) else {
        return send_aside(events, Event::NotSent { attempt });
    };
    let attempt_of_thread = attempt.clone();
    let (context, sender) = (Arc::clone(context), events.clone());
    let work = move || {
        context.metrics.resumes.inc();
        let opened = context.backends.engines.resume(address, &request, offset);
        read(&sender, &attempt_of_thread, opened);
    };
    if Builder::new()
        .name("engine-resume".to_owned())
        .spawn(work)
        .is_err()
    {
        send_aside(events, Event::NotSent { attempt });
    }
}

/// Asks an engine what became of a request.
pub(super) fn ask_run_state(
    context: &Arc<Context>,
    events: &SyncSender<Event>,
    engine: EngineId,
    request: RequestId,
) {
    let unavailable = Event::RunStateUnavailable {
        engine: engine.clone(),
    };
    let Some(address) = lock(&context.fleet).address(&engine) else {
        return send_aside(events, unavailable);
    };
    let (context, sender) = (Arc::clone(context), events.clone());
    let unavailable_of_thread = unavailable.clone();
    let work = move || {
        let event = match context.backends.engines.run_state(address, &request) {
            Ok(state) => Event::RunStateKnown { engine, state },
            Err(_) => unavailable_of_thread,
        };
        send(&sender, event);
    };
    if Builder::new().name("engine-ask".to_owned()).spawn(work).is_err() {
        send_aside(events, unavailable);
    }
}

/// Asks an engine to stop working for a request; nobody waits for it.
pub(super) fn cancel(context: &Arc<Context>, engine: &EngineId, request: RequestId) {
    let Some(address) = lock(&context.fleet).address(engine) else {
        return;
    };
    let context = Arc::clone(context);
    let work = move || {
        if let Err(error) = context.backends.engines.cancel(address, &request) {
            log::debug!(request:% = request, error:? = error; "cancel_unanswered");
        }
    };
    if let Err(error) = Builder::new().name("engine-cancel".to_owned()).spawn(work) {
        log::warn!(error:% = error; "cancel_thread_failed");
    }
}

/// Sends an event without waiting for room: the sender may be a thread that serves many courses.
pub(crate) fn send_aside(events: &SyncSender<Event>, event: Event) {
    if let Err(TrySendError::Full(event)) = events.try_send(event) {
        let events = events.clone();
        let work = move || send(&events, event);
        if let Err(error) = Builder::new().name("event-aside".to_owned()).spawn(work) {
            log::warn!(error:% = error; "event_thread_failed");
        }
    }
}

fn read(events: &SyncSender<Event>, attempt: &AttemptId, opened: Result<Box<dyn AnswerStream>, CallError>) {
    let attempt = attempt.clone();
    match opened {
        Ok(stream) => {
            send(
                events,
                Event::Opened {
                    attempt: attempt.clone(),
                },
            );
            read_parts(events, attempt, stream);
        }
        Err(CallError::Refused(refusal)) => send(events, Event::Refused { attempt, refusal }),
        Err(CallError::NotSent) => send(events, Event::NotSent { attempt }),
        Err(CallError::Ambiguous) => send(events, Event::Ambiguous { attempt }),
    }
}

/// Hands on parts until the stream ends or its course is over; a slow course holds the engine's stream back.
fn read_parts(events: &SyncSender<Event>, attempt: AttemptId, mut stream: Box<dyn AnswerStream>) {
    loop {
        match stream.next_part() {
            Ok(Some(part)) => {
                let last = matches!(part, AnswerPart::Finished { .. } | AnswerPart::Failed { .. });
                let event = Event::Part {
                    attempt: attempt.clone(),
                    part,
                };
                if events.send(event).is_err() || last {
                    return;
                }
            }
            Ok(None) | Err(_) => return send(events, Event::Disconnected { attempt }),
        }
    }
}

/// A course that is over takes nothing more, and that is no fault.
fn send(events: &SyncSender<Event>, event: Event) {
    let _ = events.send(event);
}
