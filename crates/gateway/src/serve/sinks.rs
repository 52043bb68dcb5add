//! The two ways to hand an answer to a caller: event by event, or whole.

use super::answers::AnswerFrame;
use super::refusal::{CallerError, JSON};
use crate::course::{AnswerSink, Delivery, SinkClosed};
use crate::identifiers::public_id;
use shelfjunction_http::{Answer, AnswerHeader, Answered, Responder, StreamWriter};
use shelfjunction_protocol::caller::{REQUEST_ID, STREAM_END};

const EVENT_STREAM: &str = "text/event-stream";

enum StreamState<'a> {
    /// Nothing was written yet.
    Waiting(Responder<'a>),
    /// Events are being written.
    Open(StreamWriter<'a>),
    /// The connection broke.
    Broken,
}

/// Streams server-sent events; the head is written with the first token, so that an error before it has a status.
pub(super) struct EventSink<'a> {
    frame: AnswerFrame,
    state: StreamState<'a>,
}

impl<'a> EventSink<'a> {
    pub(super) fn new(frame: AnswerFrame, responder: Responder<'a>) -> Self {
        Self {
            frame,
            state: StreamState::Waiting(responder),
        }
    }

    /// Ends the answer: in order after a whole one, with the error otherwise.
    pub(super) fn end(self, id: &str, error: Option<&CallerError>) -> Answered {
        match (self.state, error) {
            (StreamState::Waiting(responder), Some(error)) => responder.answer(&error.answer(Some(id))),
            (StreamState::Open(mut writer), Some(error)) => {
                let mut event = b"data: ".to_vec();
                event.extend(error.body(Some(id)));
                event.extend(b"\n\n");
                match writer.write(&event) {
                    Ok(()) => writer.finish(),
                    Err(_) => writer.abort(),
                }
            }
            (StreamState::Open(mut writer), None) => {
                match writer.write(format!("data: {STREAM_END}\n\n").as_bytes()) {
                    Ok(()) => writer.finish(),
                    Err(_) => writer.abort(),
                }
            }
            (StreamState::Waiting(responder), None) => {
                let answer = Answer::new(200, EVENT_STREAM, format!("data: {STREAM_END}\n\n"));
                responder.answer(&answer.with_header(REQUEST_ID, id))
            }
            (StreamState::Broken, _) => Answered::broken(),
        }
    }

    fn write(&mut self, id: &str, event: &[u8]) -> Result<(), SinkClosed> {
        let state = std::mem::replace(&mut self.state, StreamState::Broken);
        let mut writer = match state {
            StreamState::Waiting(responder) => {
                let headers = [
                    AnswerHeader {
                        name: REQUEST_ID,
                        value: id.to_owned(),
                    },
                    AnswerHeader {
                        name: "Cache-Control",
                        value: "no-store".to_owned(),
                    },
                ];
                responder
                    .stream(200, EVENT_STREAM, &headers)
                    .map_err(|_| SinkClosed)?
            }
            StreamState::Open(writer) => writer,
            StreamState::Broken => return Err(SinkClosed),
        };
        if writer.write(event).is_err() {
            writer.abort();
            return Err(SinkClosed);
        }
        self.state = StreamState::Open(writer);
        Ok(())
    }
}

impl AnswerSink for EventSink<'_> {
    fn token(&mut self, delivery: Delivery<'_>, offset: u32, text: &str) -> Result<(), SinkClosed> {
        let id = public_id(delivery.request, delivery.engine);
        let event = self.frame.token_event(&id, offset, text);
        self.write(&id, &event)
    }

    fn finished(&mut self, delivery: Delivery<'_>, tokens: u32, cached: u32) -> Result<(), SinkClosed> {
        let id = public_id(delivery.request, delivery.engine);
        let event = self.frame.end_event(&id, tokens, cached);
        self.write(&id, &event)
    }

    fn caller_is_gone(&self) -> bool {
        match &self.state {
            StreamState::Waiting(responder) => responder.caller_is_gone(),
            StreamState::Open(writer) => writer.caller_is_gone(),
            StreamState::Broken => true,
        }
    }
}

/// Collects a whole answer, up to a limit.
pub(super) struct WholeSink<'a> {
    frame: AnswerFrame,
    responder: Responder<'a>,
    text: String,
    limit: usize,
    too_long: bool,
    tokens: u32,
    cached: u32,
}

impl<'a> WholeSink<'a> {
    pub(super) fn new(frame: AnswerFrame, responder: Responder<'a>, limit: usize) -> Self {
        Self {
            frame,
            responder,
            text: String::new(),
            limit,
            too_long: false,
            tokens: 0,
            cached: 0,
        }
    }

    /// Writes the answer or the error.
    pub(super) fn end(self, id: &str, error: Option<&CallerError>) -> Answered {
        let too_long = self.too_long.then(CallerError::answer_too_long);
        if let Some(error) = too_long.as_ref().or(error) {
            return self.responder.answer(&error.answer(Some(id)));
        }
        let body = self.frame.whole(id, self.text, self.tokens, self.cached);
        let answer = Answer::new(200, JSON, body).with_header(REQUEST_ID, id);
        self.responder.answer(&answer)
    }
}

impl AnswerSink for WholeSink<'_> {
    fn token(&mut self, _: Delivery<'_>, _: u32, text: &str) -> Result<(), SinkClosed> {
        // A longer answer stays at its engine, where the caller can fetch it as a stream.
        if self.text.len() + text.len() > self.limit {
            self.too_long = true;
            return Err(SinkClosed);
        }
        self.text.push_str(text);
        Ok(())
    }

    fn finished(&mut self, _: Delivery<'_>, tokens: u32, cached: u32) -> Result<(), SinkClosed> {
        self.tokens = tokens;
        self.cached = cached;
        Ok(())
    }

    fn caller_is_gone(&self) -> bool {
        self.responder.caller_is_gone()
    }
}
