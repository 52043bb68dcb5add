//! Health and metrics over HTTP.

use crate::context::Context;
use crate::fleet;
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server, StatusCode};

/// Longest wait for a request before the stop signal is looked at.
const ACCEPT_WAIT: Duration = Duration::from_millis(200);

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const SERVER_ERROR: u16 = 500;
const NOT_READY: u16 = 503;

struct Page {
    status: u16,
    body: String,
}

/// Serves requests until the controller stops.
pub fn run(context: &Context, server: &Server) {
    while !context.stop.is_set() {
        if let Ok(Some(request)) = server.recv_timeout(ACCEPT_WAIT) {
            answer(context, request);
        }
    }
}

fn answer(context: &Context, request: Request) {
    let page = page(context, &request);
    let mut response = Response::from_string(page.body).with_status_code(StatusCode(page.status));
    if let Ok(header) = Header::from_bytes("Content-Type", "text/plain; version=0.0.4") {
        response.add_header(header);
    }
    if let Err(error) = request.respond(response) {
        log::debug!(error:% = error; "http_answer_unsent");
    }
}

fn page(context: &Context, request: &Request) -> Page {
    match (request.method(), request.url()) {
        (Method::Get, "/healthz") => text(OK, "ok"),
        (Method::Get, "/readyz") if is_ready(context) => text(OK, "ready"),
        (Method::Get, "/readyz") => text(NOT_READY, "no engine is known yet"),
        (Method::Get, "/metrics") => match context.metrics.render() {
            Ok(body) => Page { status: OK, body },
            Err(_) => text(SERVER_ERROR, "metrics can't be rendered"),
        },
        _ => text(NOT_FOUND, "not found"),
    }
}

/// Ready when there is something to tell a gateway.
fn is_ready(context: &Context) -> bool {
    !fleet::engines(context).is_empty()
}

fn text(status: u16, body: &str) -> Page {
    Page {
        status,
        body: body.to_owned(),
    }
}
