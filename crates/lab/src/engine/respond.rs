//! Answers in JSON.

use serde::Serialize;
use shelfjunction_core::engine::{EngineRefusal, EngineRefusalReason};
use shelfjunction_http::{Answer, ReadError};

/// Type of every answer that is not a stream.
const JSON: &str = "application/json";

/// Time to come back after the server itself is full, in milliseconds.
const RETRY_AFTER_MILLIS: u64 = 250;

/// Body of an answer to a request that could not be served.
#[derive(Clone, Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// An answer with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Answer {
    Answer::new(status, JSON, serde_json::to_vec(body).unwrap_or_default())
}

/// An answer that says what is wrong.
pub fn error(status: u16, message: &str) -> Answer {
    json(status, &ErrorBody { error: message })
}

/// The answer to a call that was not begun.
pub fn refuse(refusal: &EngineRefusal) -> Answer {
    json(refusal_status(refusal.reason), refusal)
}

/// The answer to a request that could not be read; none of it ran.
pub fn unreadable(cause: ReadError) -> Option<Answer> {
    let status = cause.status()?;
    let reason = match cause {
        ReadError::TooManyConnections => EngineRefusalReason::QueueFull,
        _ => EngineRefusalReason::Malformed,
    };
    Some(json(status, &refusal(reason)))
}

/// A refusal with a time to come back where that makes sense.
pub fn refusal(reason: EngineRefusalReason) -> EngineRefusal {
    let retry_after_millis = match reason {
        EngineRefusalReason::QueueFull => RETRY_AFTER_MILLIS,
        _ => 0,
    };
    EngineRefusal {
        reason,
        retry_after_millis,
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
