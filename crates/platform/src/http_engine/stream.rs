//! An engine's answer: one JSON part per line, handed on as it arrives.

use crate::engine::{AnswerStream, StreamError};
use shelfjunction_core::engine::AnswerPart;
use std::io::{BufRead, BufReader, Read};
use ureq::{Body, BodyReader};

/// Longest line that is read, in bytes; a longer one is malformed.
const MAXIMUM_PART_BYTES: u64 = 64 * 1024;

/// Parts read from a chunked response.
pub struct HttpAnswerStream {
    reader: BufReader<BodyReader<'static>>,
    line: Vec<u8>,
}

impl HttpAnswerStream {
    /// Reads parts from the body of a response.
    pub fn new(body: Body) -> Self {
        Self {
            reader: BufReader::new(body.into_reader()),
            line: Vec::new(),
        }
    }
}

impl AnswerStream for HttpAnswerStream {
    fn next_part(&mut self) -> Result<Option<AnswerPart>, StreamError> {
        self.line.clear();
        let mut limited = self.reader.by_ref().take(MAXIMUM_PART_BYTES);
        let read = limited
            .read_until(b'\n', &mut self.line)
            .map_err(|_| StreamError::Disconnected)?;
        if read == 0 {
            return Ok(None);
        }
        if self.line.last() != Some(&b'\n') {
            return Err(unfinished_line(read));
        }
        let part = serde_json::from_slice(&self.line);
        part.map(Some)
            .map_err(|error| StreamError::Malformed(error.to_string()))
    }
}

/// A line without an end is either too long or cut off.
fn unfinished_line(read: usize) -> StreamError {
    if read as u64 == MAXIMUM_PART_BYTES {
        return StreamError::Malformed("line too long".to_owned());
    }
    StreamError::Disconnected
}
