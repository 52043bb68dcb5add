//! Callers that each send to one node and keep a connection until it ends or an answer has `Connection: close`, which some ignore. They
//! reconnect to the same node at once, so that some requests arrive in the milliseconds in which its process ends.

use super::deployment::Deployment;
use super::operator::tenant_of;
use super::record::{CallKind, SeenAnswer, SeenCall};
use crate::users_platform::WORKING_ANSWER_BODY;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Begin of the names of their requests.
const PREFIX: &str = "bound";

/// End of the names of requests that are sent after an answer with `Connection: close`.
const HEEDLESS_END: &str = "-heedless";

/// Numbers from which these callers are counted, so that their draws are not those of others.
const BOUND_CALLERS: u64 = 1_200_000;

/// Deadline of their requests: short, so that a stopping node accepts them until late.
pub(super) const DEADLINE: Duration = Duration::from_millis(1_000);

/// Time after which a caller gives up whatever the node does.
const GIVES_UP: Duration = Duration::from_millis(2_500);

/// Pauses between two requests, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 0..30;

/// Pauses within a request that is sent in two pieces, in milliseconds.
const PIECE_PAUSE_MILLIS: std::ops::Range<u64> = 1..20;

/// Part of the requests that are sent in two pieces.
const IN_PIECES_PART: f64 = 0.3;

/// Part of the connections that are used on after an answer with `Connection: close`.
const HEEDLESS_PART: f64 = 0.1;

/// Pause before a node that takes no connection is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// One caller.
pub struct BoundCaller {
    number: u64,
    random: ChaCha8Rng,
    sent: u64,
}

impl BoundCaller {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(BOUND_CALLERS + number)),
            sent: 0,
        }
    }

    /// Sends requests to its node until `stop` is set; returns what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let node = self.number as usize % deployment.targets().nodes;
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            match Connection::open(deployment.address(node)) {
                Ok(connection) => self.use_up(connection, node, begun, stop, &mut seen),
                Err(_) => thread::sleep(RECONNECT_PAUSE),
            }
        }
        seen
    }

    /// Sends requests on a connection until it ends.
    fn use_up(
        &mut self,
        mut connection: Connection,
        node: usize,
        begun: Instant,
        stop: &AtomicBool,
        seen: &mut Vec<SeenCall>,
    ) {
        while !stop.load(Ordering::Relaxed) {
            let kind = if self.random.random_bool(0.7) {
                CallKind::Application
            } else {
                CallKind::Look
            };
            self.sent += 1;
            let end = if connection.closes { HEEDLESS_END } else { "" };
            let request = format!("{PREFIX}{}-{}{end}", self.number, self.sent);
            let sent_at = begun.elapsed();
            let piece_pause = self
                .random
                .random_bool(IN_PIECES_PART)
                .then(|| Duration::from_millis(self.random.random_range(PIECE_PAUSE_MILLIS)));
            let answer = connection.ask(&request, kind, piece_pause).ok();
            let has_ended = answer.is_none() || connection.closes;
            seen.push(SeenCall {
                request,
                kind,
                node,
                sent_at,
                took: begun.elapsed().saturating_sub(sent_at),
                answer,
            });
            if has_ended && !self.random.random_bool(HEEDLESS_PART) {
                return;
            }
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
        }
    }
}

/// Whether a request of theirs was sent after an answer with `Connection: close`.
pub fn is_heedless(request: &str) -> bool {
    request.ends_with(HEEDLESS_END)
}

/// Whether a request is one of theirs.
pub fn is_bound(request: &str) -> bool {
    request.starts_with(PREFIX)
}

/// A connection that speaks just enough HTTP/1.1 for answers with a length.
struct Connection {
    reader: BufReader<TcpStream>,
    /// Whether an answer had `Connection: close`.
    closes: bool,
}

impl Connection {
    fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, GIVES_UP)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(GIVES_UP))?;
        Ok(Self {
            reader: BufReader::new(stream),
            closes: false,
        })
    }

    fn ask(
        &mut self,
        request: &str,
        kind: CallKind,
        piece_pause: Option<Duration>,
    ) -> io::Result<SeenAnswer> {
        let text = format!(
            "POST {} HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: {request}\r\nKey: {}\r\nDeadline-Remaining: {}\r\nContent-Length: {}\r\n\r\n{WORKING_ANSWER_BODY}",
            kind.path(),
            tenant_of(request).key,
            DEADLINE.as_millis(),
            WORKING_ANSWER_BODY.len()
        );
        let (first, second) = text.as_bytes().split_at(text.len() / 2);
        let mut stream = self.reader.get_ref();
        match piece_pause {
            Some(pause) => {
                stream.write_all(first)?;
                thread::sleep(pause);
                stream.write_all(second)?;
            }
            None => stream.write_all(text.as_bytes())?,
        }
        self.read_answer()
    }

    fn read_answer(&mut self) -> io::Result<SeenAnswer> {
        let status_line = self.read_line()?;
        let status = status_line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut answer = SeenAnswer {
            status: status.ok_or(ErrorKind::InvalidData)?,
            request: None,
            signature: None,
            body: String::new(),
            whole: true,
        };
        let mut length = 0;
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let value = value.trim().to_owned();
            match name.to_ascii_lowercase().as_str() {
                "request-id" => answer.request = Some(value),
                "response-signature" => answer.signature = Some(value),
                "connection" => self.closes = value == "close",
                "content-length" => length = value.parse().map_err(|_| ErrorKind::InvalidData)?,
                _ => {}
            }
        }
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        answer.body = String::from_utf8_lossy(&body).into_owned();
        Ok(answer)
    }

    /// The next line of a head without its end; an error where the connection ends before.
    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line)?;
        if !line.ends_with("\r\n") {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_owned())
    }
}
