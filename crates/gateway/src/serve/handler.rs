//! From method and path to the call.

use super::call::CallShape;
use super::refusal::CallerError;
use super::{access, completion, fetch, models};
use crate::admin::{self, AdminMethod, AdminRequest};
use crate::admin_context::AdminAccess;
use crate::context::Context;
use shelfjunction_core::outcome::RefusalReason;
use shelfjunction_http::{Answer, Answered, Handler, HttpRequest, ReadError, Responder};
use shelfjunction_protocol::caller::StatedOutcome;
use shelfjunction_threads::lock;
use std::sync::Arc;

const TEXT: &str = "text/plain; charset=utf-8";
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const REQUESTS_PATH: &str = "/v1/requests/";

/// Answers every call of a gateway.
pub(crate) struct CallerApi {
    pub(crate) context: Arc<Context>,
}

impl Handler for CallerApi {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        let context = &self.context;
        let method = request.method.as_str();
        match (method, request.path.as_str()) {
            ("POST", "/v1/completions") => {
                completion::serve(context, CallShape::Completion, &request, responder)
            }
            ("POST", "/v1/chat/completions") => {
                completion::serve(context, CallShape::Chat, &request, responder)
            }
            ("GET", path) if path.starts_with(REQUESTS_PATH) => {
                fetch::serve(context, &path[REQUESTS_PATH.len()..], &request, responder)
            }
            ("DELETE", path) if path.starts_with(REQUESTS_PATH) => {
                responder.answer(&fetch::cancel(context, &path[REQUESTS_PATH.len()..], &request))
            }
            _ => responder.answer(&self.plain(&request)),
        }
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        let (cause, message) = match error {
            ReadError::Closed => return None,
            ReadError::Malformed => ("malformed", "This is no HTTP/1.1 request."),
            ReadError::HeadTooLarge => ("head_too_large", "The request's head is too large."),
            ReadError::TooSlow => ("too_slow", "The request took too long to arrive."),
            ReadError::LengthRequired => (
                "length_required",
                "The body needs one Content-Length and no Transfer-Encoding.",
            ),
            ReadError::BodyTooLarge => ("body_too_large", "The body is too large."),
            ReadError::TooManyConnections => ("too_many_connections", "Every connection is taken."),
            ReadError::NoRoom => ("no_room", "There is no room for the body now."),
        };
        self.context.metrics.bad_input(cause);
        log::debug!(cause = cause; "request_unread");
        let may_return = matches!(error, ReadError::TooManyConnections | ReadError::NoRoom);
        let retry = may_return.then_some(std::time::Duration::from_secs(1));
        let stated = CallerError {
            status: error.status()?,
            code: cause.to_owned(),
            outcome: StatedOutcome::NotRun,
            message: message.to_owned(),
            retry_after: retry,
        };
        Some(stated.answer(None))
    }
}

impl CallerApi {
    fn plain(&self, request: &HttpRequest) -> Answer {
        let context = &self.context;
        let method = match request.method.as_str() {
            // The server leaves the body out of an answer to HEAD.
            "HEAD" => "GET",
            method => method,
        };
        match (method, request.path.as_str()) {
            ("GET", "/healthz") => Answer::new(200, TEXT, "ok\n"),
            ("GET", "/readyz") => readiness(context),
            ("GET", "/metrics") => measure(context, request),
            ("GET", "/v1/models") => match access::authenticate(context, request) {
                Ok(caller) => models::answer(&caller),
                Err(error) => error.answer(None),
            },
            (method, path) if path.starts_with(admin::PATH_PREFIX) => self.administer(method, request),
            _ => not_found(context),
        }
    }

    fn administer(&self, method: &str, request: &HttpRequest) -> Answer {
        let method = match method {
            "GET" => AdminMethod::Get,
            "POST" => AdminMethod::Post,
            "DELETE" => AdminMethod::Delete,
            _ => return not_found(&self.context),
        };
        let call = AdminRequest {
            method,
            path: &request.path,
            token: request.bearer_token(),
            body: &request.body,
        };
        let response = admin::handle(&AdminAccess(&self.context), &call);
        Answer::new(response.status, super::refusal::JSON, response.body)
    }
}

fn not_found(context: &Context) -> Answer {
    context.metrics.bad_input("unknown_path");
    let error = CallerError {
        status: 404,
        code: "not_found".to_owned(),
        ..CallerError::not_run(RefusalReason::InvalidRequest, "There is no such call.")
    };
    error.answer(None)
}

/// Totals over all tenants would tell one tenant about the others, so callers elsewhere need an operator's token.
fn measure(context: &Context, request: &HttpRequest) -> Answer {
    if !is_local(request) && !access::is_viewing_operator(context, request) {
        let reason = RefusalReason::Unauthenticated;
        return CallerError::not_run(reason, "Metrics need an operator's bearer token.").answer(None);
    }
    match context.metrics.render() {
        Ok(body) => Answer::new(200, OPEN_METRICS, body),
        Err(_) => Answer::new(500, TEXT, "the metrics can't be written\n"),
    }
}

fn is_local(request: &HttpRequest) -> bool {
    request.peer.is_some_and(|peer| peer.is_loopback())
}

/// Ready when a caller sent here would be served.
fn readiness(context: &Context) -> Answer {
    let missing = if context.stopping.is_set() {
        Some("stopping")
    } else if context.bundles.served().is_none() {
        Some("no bundle is in force")
    } else if context.bundles.is_isolated(context.now()) {
        Some("the bundle can't be known to be current")
    } else if !lock(&context.fleet).knows_engines() {
        Some("no engine is known")
    } else {
        None
    };
    match missing {
        None => Answer::new(200, TEXT, "ready\n"),
        Some(missing) => Answer::new(503, TEXT, format!("{missing}\n")),
    }
}
