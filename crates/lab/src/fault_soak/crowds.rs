//! Crowds of clients that leave requests unfinished or exceed limits, beside everything else that strikes; nodes must stay within the
//! memory of their machines.

use super::deployment::Deployment;
use super::operator::MAX_BODY_BYTES;
use super::oracle::Violation;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Memory of a node's machine, in megabytes; its settings say the same unless a fault is planted.
pub const MACHINE_MEGABYTES: usize = 96;

const MEGABYTE: u64 = 1_000_000;

/// Connections of one crowd; two crowds at one node send more than its machine's memory.
const CONNECTIONS: usize = 60;

/// Time for which a crowd stays, in milliseconds.
const STAYS_MILLIS: std::ops::Range<u64> = 100..2_500;

/// Longest wait for a connection, and for a node to read.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Numbers from which crowds are counted, so that their draws are not those of others.
const CROWDS: u64 = 900_000;

/// Bytes of one write.
const PIECE_BYTES: usize = 64 * 1024;

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
enum Content {
    Nothing,
    PartOfHead,
    BodyWithoutEnd,
    ChunksWithoutEnd,
    BodyBeyondLimit,
}

impl Content {
    const ALL: [Self; 5] = [
        Self::Nothing,
        Self::PartOfHead,
        Self::BodyWithoutEnd,
        Self::ChunksWithoutEnd,
        Self::BodyBeyondLimit,
    ];

    fn head(self, request: &str) -> String {
        let framing = match self {
            Self::Nothing => return String::new(),
            Self::PartOfHead => return "POST /look/x HTTP/1.1\r\nHost: svc".to_owned(),
            Self::BodyWithoutEnd => format!("Content-Length: {}", MAX_BODY_BYTES),
            Self::BodyBeyondLimit => format!("Content-Length: {}", 4 * MAX_BODY_BYTES),
            Self::ChunksWithoutEnd => "Transfer-Encoding: chunked".to_owned(),
        };
        format!("POST /look/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: {request}\r\n{framing}\r\n\r\n")
    }

    fn body_bytes(self) -> usize {
        match self {
            Self::Nothing | Self::PartOfHead => 0,
            Self::BodyWithoutEnd => MAX_BODY_BYTES - 1,
            Self::ChunksWithoutEnd => MAX_BODY_BYTES,
            Self::BodyBeyondLimit => 4 * MAX_BODY_BYTES,
        }
    }
}

/// Sends one crowd after the other.
pub struct CrowdSender {
    number: u64,
    random: ChaCha8Rng,
    sent: u64,
}

impl CrowdSender {
    /// A sender with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(CROWDS + number)),
            sent: 0,
        }
    }

    /// Sends crowds to nodes drawn anew until `stop` is set.
    pub fn run(mut self, deployment: &Deployment, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let node = self.random.random_range(0..deployment.targets().nodes);
            let content = Content::ALL[self.random.random_range(0..Content::ALL.len())];
            let stays = Duration::from_millis(self.random.random_range(STAYS_MILLIS));
            let connected: Vec<_> = (0..CONNECTIONS)
                .filter_map(|_| self.send_one(deployment.address(node), content, stop))
                .collect();
            log::info!(node, content:? = content, connections = connected.len(); "crowd_sent");
            thread::sleep(stays);
        }
    }

    /// Sends what one client sends, as far as it is taken; its connection, still open.
    fn send_one(&mut self, node: SocketAddr, content: Content, stop: &AtomicBool) -> Option<TcpStream> {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        self.sent += 1;
        let mut stream = TcpStream::connect_timeout(&node, MAX_WAIT).ok()?;
        stream.set_write_timeout(Some(MAX_WAIT)).ok()?;
        let request = format!("crowd{}-{}", self.number, self.sent);
        // The node may refuse the request, end or stand still at any time.
        let _ = write(&mut stream, &content.head(&request), content);
        Some(stream)
    }
}

fn write(stream: &mut TcpStream, head: &str, content: Content) -> std::io::Result<()> {
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'x'; PIECE_BYTES];
    let mut left = content.body_bytes();
    while left > 0 {
        let part = &piece[..left.min(PIECE_BYTES)];
        if matches!(content, Content::ChunksWithoutEnd) {
            write!(stream, "{:x}\r\n", part.len())?;
            stream.write_all(part)?;
            stream.write_all(b"\r\n")?;
        } else {
            stream.write_all(part)?;
        }
        left -= part.len();
    }
    Ok(())
}

/// Nodes that took more memory than their machines have.
pub fn judge(peaks: &[u64]) -> Vec<Violation> {
    let limit = MACHINE_MEGABYTES as u64 * MEGABYTE;
    let nodes = peaks.iter().enumerate().filter(|(_, bytes)| **bytes > limit);
    nodes
        .map(|(node, bytes)| Violation::BeyondMachineMemory { node, bytes: *bytes })
        .collect()
}
