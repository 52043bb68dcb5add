//! Sends calls to gateways, each once, and sorts refusals.

use super::answer::{AnswerReader, request_id};
use super::result::{CallResult, Refused};
use super::wire::{CompletionBody, ErrorBody};
use shelfjunction_core::service_class::ServiceClass;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::Response;
use ureq::{Agent, Body, Error, RequestBuilder};

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest body of an error that is read, in bytes.
const MAXIMUM_ERROR_BYTES: u64 = 64 * 1024;

/// Header that carries the idempotency key.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Header by which a refusal says when to come back.
const RETRY_AFTER: &str = "retry-after";

/// One completion call.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionCall {
    /// Model, or model and adapter joined by a colon.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Most output tokens.
    pub max_tokens: u32,
    /// Class; absent: the tenant's.
    pub class: Option<ServiceClass>,
    /// Idempotency key.
    pub key: Option<String>,
}

/// Client of gateways; never sends a call twice.
#[derive(Clone, Debug)]
pub struct CallerClient {
    agent: Agent,
}

impl CallerClient {
    /// A client that waits at most `part_timeout` for the next part of an answer.
    pub fn new(part_timeout: Duration) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(part_timeout))
            .timeout_per_read(Some(part_timeout))
            .build();
        Self {
            agent: Agent::new_with_config(config),
        }
    }

    /// Sends a streamed call; an error is what the caller was told instead of an answer.
    pub fn complete(
        &self,
        gateway: SocketAddr,
        token: &str,
        call: &CompletionCall,
    ) -> Result<AnswerReader, Refused> {
        let body = CompletionBody {
            model: &call.model,
            prompt: &call.prompt,
            max_tokens: call.max_tokens,
            stream: true,
            priority: call.class,
        };
        let body = serde_json::to_vec(&body).map_err(|error| malformed(&error))?;
        let url = format!("http://{gateway}/v1/completions");
        let mut request = with_token(self.agent.post(url), token).content_type("application/json");
        if let Some(key) = &call.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        open(request.send(&body[..]))
    }

    /// Reads the answer of an earlier request from an output offset on.
    pub fn fetch(
        &self,
        gateway: SocketAddr,
        token: &str,
        request: &str,
        offset: u32,
    ) -> Result<AnswerReader, Refused> {
        let url = format!("http://{gateway}/v1/requests/{request}?offset={offset}&stream=true");
        open(with_token(self.agent.get(url), token).call())
    }
}

fn with_token<Body>(request: RequestBuilder<Body>, token: &str) -> RequestBuilder<Body> {
    request
        .header("Authorization", format!("Bearer {token}"))
        .header("Connection", "close")
}

fn open(result: Result<Response<Body>, Error>) -> Result<AnswerReader, Refused> {
    let response = result.map_err(|error| transport_result(&error))?;
    if response.status().as_u16() == 200 {
        return Ok(AnswerReader::new(response));
    }
    let request = request_id(&response);
    let result = refusal(response);
    Err(Refused { result, request })
}

fn transport_result(error: &Error) -> CallResult {
    match error {
        Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => CallResult::NotConnected,
        Error::ConnectionFailed | Error::Timeout(ureq::Timeout::Connect) => CallResult::NotConnected,
        _ => CallResult::Broken,
    }
}

fn refusal(mut response: Response<Body>) -> CallResult {
    let status = response.status();
    let retry_after = response.headers().contains_key(RETRY_AFTER);
    let reader = response.body_mut().with_config().limit(MAXIMUM_ERROR_BYTES);
    let Ok(body) = reader.read_to_vec() else {
        return CallResult::Broken;
    };
    match serde_json::from_slice::<ErrorBody>(&body) {
        Ok(body) => body.error.into_result(retry_after),
        Err(error) => CallResult::Malformed {
            reason: format!("status {status}: {error}"),
        },
    }
}

fn malformed(error: &serde_json::Error) -> CallResult {
    CallResult::Malformed {
        reason: error.to_string(),
    }
}
