//! Which path is served by what.

use shelfjunction_core::identity::RequestId;
use shelfjunction_http::HttpRequest;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Begin a call.
    Call,
    /// Read an answer from an offset on.
    Answer(RequestId, u32),
    /// What became of a request.
    State(RequestId),
    /// Cancel a request.
    Cancel(RequestId),
    /// An order.
    Order,
    /// The engine's status.
    Status,
    /// Cache events after a sequence number.
    Events(u64),
    /// An exported KV cache.
    Export(String),
    /// What the engine was told and ran.
    Log,
    /// Switch faults.
    Faults,
    /// No such path.
    Unknown,
}

impl Route {
    /// Reads method, path and query.
    pub fn parse(request: &HttpRequest) -> Self {
        let query = request.query.as_str();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/calls") => Self::Call,
            ("POST", "/control/orders") => Self::Order,
            ("GET", "/control/status") => Self::Status,
            ("GET", "/control/events") => number(query, "after").map_or(Self::Unknown, Self::Events),
            ("GET", "/log") => Self::Log,
            ("POST", "/faults") => Self::Faults,
            (method, path) => Self::parse_named(method, path, query),
        }
    }

    fn parse_named(method: &str, path: &str, query: &str) -> Self {
        if let ("GET", Some(handle)) = (method, path.strip_prefix("/v1/kv/")) {
            return Self::Export(handle.to_owned());
        }
        let Some(rest) = path.strip_prefix("/v1/calls/") else {
            return Self::Unknown;
        };
        match (method, rest.strip_suffix("/state")) {
            ("GET", Some(name)) => request_id(name).map_or(Self::Unknown, Self::State),
            ("DELETE", None) => request_id(rest).map_or(Self::Unknown, Self::Cancel),
            ("GET", None) => match (request_id(rest), number(query, "offset")) {
                (Some(request), Some(offset)) => {
                    Self::Answer(request, u32::try_from(offset).unwrap_or(u32::MAX))
                }
                _ => Self::Unknown,
            },
            _ => Self::Unknown,
        }
    }
}

fn request_id(encoded: &str) -> Option<RequestId> {
    let decoded = percent_encoding::percent_decode_str(encoded).decode_utf8().ok()?;
    (!decoded.is_empty()).then(|| RequestId::new(decoded))
}

/// The number under a name in a query; zero when it is not given.
fn number(query: &str, name: &str) -> Option<u64> {
    for pair in query.split('&') {
        if let Some((key, value)) = pair.split_once('=')
            && key == name
        {
            return value.parse().ok();
        }
    }
    Some(0)
}
