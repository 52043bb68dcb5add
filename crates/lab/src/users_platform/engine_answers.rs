//! What a stand-in engine's answers say, and what it remembers of a request.

use super::engine::{EngineHandler, JSON, lock};
use super::engine_records::{BackoffRecord, RunRecord};
use shelfjunction_http::{Answer, AnswerHeader, HttpRequest};
use std::time::{Duration, Instant};

impl EngineHandler {
    pub(super) fn refuse_with_backoff(&self, request: &HttpRequest, backoff: Duration) -> Answer {
        lock(&self.state).backoffs.push(BackoffRecord {
            engine: self.settings.start(),
            request: request.header("Request-Id").unwrap_or_default().to_owned(),
            at: Instant::now(),
            backoff,
        });
        self.answer(request, 503, "")
            .with_header("Not-Executed", "1")
            .with_header("Retry-After", backoff.as_secs_f64().to_string())
    }

    /// An answer to a question aside from requests.
    pub(super) fn aside(&self, answer: Answer) -> Answer {
        if lock(&self.state).draining_since.is_some() {
            return answer.with_header("Server-Leaving", "1");
        }
        answer
    }

    pub(super) fn answer(&self, request: &HttpRequest, status: u16, body: &str) -> Answer {
        let answer = Answer::new(status, JSON, body);
        self.headers(request, false)
            .into_iter()
            .fold(answer, |answer, header| {
                answer.with_header(header.name, header.value)
            })
    }

    pub(super) fn signed(&self, request: &HttpRequest, status: u16, body: &str) -> Answer {
        self.answer(request, status, body)
            .with_header("Response-Signature", format!("signed-by-{}", self.settings.id))
    }

    pub(super) fn headers(&self, request: &HttpRequest, signed: bool) -> Vec<AnswerHeader> {
        let header = |name, value: &str| AnswerHeader {
            name,
            value: value.to_owned(),
        };
        let mut headers = vec![
            header("Request-Id", request.header("Request-Id").unwrap_or_default()),
            header("Instance-Id", &self.settings.id),
            header("Server-Load", &format!("1,0,8,{}", self.pace.percent())),
        ];
        if let Some(limit) = lock(&self.state).limit() {
            headers.push(header("Server-Limit", &limit.to_string()));
        }
        if lock(&self.state).draining_since.is_some() {
            headers.push(header("Server-Leaving", "1"));
        }
        if signed {
            headers.push(header(
                "Response-Signature",
                &format!("signed-by-{}", self.settings.id),
            ));
        }
        headers
    }
}

/// What is remembered of a run.
pub(super) fn record(request: &HttpRequest, software_version: &str) -> RunRecord {
    RunRecord {
        request: request.header("Request-Id").unwrap_or_default().to_owned(),
        after_event: request
            .header("Last-Event-Id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0),
        source: request.header("Kv-Source").map(str::to_owned),
        fetched_from: request.header("Kv-Fetch").map(str::to_owned),
        tenant: request.header("Tenant").map(str::to_owned),
        key: request.header("Key").map(str::to_owned),
        urgency: request
            .header("Request-Urgency")
            .and_then(|rank| rank.parse().ok()),
        crashed: false,
        software_version: software_version.to_owned(),
        resumes: request.header("Resumes").map(str::to_owned),
    }
}
