//! Engines over HTTP: the one module that knows their wire format.
//!
//! A call goes out on a connection of its own, is never sent twice, follows no redirect and takes no proxy from
//! the environment: each of these could run a request a second time. Control calls are idempotent and may share
//! idle connections.

mod stream;
mod timeouts;

pub use timeouts::EngineTimeouts;

use crate::aborting_tcp::{AbortingConnector, never_connected};
use crate::engine::{AnswerStream, CallError, ControlError, EngineClient, KvEventBatch};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shelfjunction_core::engine::{
    EngineCall, EngineRefusal, EngineStatus, KvEvent, Order, OrderReply, RunState,
};
use shelfjunction_core::identity::RequestId;
use std::net::SocketAddr;
use stream::HttpAnswerStream;
use ureq::config::Config;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Body};

/// Longest body of a control answer that is read, in bytes.
const MAXIMUM_CONTROL_BYTES: u64 = 4 * 1024 * 1024;

/// Longest body of a refusal that is read, in bytes.
const MAXIMUM_REFUSAL_BYTES: u64 = 64 * 1024;

/// Idle connections kept for control calls to each engine.
const IDLE_CONTROL_CONNECTIONS: usize = 2;

/// Buffer of a connection in each direction, in bytes; the head of an answer must fit in it.
///
/// Every open stream holds two, and the client zeroes them in whole before use: its own 128 KiB would keep a quarter of
/// a megabyte resident in each stream, for parts of some hundred bytes.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;

/// Body of `GET /control/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEventsBody {
    /// Start of the engine's process that the sequence numbers belong to.
    pub incarnation: u64,
    /// The events after the position asked for.
    pub events: Vec<KvEvent>,
}

/// Speaks with engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    calls: Agent,
    control: Agent,
}

impl HttpEngineClient {
    /// Builds a client; connections are opened when they are needed.
    pub fn new(timeouts: EngineTimeouts) -> Self {
        Self {
            calls: agent(call_config(&timeouts), AbortingConnector::default()),
            control: agent(
                control_config(&timeouts),
                AbortingConnector::with_max_unacknowledged(timeouts.control()),
            ),
        }
    }
}

impl EngineClient for HttpEngineClient {
    fn call(&self, address: SocketAddr, call: &EngineCall) -> Result<Box<dyn AnswerStream>, CallError> {
        let body = serde_json::to_vec(call).map_err(|_| CallError::NotSent)?;
        let sent = self
            .calls
            .post(format!("http://{address}/v1/calls"))
            .content_type("application/json")
            .header("Connection", "close")
            .send(&body[..]);
        open_stream(sent)
    }

    fn resume(
        &self,
        address: SocketAddr,
        request: &RequestId,
        offset: u32,
    ) -> Result<Box<dyn AnswerStream>, CallError> {
        let url = format!("{}?offset={offset}", call_url(address, request));
        open_stream(self.calls.get(url).header("Connection", "close").call())
    }

    fn run_state(&self, address: SocketAddr, request: &RequestId) -> Result<RunState, ControlError> {
        let url = format!("{}/state", call_url(address, request));
        read_control(self.control.get(url).call())
    }

    fn cancel(&self, address: SocketAddr, request: &RequestId) -> Result<(), ControlError> {
        let sent = self.control.delete(call_url(address, request)).call();
        read_control::<RunState>(sent).map(|_| ())
    }

    fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, ControlError> {
        let body = serde_json::to_vec(order).map_err(|error| ControlError::Malformed(error.to_string()))?;
        let sent = self
            .control
            .post(format!("http://{address}/control/orders"))
            .content_type("application/json")
            .send(&body[..]);
        read_control(sent)
    }

    fn status(&self, address: SocketAddr) -> Result<EngineStatus, ControlError> {
        read_control(
            self.control
                .get(format!("http://{address}/control/status"))
                .call(),
        )
    }

    fn kv_events(&self, address: SocketAddr, after: u64) -> Result<KvEventBatch, ControlError> {
        let url = format!("http://{address}/control/events?after={after}");
        let body: KvEventsBody = read_control(self.control.get(url).call())?;
        Ok(KvEventBatch {
            incarnation: body.incarnation,
            events: body.events,
        })
    }
}

fn call_url(address: SocketAddr, request: &RequestId) -> String {
    let name = utf8_percent_encode(request.as_str(), NON_ALPHANUMERIC);
    format!("http://{address}/v1/calls/{name}")
}

fn agent(config: Config, connector: AbortingConnector) -> Agent {
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Settings of connections that carry calls: none is used twice, so none can break while idle.
fn call_config(timeouts: &EngineTimeouts) -> Config {
    Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .timeout_connect(Some(timeouts.connect()))
        .timeout_send_request(Some(timeouts.send()))
        .timeout_send_body(Some(timeouts.send()))
        .timeout_recv_response(Some(timeouts.response()))
        .timeout_per_read(Some(timeouts.between_parts()))
        .build()
}

fn control_config(timeouts: &EngineTimeouts) -> Config {
    Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .input_buffer_size(CONNECTION_BUFFER_BYTES)
        .output_buffer_size(CONNECTION_BUFFER_BYTES)
        .max_idle_connections_per_host(IDLE_CONTROL_CONNECTIONS)
        .timeout_connect(Some(timeouts.connect()))
        .timeout_global(Some(timeouts.control()))
        .build()
}

/// Only an engine that began to run a call answers 200; only a typed refusal under an error's status says that it did not.
fn open_stream(sent: Result<Response<Body>, ureq::Error>) -> Result<Box<dyn AnswerStream>, CallError> {
    let mut response = match sent {
        Ok(response) => response,
        Err(error) if never_connected(&error) => return Err(CallError::NotSent),
        Err(_) => return Err(CallError::Ambiguous),
    };
    let status = response.status();
    if status.as_u16() == 200 {
        return Ok(Box::new(HttpAnswerStream::new(response.into_body())));
    }
    if !status.is_client_error() && !status.is_server_error() {
        return Err(CallError::Ambiguous);
    }
    let body = response.body_mut().with_config().limit(MAXIMUM_REFUSAL_BYTES);
    let Ok(bytes) = body.read_to_vec() else {
        return Err(CallError::Ambiguous);
    };
    match serde_json::from_slice::<EngineRefusal>(&bytes) {
        Ok(refusal) => Err(CallError::Refused(refusal)),
        Err(_) => Err(CallError::Ambiguous),
    }
}

fn read_control<T: DeserializeOwned>(sent: Result<Response<Body>, ureq::Error>) -> Result<T, ControlError> {
    let mut response = match sent {
        Ok(response) => response,
        Err(error) if never_connected(&error) => return Err(ControlError::Unreachable),
        Err(_) => return Err(ControlError::AnswerLost),
    };
    let status = response.status().as_u16();
    if status != 200 {
        return Err(ControlError::Malformed(format!("status {status}")));
    }
    let body = response.body_mut().with_config().limit(MAXIMUM_CONTROL_BYTES);
    match body.read_to_vec() {
        Ok(bytes) => {
            serde_json::from_slice(&bytes).map_err(|error| ControlError::Malformed(error.to_string()))
        }
        Err(_) => Err(ControlError::AnswerLost),
    }
}
