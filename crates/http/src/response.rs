//! Writes answers: whole ones with their length, and streams whose every write leaves at once.

use chunked_transfer::Encoder;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::SystemTime;
use tiny_http::StatusCode;

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'static str,
    /// Further headers; a line break in one is a broken invariant of the handler and drops that header.
    pub headers: Vec<AnswerHeader>,
    /// Body.
    pub body: Vec<u8>,
}

/// One header of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHeader {
    /// Name.
    pub name: &'static str,
    /// Value.
    pub value: String,
}

impl Answer {
    /// An answer of that status with a body of that type.
    pub fn new(status: u16, content_type: &'static str, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            content_type,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push(AnswerHeader {
            name,
            value: value.into(),
        });
        self
    }
}

/// Whether the connection can carry another request; made by answering.
#[derive(Debug)]
pub struct Answered {
    pub(crate) reusable: bool,
}

impl Answered {
    /// The connection broke before the request could be answered.
    pub fn broken() -> Self {
        Self { reusable: false }
    }
}

/// The one way to answer a request.
pub struct Responder<'a> {
    stream: &'a TcpStream,
    keep_alive: bool,
    chunks: bool,
    without_body: bool,
    ends_with_connection: bool,
}

impl<'a> Responder<'a> {
    pub(crate) fn new(stream: &'a TcpStream, keep_alive: bool, chunks: bool, without_body: bool) -> Self {
        Self {
            stream,
            keep_alive,
            chunks,
            without_body,
            ends_with_connection: false,
        }
    }

    /// The same for an answer with neither a length nor chunks, which ends with its connection.
    pub fn ending_with_connection(self) -> Self {
        Self {
            keep_alive: false,
            chunks: false,
            ends_with_connection: true,
            ..self
        }
    }

    /// Writes a whole answer.
    pub fn answer(self, answer: &Answer) -> Answered {
        let mut bytes = head_bytes(answer.status, answer.content_type, &answer.headers);
        if !self.ends_with_connection {
            bytes.extend(format!("Content-Length: {}\r\n", answer.body.len()).bytes());
        }
        bytes.extend(connection_line(self.keep_alive));
        bytes.extend(b"\r\n");
        if !self.without_body {
            bytes.extend(&answer.body);
        }
        let written = (&*self.stream).write_all(&bytes);
        Answered {
            reusable: written.is_ok() && self.keep_alive,
        }
    }

    /// Writes the head of a stream and hands out its writer.
    pub fn stream(
        self,
        status: u16,
        content_type: &'static str,
        headers: &[AnswerHeader],
    ) -> io::Result<StreamWriter<'a>> {
        let keep_alive = self.keep_alive && self.chunks;
        let mut bytes = head_bytes(status, content_type, headers);
        if self.chunks {
            bytes.extend(b"Transfer-Encoding: chunked\r\n");
        }
        bytes.extend(connection_line(keep_alive));
        bytes.extend(b"\r\n");
        (&*self.stream).write_all(&bytes)?;
        let output = if self.chunks {
            StreamOutput::Chunks(Encoder::with_flush_after_write(self.stream))
        } else {
            StreamOutput::Plain(self.stream)
        };
        Ok(StreamWriter { output, keep_alive })
    }

    /// Whether the caller closed its connection. One that only stopped sending looks the same and counts as gone.
    pub fn caller_is_gone(&self) -> bool {
        is_gone(self.stream)
    }
}

enum StreamOutput<'a> {
    Chunks(Encoder<&'a TcpStream>),
    Plain(&'a TcpStream),
}

/// Writes a stream; what is written leaves at once.
pub struct StreamWriter<'a> {
    output: StreamOutput<'a>,
    keep_alive: bool,
}

impl StreamWriter<'_> {
    /// Writes one piece; an error means that the caller is gone or reads too slowly.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.output {
            StreamOutput::Chunks(encoder) => encoder.write_all(bytes),
            StreamOutput::Plain(stream) => stream.write_all(bytes),
        }
    }

    /// Ends the stream in order.
    pub fn finish(self) -> Answered {
        // Dropping the encoder writes the last chunk.
        drop(self.output);
        Answered {
            reusable: self.keep_alive,
        }
    }

    /// Breaks the connection without the last chunk, so that the caller sees that the answer is not whole.
    pub fn abort(self) -> Answered {
        let stream = match &self.output {
            StreamOutput::Chunks(encoder) => &**encoder.get_ref(),
            StreamOutput::Plain(stream) => &**stream,
        };
        // A caller that is gone already has nothing left to break.
        let _ = stream.shutdown(std::net::Shutdown::Both);
        Answered { reusable: false }
    }

    /// Whether the caller closed its connection.
    pub fn caller_is_gone(&self) -> bool {
        match &self.output {
            StreamOutput::Chunks(encoder) => is_gone(encoder.get_ref()),
            StreamOutput::Plain(stream) => is_gone(stream),
        }
    }
}

fn is_gone(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let restored = stream.set_nonblocking(false);
    let closed = match peeked {
        Ok(read) => read == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    closed || restored.is_err()
}

fn head_bytes(status: u16, content_type: &str, headers: &[AnswerHeader]) -> Vec<u8> {
    let phrase = StatusCode(status).default_reason_phrase();
    let date = httpdate::fmt_http_date(SystemTime::now());
    let mut head = format!("HTTP/1.1 {status} {phrase}\r\nDate: {date}\r\nContent-Type: {content_type}\r\n");
    for header in headers.iter().filter(|header| is_one_line(&header.value)) {
        head.push_str(header.name);
        head.push_str(": ");
        head.push_str(&header.value);
        head.push_str("\r\n");
    }
    head.into_bytes()
}

fn is_one_line(value: &str) -> bool {
    !value.contains(['\r', '\n'])
}

fn connection_line(keep_alive: bool) -> &'static [u8] {
    if keep_alive {
        b"Connection: keep-alive\r\n"
    } else {
        b"Connection: close\r\n"
    }
}
