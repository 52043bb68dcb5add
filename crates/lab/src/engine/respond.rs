//! Answers in JSON and the reading of bodies within their limit.

use serde::Serialize;
use serde::de::DeserializeOwned;
use shelfjunction_core::engine::{EngineRefusal, EngineRefusalReason};
use std::io::Read;
use tiny_http::{Header, Request, Response};

/// Time to come back after the server itself is full, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 250;

/// Body of an answer to a control call that could not be served.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody {
    error: String,
}

/// Why a body could not be used.
pub enum BodyError {
    /// Longer than allowed.
    TooLong,
    /// Cut off, or not what the route expects.
    Malformed(String),
}

/// Reads a body of at most `limit` bytes as JSON.
pub fn read_json<T: DeserializeOwned>(request: &mut Request, limit: u64) -> Result<T, BodyError> {
    if request.body_length().is_some_and(|length| length as u64 > limit) {
        return Err(BodyError::TooLong);
    }
    let expected = request.body_length();
    let mut bytes = Vec::new();
    let read = request.as_reader().take(limit + 1).read_to_end(&mut bytes);
    if let Err(error) = read {
        return Err(BodyError::Malformed(error.to_string()));
    }
    if bytes.len() as u64 > limit {
        return Err(BodyError::TooLong);
    }
    if expected.is_some_and(|length| length != bytes.len()) {
        return Err(BodyError::Malformed("the body is cut off".to_owned()));
    }
    serde_json::from_slice(&bytes).map_err(|error| BodyError::Malformed(error.to_string()))
}

/// Answers with a JSON body.
pub fn json(request: Request, status: u16, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::from_data(bytes).with_status_code(status);
    if let Ok(header) = Header::from_bytes("Content-Type", "application/json") {
        response.add_header(header);
    }
    // A caller that went away loses only its own answer.
    let _ = request.respond(response);
}

/// Answers a control call that could not be served.
pub fn error(request: Request, status: u16, message: &str) {
    let body = ErrorBody {
        error: message.to_owned(),
    };
    json(request, status, &body);
}

/// Answers a call that was not begun.
pub fn refuse(request: Request, refusal: &EngineRefusal) {
    json(request, refusal_status(refusal.reason), refusal);
}

/// The refusal of a server that serves as many requests as it may.
pub fn server_full() -> EngineRefusal {
    EngineRefusal {
        reason: EngineRefusalReason::QueueFull,
        retry_after_millis: RETRY_AFTER_MILLIS,
    }
}

/// The refusal of a call that could not be understood.
pub fn malformed() -> EngineRefusal {
    EngineRefusal {
        reason: EngineRefusalReason::Malformed,
        retry_after_millis: 0,
    }
}

fn refusal_status(reason: EngineRefusalReason) -> u16 {
    match reason {
        EngineRefusalReason::Malformed => 400,
        EngineRefusalReason::UnknownRequest => 404,
        EngineRefusalReason::NotLoaded
        | EngineRefusalReason::WrongRole
        | EngineRefusalReason::TransferGone => 409,
        EngineRefusalReason::Draining | EngineRefusalReason::Changing | EngineRefusalReason::QueueFull => 503,
    }
}
