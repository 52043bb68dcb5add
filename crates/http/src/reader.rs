//! Reads requests from a socket within the limits.

use crate::limits::{HttpLimits, MAXIMUM_HEADERS};
use crate::request::{HttpHeader, HttpRequest};
use shelfjunction_buffers::{BufferAccount, PooledBytes, Shortage};
use shelfjunction_core::buffering::SMALL_REQUEST_BYTES;
use shelfjunction_threads::BootInstant;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Times that a handler holds a body: as it was read, and as it was parsed.
const BODY_COPIES: usize = 2;

/// Bytes asked of the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// Longest sleep of an idle connection before it looks whether the server stops.
const IDLE_STEP: Duration = Duration::from_millis(500);

/// Longest wait for a request that may be on its way when the server stops.
const LAST_LOOK: Duration = Duration::from_millis(100);

const CONTINUE_LINE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why no request could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// The caller closed, was silent too long between requests, or the server stops.
    Closed,
    /// The head is no HTTP/1.x, or says two things at once.
    Malformed,
    /// The head is longer, or has more headers, than allowed.
    HeadTooLarge,
    /// The head or the body took too long.
    TooSlow,
    /// The body has no `Content-Length`; bodies in chunks are not read.
    LengthRequired,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// Every connection is taken.
    TooManyConnections,
    /// There is no room for the body, or it gave way to others; nothing of the request has run.
    NoRoom,
}

impl ReadError {
    /// Status that tells the caller; absent where nobody listens.
    pub fn status(self) -> Option<u16> {
        match self {
            ReadError::Closed => None,
            ReadError::Malformed => Some(400),
            ReadError::HeadTooLarge => Some(431),
            ReadError::TooSlow => Some(408),
            ReadError::LengthRequired => Some(411),
            ReadError::BodyTooLarge => Some(413),
            ReadError::TooManyConnections | ReadError::NoRoom => Some(503),
        }
    }
}

/// Reads one connection; keeps what came beyond the present request.
pub(crate) struct RequestReader {
    buffer: Vec<u8>,
    limits: HttpLimits,
    account: Arc<BufferAccount>,
}

struct Head {
    request: HttpRequest,
    length: usize,
    body_length: usize,
    expects_continue: bool,
}

impl RequestReader {
    pub(crate) fn new(limits: HttpLimits, account: Arc<BufferAccount>) -> Self {
        Self {
            buffer: Vec::new(),
            limits,
            account,
        }
    }

    /// Reads the next request; `stopping` is asked while the connection is idle.
    pub(crate) fn next(
        &mut self,
        stream: &TcpStream,
        stopping: &dyn Fn() -> bool,
    ) -> Result<HttpRequest, ReadError> {
        if self.buffer.is_empty() {
            self.wait_for_first_byte(stream, stopping)?;
        }
        let head = self.read_head(stream)?;
        if head.body_length > self.limits.body_bytes {
            return Err(ReadError::BodyTooLarge);
        }
        self.buffer.drain(..head.length);
        if head.expects_continue && self.buffer.len() < head.body_length {
            (&*stream)
                .write_all(CONTINUE_LINE)
                .map_err(|_| ReadError::Closed)?;
        }
        let body = self.read_body(stream, head.body_length)?;
        Ok(HttpRequest {
            peer: stream.peer_addr().ok().map(|address| address.ip()),
            body,
            ..head.request
        })
    }

    fn wait_for_first_byte(
        &mut self,
        stream: &TcpStream,
        stopping: &dyn Fn() -> bool,
    ) -> Result<(), ReadError> {
        let until = BootInstant::now() + self.limits.idle_time();
        loop {
            let stops = stopping();
            let left = until.since(BootInstant::now());
            if left.is_zero() {
                return Err(ReadError::Closed);
            }
            // A request that is on its way when the server stops is read and refused; closing before it would
            // reset the connection and leave its caller without a word.
            let step = if stops { LAST_LOOK } else { IDLE_STEP };
            match self.fill(stream, left.min(step)) {
                Ok(0) => return Err(ReadError::Closed),
                Ok(_) => return Ok(()),
                Err(error) if timed_out(&error) && stops => return Err(ReadError::Closed),
                Err(error) if timed_out(&error) => {}
                Err(_) => return Err(ReadError::Closed),
            }
        }
    }

    fn read_head(&mut self, stream: &TcpStream) -> Result<Head, ReadError> {
        let until = BootInstant::now() + self.limits.head_time();
        loop {
            if let Some(head) = parse_head(&self.buffer, &self.limits)? {
                return Ok(head);
            }
            if self.buffer.len() > self.limits.head_bytes {
                return Err(ReadError::HeadTooLarge);
            }
            self.fill_until(stream, until)?;
        }
    }

    fn read_body(&mut self, stream: &TcpStream, length: usize) -> Result<PooledBytes, ReadError> {
        if length == 0 {
            return Ok(PooledBytes::default());
        }
        let mut body = self.begin_body(stream, length)?;
        let until = BootInstant::now() + self.limits.body_time();
        loop {
            let count = self.buffer.len().min(length - body.len());
            body.add(&self.buffer[..count]).map_err(no_room)?;
            self.buffer.drain(..count);
            if body.len() == length {
                body.finish().map_err(no_room)?;
                return Ok(body);
            }
            self.fill_until(stream, until).map_err(|error| match error {
                // The account has stopped the reading.
                ReadError::Closed if body.is_dropped() => no_room(Shortage::Dropped),
                error => error,
            })?;
        }
    }

    /// Begins to receive a body; the reading of a large one ends if it has to give way to others.
    fn begin_body(&self, stream: &TcpStream, length: usize) -> Result<PooledBytes, ReadError> {
        let body = if length <= SMALL_REQUEST_BYTES {
            PooledBytes::receive(&self.account, length, BODY_COPIES, || {})
        } else {
            let stream = stream.try_clone().map_err(|_| ReadError::NoRoom)?;
            PooledBytes::receive(&self.account, length, BODY_COPIES, move || {
                // A caller that has closed already can't be stopped, and need not be.
                let _ = stream.shutdown(Shutdown::Read);
            })
        };
        body.map_err(no_room)
    }

    fn fill_until(&mut self, stream: &TcpStream, until: BootInstant) -> Result<(), ReadError> {
        let left = until.since(BootInstant::now());
        if left.is_zero() {
            return Err(ReadError::TooSlow);
        }
        match self.fill(stream, left) {
            Ok(0) => Err(ReadError::Closed),
            Ok(_) => Ok(()),
            Err(error) if timed_out(&error) => Err(ReadError::TooSlow),
            Err(_) => Err(ReadError::Closed),
        }
    }

    fn fill(&mut self, stream: &TcpStream, wait: Duration) -> io::Result<usize> {
        stream.set_read_timeout(Some(wait))?;
        let mut bytes = [0; READ_BYTES];
        let read = (&*stream).read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }
}

fn no_room(shortage: Shortage) -> ReadError {
    log::info!(cause = shortage.name(); "request_without_room");
    ReadError::NoRoom
}

fn timed_out(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}

fn parse_head(bytes: &[u8], limits: &HttpLimits) -> Result<Option<Head>, ReadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ReadError::HeadTooLarge),
        Err(_) => return Err(ReadError::Malformed),
    };
    if length > limits.head_bytes {
        return Err(ReadError::HeadTooLarge);
    }
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version) else {
        return Err(ReadError::Malformed);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let is_http_1_1 = version == 1;
    let mut request = HttpRequest {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers: parsed.headers.iter().map(owned_header).collect(),
        body: PooledBytes::default(),
        peer: None,
        keep_alive: false,
        is_http_1_1,
    };
    request.keep_alive = keeps_alive(&request);
    Ok(Some(Head {
        body_length: body_length(&request)?,
        expects_continue: is_http_1_1 && expects_continue(&request),
        request,
        length,
    }))
}

fn owned_header(header: &httparse::Header<'_>) -> HttpHeader {
    HttpHeader {
        name: header.name.to_owned(),
        value: header.value.to_vec(),
    }
}

/// A length that is stated twice, or beside a transfer encoding, lets two readers see different requests.
fn body_length(request: &HttpRequest) -> Result<usize, ReadError> {
    if request.header_count("Transfer-Encoding") > 0 {
        return Err(ReadError::LengthRequired);
    }
    match request.header_count("Content-Length") {
        0 => Ok(0),
        1 => {
            let text = request.header("Content-Length").unwrap_or_default();
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            if !digits {
                return Err(ReadError::Malformed);
            }
            text.parse().map_err(|_| ReadError::BodyTooLarge)
        }
        _ => Err(ReadError::Malformed),
    }
}

fn keeps_alive(request: &HttpRequest) -> bool {
    let wishes = request
        .header("Connection")
        .unwrap_or_default()
        .to_ascii_lowercase();
    if request.is_http_1_1 {
        !wishes.contains("close")
    } else {
        wishes.contains("keep-alive")
    }
}

fn expects_continue(request: &HttpRequest) -> bool {
    request
        .header("Expect")
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
}
