//! Tells the process's metrics and duties over HTTP.

use crate::connections::OpenConnections;
use crate::context::Context;
use crate::cordons::{self, ChangeError};
use crate::duties;
use crate::quarantine;
use crate::regions;
use serde::Serialize;
use shelfjunction_core::cordon::{CordonChange, CordonRefusal, CordonTarget, NewCordon};
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_http::{
    Answer, Answered, Handler, HttpLimits, HttpRequest, HttpServer, ReadError, Responder,
};
use shelfjunction_logging::LogLosses;
use shelfjunction_platform::services::TableService;
use shelfjunction_protocol::cordons::{CORDONS_PATH, CordonRequest, ENGINES_PATH};
use shelfjunction_protocol::duties::DUTIES_PATH;
use shelfjunction_protocol::quarantine::QUARANTINE_PATH;
use shelfjunction_protocol::regions::REGIONS_PATH;
use shelfjunction_threads::lock;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Most connections at once.
const CONNECTIONS: usize = 8;

/// Longest body of a request, in bytes: an order of an operator.
const MAX_BODY_BYTES: usize = 64 * 1024;

const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

struct MetricsPage {
    context: Arc<Context>,
    table: Arc<dyn TableService>,
    open: Arc<OpenConnections>,
    losses: Arc<LogLosses>,
}

/// Answers on an address as long as the server lives.
pub(crate) fn serve(
    address: SocketAddr,
    context: Arc<Context>,
    table: Arc<dyn TableService>,
    open: Arc<OpenConnections>,
    losses: Arc<LogLosses>,
) -> io::Result<HttpServer> {
    let limits = HttpLimits {
        connections: CONNECTIONS,
        body_bytes: MAX_BODY_BYTES,
        ..HttpLimits::default()
    };
    let page = MetricsPage {
        context,
        table,
        open,
        losses,
    };
    HttpServer::start(address, limits, Arc::new(page))
}

impl Handler for MetricsPage {
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered {
        if request.path == DUTIES_PATH {
            return responder.answer(&json_answer(&duties::view(&self.context)));
        }
        if request.path == ENGINES_PATH {
            return responder.answer(&json_answer(&cordons::engines_view(&self.context)));
        }
        if request.path == REGIONS_PATH {
            return responder.answer(&json_answer(&regions::view(&self.context)));
        }
        if let Some(rest) = request.path.strip_prefix(CORDONS_PATH) {
            return responder.answer(&self.cordons_answer(&request, rest));
        }
        if let Some(rest) = request.path.strip_prefix(QUARANTINE_PATH) {
            return responder.answer(&self.quarantine_answer(&request.method, rest));
        }
        if request.path != METRICS_PATH {
            return responder.answer(&Answer::new(404, "text/plain", Vec::new()));
        }
        self.take_gauges();
        match self.context.metrics.render() {
            Ok(text) => responder.answer(&Answer::new(200, CONTENT_TYPE, text)),
            Err(_) => responder.answer(&Answer::new(500, "text/plain", Vec::new())),
        }
    }

    fn refusal(&self, error: ReadError) -> Option<Answer> {
        error
            .status()
            .map(|status| Answer::new(status, "text/plain", Vec::new()))
    }
}

fn text_answer(status: u16, text: String) -> Answer {
    Answer::new(status, "text/plain", text.into_bytes())
}

fn read_cordon(body: &[u8]) -> Result<NewCordon, String> {
    let asked: CordonRequest = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if asked.by.trim().is_empty() {
        return Err("by: allowed is a name".to_owned());
    }
    let target = asked.target.parse::<CordonTarget>();
    Ok(NewCordon {
        target: target.map_err(|error| error.to_string())?,
        by: asked.by,
        lasts: Duration::from_secs(asked.seconds),
        forced: asked.force,
    })
}

fn json_answer(view: &impl Serialize) -> Answer {
    match serde_json::to_vec(view) {
        Ok(body) => Answer::new(200, "application/json", body),
        Err(error) => {
            log::warn!(error:% = error; "view_not_told");
            Answer::new(500, "text/plain", Vec::new())
        }
    }
}

impl MetricsPage {
    /// Tells of the requests under which engines crashed, or lifts one's quarantine.
    fn quarantine_answer(&self, method: &str, rest: &str) -> Answer {
        let fingerprint = rest.strip_prefix('/').map(str::parse::<Fingerprint>);
        match (method, fingerprint) {
            ("GET", None) if rest.is_empty() => json_answer(&quarantine::view(&self.context)),
            ("DELETE", Some(Ok(fingerprint))) => {
                let status = if quarantine::lift(&self.context, &fingerprint) {
                    200
                } else {
                    404
                };
                Answer::new(status, "text/plain", Vec::new())
            }
            ("DELETE", Some(Err(error))) => Answer::new(400, "text/plain", error.to_string()),
            _ => Answer::new(404, "text/plain", Vec::new()),
        }
    }

    /// Tells of cordons, adds one, or lifts one.
    fn cordons_answer(&self, request: &HttpRequest, rest: &str) -> Answer {
        let target = rest.strip_prefix('/').map(str::parse::<CordonTarget>);
        match (request.method.as_str(), target) {
            ("GET", None) if rest.is_empty() => json_answer(&cordons::view(&self.context)),
            ("POST", None) if rest.is_empty() => match read_cordon(&request.body) {
                Ok(asked) => self.change_cordons(&CordonChange::Cordon(asked)),
                Err(fault) => text_answer(400, fault),
            },
            ("DELETE", Some(Ok(target))) => self.change_cordons(&CordonChange::Uncordon(target)),
            ("DELETE", Some(Err(fault))) => text_answer(400, fault.to_string()),
            _ => text_answer(404, String::new()),
        }
    }

    fn change_cordons(&self, change: &CordonChange) -> Answer {
        match cordons::change(&self.context, self.table.as_ref(), change) {
            Ok(_) => json_answer(&cordons::view(&self.context)),
            Err(ChangeError::Refused(refusal @ CordonRefusal::NotCordoned(_))) => {
                text_answer(404, refusal.to_string())
            }
            Err(ChangeError::Refused(refusal)) => text_answer(409, refusal.to_string()),
            Err(ChangeError::NotKept(fault)) => text_answer(503, fault),
        }
    }

    fn take_gauges(&self) {
        let context = &self.context;
        let metrics = &context.metrics;
        let now = context.now();
        metrics.in_flight.set(context.state.requests_under_way() as i64);
        metrics.connections.set(self.open.count() as i64);
        metrics.quarantine.note_counts(context.suspects.counts(now));
        metrics.repeats_left.set(context.repeats_left());
        let usable_part = context.budget_share(now).usable_part();
        metrics.repeats_usable_part.set(usable_part);
        if let Some((version, age)) = context.config_age() {
            metrics.config_version.set(version as i64);
            metrics.config_age.set(age.as_secs() as i64);
        }
        metrics
            .list_version
            .set(lock(&context.listing).applied_version() as i64);
        let buffers = context.buffers.figures();
        metrics.kept_for_callers.set(buffers.held.undelivered as i64);
        metrics.answer_bytes.set(buffers.held.answers as i64);
        metrics.request_bytes.set(buffers.held.requests as i64);
        metrics
            .buffer_capacity
            .set(context.buffers.limits().capacity as i64);
        metrics.requests_without_room.set(buffers.refused as i64);
        metrics.requests_dropped.set(buffers.dropped as i64);
        metrics.cordons.set(cordons::view(context).cordons.len() as i64);
        metrics.regions.set(&regions::view(context));
        let router = lock(&context.router);
        metrics.engines.set(router.available_engine_count(now) as i64);
        metrics.engines_reserved.set(router.reserve().count() as i64);
        metrics
            .rate_limits
            .engines_limited
            .set(router.rate_limited_engines().count() as i64);
        if let Some(spread) = router.pace_spread(now) {
            metrics.pace.note(&spread);
        }
        drop(router);
        metrics
            .rate_limits
            .engines_kept
            .set(context.rate_limits.kept() as i64);
        metrics.peers.set(context.peers.heard_lately(now).len() as i64);
        let not_written = self.losses.dropped() + self.losses.folded();
        metrics.log_lines_not_written.set(not_written as i64);
    }
}
