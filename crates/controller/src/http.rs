//! Health and metrics over HTTP.

use crate::context::Context;
use crate::fleet;
use shelfjunction_http::{Answer, Answered, Handler, HttpLimits, HttpRequest, ReadError, Responder};
use std::sync::Arc;

const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const METHOD_NOT_ALLOWED: u16 = 405;
const SERVER_ERROR: u16 = 500;
const NOT_READY: u16 = 503;

/// Type of every page, as Prometheus scrapers expect it.
const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Connections at once; health checks and scrapers need few.
const CONNECTIONS: usize = 16;

/// Longest body of a request, in bytes; no page takes one.
const BODY_BYTES: usize = 1_024;

/// Limits of the server.
pub fn limits() -> HttpLimits {
    HttpLimits {
        connections: CONNECTIONS,
        body_bytes: BODY_BYTES,
        ..HttpLimits::default()
    }
}

/// Answers health checks and scrapers.
pub struct HealthPages {
    context: Arc<Context>,
}

impl HealthPages {
    /// Pages about one controller.
    pub fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    fn page(&self, request: &HttpRequest) -> Answer {
        if request.method != "GET" && request.method != "HEAD" {
            return text(METHOD_NOT_ALLOWED, "only GET is served").with_header("Allow", "GET, HEAD");
        }
        match request.path.as_str() {
            "/healthz" => text(OK, "ok"),
            "/readyz" if is_ready(&self.context) => text(OK, "ready"),
            "/readyz" => text(NOT_READY, "no engine is known yet"),
            "/metrics" => self.metrics(),
            _ => text(NOT_FOUND, "not found"),
        }
    }

    fn metrics(&self) -> Answer {
        let metrics = &self.context.metrics;
        metrics.set_gossip(self.context.gossip.counters());
        match metrics.render() {
            Ok(rendered) => text(OK, &rendered),
            Err(_) => text(SERVER_ERROR, "metrics can't be rendered"),
        }
    }
}

impl Handler for HealthPages {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        responder.answer(&self.page(&request))
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error
            .status()
            .map(|status| text(status, "the request can't be served"))
    }
}

/// Ready when there is something to tell a gateway.
fn is_ready(context: &Context) -> bool {
    !fleet::engines(context).is_empty()
}

fn text(status: u16, body: &str) -> Answer {
    Answer::new(status, CONTENT_TYPE, body)
}
