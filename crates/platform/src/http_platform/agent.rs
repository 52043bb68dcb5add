//! Sends one call to the platform and sorts what came back by what is known of its effect.

use super::PlatformTimeouts;
use super::wire::ErrorBody;
use crate::aborting_tcp::{AbortingConnector, never_connected};
use serde::de::DeserializeOwned;
use shelfjunction_core::table::PlatformError;
use std::net::SocketAddr;
use ureq::http::{Response, StatusCode};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body, Error};

/// Longest answer that is read, in bytes.
const MAXIMUM_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Name of the header that ends the connection after one call.
const CONNECTION: &str = "connection";

/// Value of that header.
const CLOSE: &str = "close";

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub(super) struct PlatformAgent {
    base: String,
    agent: Agent,
}

/// What the platform answered.
#[derive(Debug)]
pub(super) enum Reply {
    /// The call was carried out; the body.
    Success(Vec<u8>),
    /// Nothing is stored under that name.
    Missing,
}

impl PlatformAgent {
    /// A client without redirects, proxies, pooled connections or repeated sends.
    pub(super) fn new(address: SocketAddr, timeouts: PlatformTimeouts) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .max_redirects_will_error(false)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .timeout_connect(Some(timeouts.connect))
            .timeout_global(Some(timeouts.call))
            .build();
        Self {
            base: format!("http://{address}"),
            agent: Agent::with_parts(
                config,
                AbortingConnector::with_max_unacknowledged(timeouts.call),
                DefaultResolver::default(),
            ),
        }
    }

    pub(super) fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Reply, PlatformError> {
        let request = self.agent.get(self.url(path)).header(CONNECTION, CLOSE);
        sort(request.query_pairs(query.iter().copied()).call())
    }

    pub(super) fn post(&self, path: &str, body: &[u8]) -> Result<Reply, PlatformError> {
        let request = self.agent.post(self.url(path)).header(CONNECTION, CLOSE);
        sort(request.content_type("application/json").send(body))
    }

    pub(super) fn put(&self, path: &str, body: &[u8]) -> Result<Reply, PlatformError> {
        let request = self.agent.put(self.url(path)).header(CONNECTION, CLOSE);
        sort(request.content_type("application/octet-stream").send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

impl Reply {
    /// The body of a call that was carried out.
    pub(super) fn success(self) -> Result<Vec<u8>, PlatformError> {
        match self {
            Self::Success(body) => Ok(body),
            Self::Missing => Err(PlatformError::Malformed("answered as missing".to_owned())),
        }
    }

    /// The body, read as JSON.
    pub(super) fn json<T: DeserializeOwned>(self) -> Result<T, PlatformError> {
        let body = self.success()?;
        serde_json::from_slice(&body).map_err(|error| PlatformError::Malformed(error.to_string()))
    }
}

fn sort(result: Result<Response<Body>, Error>) -> Result<Reply, PlatformError> {
    let mut response = result.map_err(|error| classify(&error))?;
    let status = response.status();
    let body = read_body(&mut response)?;
    match status {
        StatusCode::OK => Ok(Reply::Success(body)),
        StatusCode::NOT_FOUND => Ok(Reply::Missing),
        _ => Err(stated_error(status, &body)),
    }
}

fn read_body(response: &mut Response<Body>) -> Result<Vec<u8>, PlatformError> {
    let reader = response.body_mut().with_config().limit(MAXIMUM_ANSWER_BYTES);
    reader.read_to_vec().map_err(|_| PlatformError::AnswerLost)
}

/// Only the platform's own body proves that nothing was done; a status alone may come from something between.
fn stated_error(status: StatusCode, body: &[u8]) -> PlatformError {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(stated) => stated.error,
        Err(_) => PlatformError::Malformed(format!("status {status}")),
    }
}

/// An error counts as "nothing was done" only where it shows that no byte of the call was sent.
fn classify(error: &Error) -> PlatformError {
    if never_connected(error) {
        PlatformError::Unavailable
    } else {
        PlatformError::AnswerLost
    }
}
