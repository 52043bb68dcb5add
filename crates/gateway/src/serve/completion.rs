//! Completion calls: admission, then the request's course.

use super::access::{self, Caller};
use super::answers::AnswerFrame;
use super::call::{self, Call, CallShape};
use super::keyed_refusal;
use super::refusal::{CallerError, refusal_sentence};
use super::sinks::{EventSink, WholeSink};
use crate::admission_gate::Waited;
use crate::context::Context;
use crate::course::{Course, CourseEnd, drive};
use crate::identifiers::{engine_request, new_nonce, public_id};
use crate::registry::RunningRequest;
use crate::tenant_rates::{self, ChargedCall};
use crate::watch::retention::unix_seconds;
use shelfjunction_core::admission::{AdmissionQuery, AdmissionTicket, TenantLimits};
use shelfjunction_core::identity::RequestId;
use shelfjunction_core::outcome::{Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{CourseLimits, RequestForm, RequestSpecification};
use shelfjunction_core::routing::RouteQuery;
use shelfjunction_core::routing::prefix::{PrefixScope, hash_prompt};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_http::{Answered, HttpRequest, Responder};
use shelfjunction_protocol::caller::IDEMPOTENCY_KEY;
use shelfjunction_threads::lock;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// Events that wait for a course; beyond them the engine's stream is held back.
pub(super) const EVENTS_KEPT: usize = 64;

/// Longest wait for admission before it is looked whether the caller is still there.
const ADMISSION_STEP: Duration = Duration::from_millis(500);

/// Every place for requests is taken.
const FULL: Refusal = Refusal {
    reason: RefusalReason::Overloaded,
    retry_after: Some(Duration::from_secs(1)),
};

/// Serves one completion call.
pub(super) fn serve(
    context: &Arc<Context>,
    shape: CallShape,
    request: &HttpRequest,
    responder: Responder<'_>,
) -> Answered {
    let arrived = context.now();
    let nonce = context.with_random(new_nonce);
    let early_id = format!("req-{nonce}");
    let stopping = access::stopping(context);
    // A node that stops still looks at the claim of a key, so that it says "not run" only where it is so.
    let caller = match stopping {
        Some(_) if request.header_count(IDEMPOTENCY_KEY) > 0 => access::identify(context, request),
        _ => access::authenticate(context, request),
    };
    let caller = match caller {
        Ok(caller) => caller,
        Err(error) => return refuse(responder, &error, &early_id, ""),
    };
    let tenant = caller.tenant.tenant.as_str();
    let call = match call::read(shape, request, &caller, &context.config.requests) {
        Ok(call) => call,
        Err(error) => {
            context.metrics.bad_input("invalid_call");
            return refuse(responder, &error, &early_id, tenant);
        }
    };
    let place = match stopping {
        Some(refusal) => Err(refusal),
        None => context.registry.take_place().ok_or(FULL),
    };
    let _place = match place {
        Ok(place) => place,
        Err(refusal) => {
            let error = keyed_refusal::state(context, &caller.tenant.tenant, call.key.as_ref(), &refusal);
            return refuse(responder, &error, &early_id, tenant);
        }
    };
    let request = engine_request(&nonce, &caller.salt);
    let admitted = Admitted::new(context, &caller, &call, request, arrived);
    context.usage.begin(&caller.tenant.tenant);
    context.metrics.in_flight.inc();
    let (answered, outcome, tokens) = admitted.run(responder);
    context.metrics.in_flight.dec();
    context.metrics.ended(outcome.as_ref(), call.class);
    let prompt_tokens = admitted.query.prompt_tokens;
    context
        .usage
        .end(&caller.tenant.tenant, outcome.as_ref(), prompt_tokens, tokens);
    answered
}

/// Refuses a call before its course began.
fn refuse(responder: Responder<'_>, error: &CallerError, id: &str, tenant: &str) -> Answered {
    log::info!(
        request = id,
        tenant = tenant,
        outcome = error.outcome_name(),
        cause = error.code.as_str();
        "request_refused"
    );
    responder.answer(&error.answer(Some(id)))
}

/// One call with everything that its course needs.
struct Admitted<'a> {
    context: &'a Arc<Context>,
    caller: &'a Caller,
    call: &'a Call,
    request: RequestId,
    query: RouteQuery,
    arrived: MonotonicTime,
    deadline: MonotonicTime,
}

impl<'a> Admitted<'a> {
    fn new(
        context: &'a Arc<Context>,
        caller: &'a Caller,
        call: &'a Call,
        request: RequestId,
        arrived: MonotonicTime,
    ) -> Self {
        let scope = PrefixScope {
            salt: &caller.salt,
            model: &call.model,
            adapter: call.adapter.as_ref(),
        };
        let blocks = hash_prompt(&scope, &call.prompt);
        let mut demand = lock(&context.demand);
        demand.on_arrival(&call.model, call.class, blocks.tokens, arrived);
        let expected = demand.expected_output_tokens(&call.model, call.class, call.max_tokens);
        drop(demand);
        let query = RouteQuery {
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            kind: call.kind,
            prompt_blocks: blocks.hashes,
            prompt_tokens: blocks.tokens,
            expected_output_tokens: expected,
            class: call.class,
            allowed_zones: caller.zones.clone(),
            home_zone: context.config.zone.clone(),
            excluded: Vec::new(),
        };
        Self {
            context,
            caller,
            call,
            request,
            query,
            arrived,
            deadline: arrived + call.deadline,
        }
    }

    /// Runs the call; the outcome is absent where the caller went away while it ran.
    fn run(&self, responder: Responder<'_>) -> (Answered, Option<Outcome>, u32) {
        let (ticket, first) = match self.admit(&responder) {
            Ok(ticket) => {
                lock(&self.context.retry_budget).deposit();
                (Some(ticket), Event::Admitted)
            }
            // The course looks at the key's claim, and joins it where there is one.
            Err(refusal) if self.call.key.is_some() => (None, Event::NotAdmitted(refusal)),
            Err(refusal) => {
                let error = CallerError::refused(&refusal, refusal_sentence(refusal.reason));
                let id = public_id(&self.request, None);
                let answered = refuse(responder, &error, &id, self.caller.tenant.tenant.as_str());
                return (answered, Some(Outcome::NotRun(refusal)), 0);
            }
        };
        let (answered, end) = self.answer(responder, ticket.as_ref(), first);
        if let Some(ticket) = ticket {
            let now = self.context.now();
            self.context.admission.release(ticket, end.tokens, now);
        }
        (answered, end.outcome, end.tokens)
    }

    /// Drives the course to its end and hands its answer to the caller.
    fn answer(
        &self,
        responder: Responder<'_>,
        ticket: Option<&AdmissionTicket>,
        first: Event,
    ) -> (Answered, CourseEnd) {
        let frame = AnswerFrame {
            shape: self.call.shape,
            model: self.call.name.clone(),
            prompt_tokens: self.query.prompt_tokens,
            max_tokens: self.call.max_tokens,
        };
        if self.call.stream {
            let mut sink = EventSink::new(frame, responder);
            let end = self.drive(ticket, first, &mut sink);
            (sink.end(&end_id(&end), self.error(&end).as_ref()), end)
        } else {
            let limit = self.context.config.requests.answer_bytes;
            let mut sink = WholeSink::new(frame, responder, limit);
            let end = self.drive(ticket, first, &mut sink);
            (sink.end(&end_id(&end), self.error(&end).as_ref()), end)
        }
    }

    /// Time to the first token within which the class counts as served well.
    fn first_token_limit(&self) -> Option<Duration> {
        let classes = &self.caller.served.bundle.fleet.classes;
        let rule = classes.iter().find(|rule| rule.class == self.call.class)?;
        Some(Duration::from_millis(rule.target.first_token_millis))
    }

    fn admit(&self, responder: &Responder<'_>) -> Result<AdmissionTicket, Refusal> {
        let context = self.context;
        let rule = &self.caller.tenant;
        // First, so that what is over the tenant's rate takes no place in a queue.
        let generation = self.caller.served.bundle.generation();
        let tokens = (self.query.prompt_tokens, self.call.max_tokens);
        let mut charged = tenant_rates::charge(context, rule, generation, tokens)?;
        let now = context.now();
        let estimate = lock(&context.fleet).router.estimate(&self.query, now);
        let query = AdmissionQuery {
            tenant: rule.tenant.clone(),
            limits: TenantLimits {
                requests_per_second: rule.requests_per_second,
                tokens_in_flight: rule.tokens_in_flight,
                share: rule.share,
            },
            class: self.call.class,
            model: self.call.model.clone(),
            prompt_tokens: self.query.prompt_tokens,
            expected_output_tokens: self.query.expected_output_tokens,
            first_token: self.first_token_limit(),
            deadline: self.deadline.since(now),
            estimate,
        };
        let ticket = context.with_random(|random| context.admission.admit(&query, now, random))?;
        loop {
            let refusal = match context.admission.wait(&ticket, ADMISSION_STEP) {
                Waited::Started => {
                    charged.iter_mut().for_each(ChargedCall::note_admitted);
                    return Ok(ticket);
                }
                Waited::Refused(refusal) => refusal,
                Waited::Queued if context.now() >= self.deadline => Refusal {
                    reason: RefusalReason::DeadlineUnreachable,
                    retry_after: None,
                },
                Waited::Queued if responder.caller_is_gone() => Refusal {
                    reason: RefusalReason::Cancelled,
                    retry_after: None,
                },
                Waited::Queued => continue,
            };
            context.admission.release(ticket, 0, context.now());
            return Err(refusal);
        }
    }

    fn drive(
        &self,
        ticket: Option<&AdmissionTicket>,
        first: Event,
        sink: &mut dyn crate::course::AnswerSink,
    ) -> CourseEnd {
        let context = self.context;
        let mut machine = RequestMachine::new(self.specification(), CourseLimits::default());
        let (sender, receiver) = sync_channel(EVENTS_KEPT);
        let delivered = Arc::new(AtomicU32::new(0));
        context.registry.add(
            self.request.clone(),
            RunningRequest {
                tenant: self.caller.tenant.tenant.clone(),
                model: self.call.name.clone(),
                since: self.arrived,
                engine: None,
                zone: None,
                output_tokens: Arc::clone(&delivered),
                events: sender.clone(),
            },
        );
        let first = machine.handle(first, context.now());
        let course = Course {
            context,
            machine,
            query: self.query.clone(),
            admission: ticket,
            arrived: self.arrived,
            events: (sender, receiver),
            delivered,
        };
        let end = drive(course, first, sink);
        context.registry.remove(&self.request);
        end
    }

    fn specification(&self) -> RequestSpecification {
        let call = self.call;
        RequestSpecification {
            form: RequestForm::Text,
            request: self.request.clone(),
            tenant: self.caller.tenant.tenant.clone(),
            model: call.model.clone(),
            adapter: call.adapter.clone(),
            kind: call.kind,
            class: call.class,
            prompt: call.prompt.clone(),
            max_tokens: call.max_tokens,
            cache_salt: self.caller.salt.clone(),
            key: call.key.clone(),
            deadline: self.deadline,
            admitted_unix_seconds: unix_seconds(),
        }
    }

    fn error(&self, end: &CourseEnd) -> Option<CallerError> {
        end_error(end, self.call.key.is_some())
    }
}

/// Identifier of the request as the caller may ask for it later.
pub(super) fn end_id(end: &CourseEnd) -> String {
    public_id(&end.request, end.engine.as_ref())
}

/// What a caller is told who gets no whole answer; one that detached is told that it ran on.
pub(super) fn end_error(end: &CourseEnd, keyed: bool) -> Option<CallerError> {
    let detached = Outcome::Unknown(shelfjunction_core::outcome::Failure::ConnectionLost);
    CallerError::of_outcome(end.outcome.as_ref().unwrap_or(&detached), keyed)
}
