//! Reads the answer of an earlier request again, from any offset, and cancels requests.

use super::access::{self, Caller};
use super::answers::AnswerFrame;
use super::call::CallShape;
use super::completion::{EVENTS_KEPT, end_error, end_id};
use super::refusal::{CallerError, JSON};
use super::sinks::{EventSink, WholeSink};
use crate::config::millis;
use crate::context::Context;
use crate::course::{AnswerSink, Course, CourseEnd, drive};
use crate::identifiers::{engine_request, parse_public};
use crate::watch::retention::unix_seconds;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::RunState;
use shelfjunction_core::identity::{EngineId, ModelId, RequestId};
use shelfjunction_core::outcome::{Failure, Outcome, RefusalReason};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{CourseLimits, RequestForm, RequestSpecification};
use shelfjunction_core::routing::RouteQuery;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_http::{Answer, Answered, HttpRequest, Responder};
use shelfjunction_protocol::caller::{CancelAnswer, REQUEST_ID};
use shelfjunction_threads::lock;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::mpsc::sync_channel;

/// One request of the caller, at the engine that holds its answer.
struct HeldAnswer {
    request: RequestId,
    engine: EngineId,
}

/// Serves `GET /v1/requests/{id}`.
pub(super) fn serve(
    context: &Arc<Context>,
    id: &str,
    request: &HttpRequest,
    responder: Responder<'_>,
) -> Answered {
    let found = access::authenticate(context, request)
        .and_then(|caller| find(context, &caller, id).map(|held| (caller, held)))
        .and_then(|found| read_offset(request).map(|offset| (found, offset)));
    let ((caller, held), offset) = match found {
        Ok(found) => found,
        Err(error) => return responder.answer(&error.answer(Some(id))),
    };
    let Some(_place) = context.registry.take_place() else {
        let error = CallerError::not_run(RefusalReason::Overloaded, "Every place for answers is taken.");
        return responder.answer(&error.answer(Some(id)));
    };
    let frame = AnswerFrame {
        shape: CallShape::Completion,
        model: String::new(),
        prompt_tokens: 0,
        max_tokens: 0,
    };
    if request.query_value("stream") == Some("false") {
        let limit = context.config.requests.answer_bytes;
        let mut sink = WholeSink::new(frame, responder, limit);
        let end = read_again(context, &caller, held, offset, &mut sink);
        return sink.end(&end_id(&end), end_error(&end, false).as_ref());
    }
    let mut sink = EventSink::new(frame, responder);
    let end = read_again(context, &caller, held, offset, &mut sink);
    sink.end(&end_id(&end), end_error(&end, false).as_ref())
}

/// Serves `DELETE /v1/requests/{id}`.
pub(super) fn cancel(context: &Arc<Context>, id: &str, request: &HttpRequest) -> Answer {
    let cancelled =
        access::authenticate(context, request).and_then(|caller| cancel_held(context, &caller, id));
    match cancelled {
        Ok(cancelled) => {
            let answer = CancelAnswer {
                id: id.to_owned(),
                cancelled,
            };
            Answer::new(200, JSON, serde_json::to_vec(&answer).unwrap_or_default())
                .with_header(REQUEST_ID, id)
        }
        Err(error) => error.answer(Some(id)),
    }
}

fn cancel_held(context: &Arc<Context>, caller: &Caller, id: &str) -> Result<bool, CallerError> {
    let public = parse_public(id).ok_or_else(CallerError::unknown_request)?;
    let request = engine_request(&public.nonce, &caller.salt);
    if let Some(running) = context.registry.get(&request) {
        // A course that ends in this moment takes nothing more, and has nothing left to cancel.
        return Ok(running.events.try_send(Event::CallerCancelled).is_ok());
    }
    let held = find(context, caller, id)?;
    let address = lock(&context.fleet).address(&held.engine);
    let address = address.ok_or_else(CallerError::unknown_request)?;
    let cancelled = context.backends.engines.cancel(address, &held.request);
    Ok(cancelled.is_ok())
}

/// Finds a request of the caller; one of another tenant is no more to be found than one that never was.
fn find(context: &Context, caller: &Caller, id: &str) -> Result<HeldAnswer, CallerError> {
    let public = parse_public(id).ok_or_else(CallerError::unknown_request)?;
    let request = engine_request(&public.nonce, &caller.salt);
    let running = context.registry.get(&request);
    let tag = public.engine_tag.as_deref();
    let fleet = lock(&context.fleet);
    let engine = running
        .and_then(|running| running.engine)
        .or_else(|| fleet.engine_with_tag(tag?))
        .ok_or_else(CallerError::unknown_request)?;
    let in_place = fleet
        .zone(&engine)
        .is_some_and(|zone| caller.zones.contains(&zone));
    let address = fleet.address(&engine).filter(|_| in_place);
    drop(fleet);
    let address = address.ok_or_else(CallerError::unknown_request)?;
    match context.backends.engines.run_state(address, &request) {
        Ok(RunState::NeverSeen { .. }) => Err(CallerError::unknown_request()),
        Ok(_) => Ok(HeldAnswer { request, engine }),
        Err(_) => {
            let lost = Outcome::Unknown(Failure::ConnectionLost);
            Err(CallerError::of_outcome(&lost, false).unwrap_or_else(CallerError::unknown_request))
        }
    }
}

fn read_offset(request: &HttpRequest) -> Result<u32, CallerError> {
    let Some(text) = request.query_value("offset") else {
        return Ok(0);
    };
    text.parse().map_err(|_| {
        CallerError::not_run(
            RefusalReason::InvalidRequest,
            "offset must be a number of tokens.",
        )
    })
}

fn read_again(
    context: &Arc<Context>,
    caller: &Caller,
    held: HeldAnswer,
    offset: u32,
    sink: &mut dyn AnswerSink,
) -> CourseEnd {
    let now = context.now();
    let model = ModelId::new("");
    let specification = RequestSpecification {
        form: RequestForm::Text,
        request: held.request,
        tenant: caller.tenant.tenant.clone(),
        model: model.clone(),
        adapter: None,
        kind: ModelKind::Model,
        class: ServiceClass::Standard,
        prompt: String::new(),
        max_tokens: 0,
        cache_salt: caller.salt.clone(),
        key: None,
        deadline: now + millis(context.config.requests.maximum_deadline_millis),
        admitted_unix_seconds: unix_seconds(),
    };
    let query = RouteQuery {
        model,
        adapter: None,
        kind: ModelKind::Model,
        prompt_blocks: Vec::new(),
        prompt_tokens: 0,
        expected_output_tokens: 0,
        class: ServiceClass::Standard,
        allowed_zones: caller.zones.clone(),
        home_zone: context.config.zone.clone(),
        excluded: Vec::new(),
    };
    let limits = CourseLimits::default();
    let (machine, first) = RequestMachine::rejoin(specification, limits, held.engine, offset, now);
    let course = Course {
        context,
        machine,
        query,
        admission: None,
        arrived: now,
        events: sync_channel(EVENTS_KEPT),
        delivered: Arc::new(AtomicU32::new(0)),
    };
    drive(course, first, sink)
}
