//! Client of the administration API.

use crate::exit::CommandError;
use crate::options::{CommandLine, Values};
use crate::settings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use shelfjunction_core::setting::FieldError;
use shelfjunction_protocol::operator::{AdminError, AdminErrorCode};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;
use ureq::http::{Request, Response};
use ureq::{Agent, Body};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for a whole answer; a proposal of a large bundle stores many parts first.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Times a call is sent again to a gateway that has not caught up with the bundle in force.
const ATTEMPTS_WHILE_BEHIND: u32 = 40;

/// Pause before each of them; together they take as long as a bundle needs at most to be in force.
const PAUSE_WHILE_BEHIND: Duration = Duration::from_millis(250);

/// Longest answer that is read, in bytes.
const MAXIMUM_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// One gateway's administration API as one operator.
pub struct Client {
    agent: Agent,
    gateway: SocketAddr,
    token: Option<String>,
}

/// Adds the options that every command with a client has.
pub fn with_client_options(line: CommandLine) -> CommandLine {
    line.value("gateway", "address of any gateway", "IP:PORT")
        .value("token-file", "file with the operator's bearer token", "FILE")
        .flag("json", "print JSON")
}

impl Client {
    /// The client that the options ask for.
    pub fn from_options(values: &Values) -> Result<Self, CommandError> {
        let gateway = values.require("gateway")?;
        let path = values.require_path("token-file")?;
        let token = settings::read_secret_text("--token-file", Path::new(&path));
        match (parse_address(&gateway), token) {
            (Ok(gateway), Ok(token)) => Ok(Self::new(gateway, Some(token))),
            (address, token) => Err(CommandError::Settings(
                address
                    .err()
                    .into_iter()
                    .chain(token.err().unwrap_or_default())
                    .collect(),
            )),
        }
    }

    /// A client without a token, for the first bundle.
    pub fn anonymous(values: &Values) -> Result<Self, CommandError> {
        parse_address(&values.require("gateway")?)
            .map(|gateway| Self::new(gateway, None))
            .map_err(|fault| CommandError::Settings(vec![fault]))
    }

    fn new(gateway: SocketAddr, token: Option<String>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(config),
            gateway,
            token,
        }
    }

    /// Reads.
    pub fn get<R: DeserializeOwned>(&self, path: &str) -> Result<R, CommandError> {
        self.send("GET", path, Vec::new())
    }

    /// Ends or deletes.
    pub fn delete<R: DeserializeOwned>(&self, path: &str) -> Result<R, CommandError> {
        self.send("DELETE", path, Vec::new())
    }

    /// Changes.
    pub fn post<B: Serialize, R: DeserializeOwned>(&self, path: &str, body: &B) -> Result<R, CommandError> {
        let body = serde_json::to_vec(body)
            .map_err(|cause| CommandError::Failed(format!("the body can't be written: {cause}")))?;
        self.send("POST", path, body)
    }

    /// Sends a call, again while the gateway says that it is behind: it has then changed nothing.
    fn send<R: DeserializeOwned>(&self, method: &str, path: &str, body: Vec<u8>) -> Result<R, CommandError> {
        for _ in 0..ATTEMPTS_WHILE_BEHIND {
            match self.send_once(method, path, body.clone()) {
                Err(CommandError::Refused(error)) if error.code == AdminErrorCode::Behind => {
                    thread::sleep(PAUSE_WHILE_BEHIND);
                }
                answered => return answered,
            }
        }
        self.send_once(method, path, body)
    }

    fn send_once<R: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<R, CommandError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/{path}", self.gateway));
        if let Some(token) = &self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        let sent = if method == "POST" {
            let request = request.header("content-type", "application/json").body(body);
            request.map(|request| self.agent.run(request))
        } else {
            request.body(()).map(|request| self.agent.run(request))
        };
        let response = sent
            .map_err(|cause| CommandError::Failed(format!("the call can't be written: {cause}")))?
            .map_err(|cause| {
                CommandError::Failed(format!(
                    "no answer from {}: {cause}; a change may have taken effect, the same command again tells",
                    self.gateway
                ))
            })?;
        read_answer(response)
    }
}

fn read_answer<R: DeserializeOwned>(mut response: Response<Body>) -> Result<R, CommandError> {
    let status = response.status();
    let body = response
        .body_mut()
        .with_config()
        .limit(MAXIMUM_ANSWER_BYTES)
        .read_to_vec()
        .map_err(|cause| CommandError::Failed(format!("the answer broke off: {cause}")))?;
    if status.is_success() {
        return serde_json::from_slice(&body)
            .map_err(|cause| CommandError::Failed(format!("the answer is not understood: {cause}")));
    }
    match serde_json::from_slice::<AdminError>(&body) {
        Ok(error) => Err(CommandError::Refused(Box::new(error))),
        Err(_) => Err(CommandError::Failed(format!("the gateway answered {status}"))),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, FieldError> {
    text.parse().map_err(|_| FieldError {
        field: "--gateway".to_owned(),
        value: text.to_owned(),
        allowed: "a numeric address with a port, as in 127.0.0.1:8080".to_owned(),
    })
}
