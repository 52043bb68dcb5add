//! Pages of a node on the users' platform: JSON on its metrics address.

use crate::exit::CommandError;
use crate::options::Values;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use ureq::http::Response;
use ureq::typestate::WithoutBody;
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
        let text = self.text_of(bounded(ureq::get(self.url(path))).call())?;
        let view = serde_json::from_str(&text)
            .map_err(|error| CommandError::Failed(format!("{} told no {path}: {error}", self.address)))?;
        Ok(Page { text, view })
    }

    /// Deletes what a path names; false where there is nothing.
    pub fn delete(&self, path: &str) -> Result<bool, CommandError> {
        match bounded(ureq::delete(self.url(path))).call() {
            Err(ureq::Error::StatusCode(404)) => Ok(false),
            asked => self.text_of(asked).map(|_| true),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn text_of(&self, asked: Result<Response<Body>, ureq::Error>) -> Result<String, CommandError> {
        let failed =
            |error: ureq::Error| CommandError::Failed(format!("{} did not answer: {error}", self.address));
        let mut answer = asked.map_err(failed)?;
        let body = answer.body_mut().with_config().limit(MOST_ANSWER_BYTES);
        body.read_to_string().map_err(failed)
    }
}

/// A call that ends in time, goes to the node itself and follows nothing.
fn bounded(call: RequestBuilder<WithoutBody>) -> RequestBuilder<WithoutBody> {
    call.config()
        .timeout_global(Some(CALL_TIMEOUT))
        .proxy(None)
        .max_redirects(0)
        .build()
}
