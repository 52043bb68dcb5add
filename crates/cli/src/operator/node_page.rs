//! Pages of a node on the users' platform: JSON on its metrics address.

use crate::exit::CommandError;
use crate::options::Values;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::{Response, StatusCode};
use ureq::{Body, RequestBuilder};

/// Longest wait for the whole answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest answer that is read, in bytes.
const MOST_ANSWER_BYTES: u64 = 16 * 1024 * 1024;

/// A node by its metrics address.
pub struct NodePages {
    address: SocketAddr,
}

/// A page as it came, and what it says.
pub struct Page<T> {
    /// The bytes.
    pub text: String,
    /// What they say.
    pub view: T,
}

impl NodePages {
    /// The node that `--node` names.
    pub fn of(values: &Values) -> Result<Self, CommandError> {
        let node = values.require("node")?;
        let address = node
            .parse()
            .map_err(|_| values.usage(&format!("--node {node}: allowed is IP:PORT")))?;
        Ok(Self { address })
    }

    /// Reads a page.
    pub fn read<T: DeserializeOwned>(&self, path: &str) -> Result<Page<T>, CommandError> {
        let text = self.answer_of(path, bounded(ureq::get(self.url(path))).call())?;
        let view = self.view_of(path, &text)?;
        Ok(Page { text, view })
    }

    /// Posts JSON to a path; what the node then tells there.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &str) -> Result<T, CommandError> {
        let call = bounded(ureq::post(self.url(path))).content_type("application/json");
        let text = self.answer_of(path, call.send(body))?;
        self.view_of(path, &text)
    }

    /// Deletes what a path names; false where there is nothing.
    pub fn delete(&self, path: &str) -> Result<bool, CommandError> {
        match bounded(ureq::delete(self.url(path))).call() {
            Ok(answer) if answer.status() == StatusCode::NOT_FOUND => Ok(false),
            asked => self.answer_of(path, asked).map(|_| true),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn view_of<T: DeserializeOwned>(&self, path: &str, text: &str) -> Result<T, CommandError> {
        serde_json::from_str(text)
            .map_err(|error| CommandError::Failed(format!("{} told no {path}: {error}", self.address)))
    }

    /// The text of an answer; that of a refusal is its reason.
    fn answer_of(
        &self,
        path: &str,
        asked: Result<Response<Body>, ureq::Error>,
    ) -> Result<String, CommandError> {
        let failed =
            |error: ureq::Error| CommandError::Failed(format!("{} did not answer: {error}", self.address));
        let mut answer = asked.map_err(failed)?;
        let status = answer.status();
        let body = answer.body_mut().with_config().limit(MOST_ANSWER_BYTES);
        let text = body.read_to_string().map_err(failed)?;
        if status.is_success() {
            return Ok(text);
        }
        let reason = format!("{} refused {path} with {status}: {text}", self.address);
        Err(CommandError::Failed(reason))
    }
}

/// A call that ends in time, goes to the node itself and follows nothing; a refusal is an answer, whose text tells why.
fn bounded<Any>(call: RequestBuilder<Any>) -> RequestBuilder<Any> {
    call.config()
        .timeout_global(Some(CALL_TIMEOUT))
        .proxy(None)
        .max_redirects(0)
        .http_status_as_error(false)
        .build()
}
