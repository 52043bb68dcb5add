//! Reads a streamed answer piece by piece.

use super::server_sent_events::{DONE, next_data};
use super::wire::{CompletionChunk, StatedError};
use crate::caller::CallResult;
use std::fmt;
use std::io::BufReader;
use ureq::http::Response;
use ureq::{Body, BodyReader};

/// Header that carries the request's identifier.
const REQUEST_ID: &str = "x-request-id";

/// A streamed answer.
pub struct AnswerReader {
    request: Option<String>,
    reader: BufReader<BodyReader<'static>>,
    line: String,
}

impl fmt::Debug for AnswerReader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("AnswerReader");
        debug.field("request", &self.request).finish_non_exhaustive()
    }
}

/// What comes next in a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// More text.
    Text(String),
    /// The answer has ended.
    End(CallResult),
}

impl AnswerReader {
    pub(super) fn new(response: Response<Body>) -> Self {
        Self {
            request: request_id(&response),
            reader: BufReader::new(response.into_body().into_reader()),
            line: String::new(),
        }
    }

    /// The request's identifier, as the gateway gave it.
    pub fn request(&self) -> Option<&str> {
        self.request.as_deref()
    }

    /// Waits for the next piece.
    pub fn next_event(&mut self) -> AnswerEvent {
        loop {
            let data = match next_data(&mut self.reader, &mut self.line) {
                Ok(Some(data)) => data,
                Ok(None) | Err(_) => return AnswerEvent::End(CallResult::Broken),
            };
            if data == DONE {
                return AnswerEvent::End(CallResult::Completed);
            }
            if let Some(event) = event_of(&data) {
                return event;
            }
        }
    }

    /// Reads to the end; the whole text and how it ended.
    pub fn read_to_end(mut self) -> (String, CallResult) {
        let mut text = String::new();
        loop {
            match self.next_event() {
                AnswerEvent::Text(piece) => text.push_str(&piece),
                AnswerEvent::End(result) => return (text, result),
            }
        }
    }
}

/// The request's identifier, as the gateway gave it.
pub(super) fn request_id(response: &Response<Body>) -> Option<String> {
    let header = response.headers().get(REQUEST_ID)?;
    header.to_str().ok().map(str::to_owned)
}

/// The event that some data stands for; absent for data without text, such as the last one's token count.
fn event_of(data: &str) -> Option<AnswerEvent> {
    let chunk: CompletionChunk = match serde_json::from_str(data) {
        Ok(chunk) => chunk,
        Err(error) => {
            let reason = error.to_string();
            return Some(AnswerEvent::End(CallResult::Malformed { reason }));
        }
    };
    if let Some(error) = chunk.error {
        return Some(AnswerEvent::End(error.into_result(false)));
    }
    let text: String = chunk.choices.into_iter().map(|choice| choice.text).collect();
    (!text.is_empty()).then_some(AnswerEvent::Text(text))
}

impl StatedError {
    /// What the caller learns about its call.
    pub(super) fn into_result(self, retry_after: bool) -> CallResult {
        let code = self.code;
        match self.outcome.as_str() {
            "not_run" => CallResult::NotRun { code, retry_after },
            "failed" => CallResult::Failed { code },
            "unknown" => CallResult::Unknown { code, retry_after },
            other => CallResult::Malformed {
                reason: format!("outcome {other:?}"),
            },
        }
    }
}
