//! Clients on raw sockets: crowds that leave requests unfinished, and single requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// Longest wait for one read or write; a crowd that is not read waits no longer.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// How a body is framed and sent.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// With its length, in pieces.
    Length { piece_bytes: usize },
    /// In chunks.
    Chunked { chunk_bytes: usize },
}

/// How much of a request is sent.
#[derive(Clone, Copy, Debug)]
pub enum Send {
    /// A part of its head.
    PartOfHead,
    /// A body of so many bytes but for its end: its last byte, or its last chunk, which is empty.
    AllButEnd(usize),
    /// A body of so many bytes.
    Whole(usize),
}

/// Clients that send the same at once.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub clients: usize,
    /// Method and path.
    pub target: &'static str,
    pub framing: Framing,
    pub send: Send,
}

impl Crowd {
    /// Sends everything, or as much as is taken; the connections, still open.
    pub fn send(&self, address: SocketAddr) -> Vec<TcpStream> {
        let clients: Vec<_> = (0..self.clients)
            .map(|number| {
                let crowd = self.clone();
                thread::spawn(move || {
                    let mut stream = TcpStream::connect(address).unwrap();
                    stream.set_write_timeout(Some(MAX_WAIT)).unwrap();
                    // The node may refuse the request at any time.
                    let _ = crowd.send_one(&mut stream, number);
                    stream
                })
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    }

    fn send_one(&self, stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
        let name = format!("crowd-{number}");
        match self.send {
            Send::PartOfHead => stream.write_all(b"POST /look/x HTTP/1.1\r\nHost: svc"),
            Send::AllButEnd(bytes) => {
                stream.write_all(head(&name, self.target, self.framing, bytes).as_bytes())?;
                let sent = match self.framing {
                    Framing::Length { .. } => bytes - 1,
                    Framing::Chunked { .. } => bytes,
                };
                send_body(stream, self.framing, sent)
            }
            Send::Whole(bytes) => {
                stream.write_all(head(&name, self.target, self.framing, bytes).as_bytes())?;
                send_body(stream, self.framing, bytes)?;
                end_body(stream, self.framing)
            }
        }
    }
}

/// Waits until the node has answered on each connection, or has closed it.
pub fn await_ends(connected: Vec<TcpStream>) {
    for mut stream in connected {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        status(&mut stream);
    }
}

/// Sends one whole request; the status of its answer, zero if none comes.
pub fn ask(address: SocketAddr, framing: Framing, bytes: usize) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return 0;
    };
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream.set_write_timeout(Some(MAX_WAIT)).unwrap();
    let sent = stream
        .write_all(head("single", "POST /look/x", framing, bytes).as_bytes())
        .and_then(|()| send_body(&mut stream, framing, bytes))
        .and_then(|()| end_body(&mut stream, framing));
    sent.map_or(0, |()| status(&mut stream))
}

/// Sends a small request until its answer is no refusal for now, as callers that return do.
pub fn ask_until_taken(address: SocketAddr, name: &str) -> u16 {
    const MAX_TRIES: usize = 10;
    let mut last = 0;
    for attempt in 0..MAX_TRIES {
        last = ask_once(address, &format!("{name}-{attempt}"));
        if !matches!(last, 0 | 429 | 503) {
            break;
        }
    }
    last
}

fn ask_once(address: SocketAddr, name: &str) -> u16 {
    let framing = Framing::Length { piece_bytes: 4 };
    let Ok(mut stream) = TcpStream::connect(address) else {
        return 0;
    };
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let request = format!("{}body", head(name, "POST /look/x", framing, 4));
    let sent = stream.write_all(request.as_bytes());
    sent.map_or(0, |()| status(&mut stream))
}

fn head(name: &str, target: &str, framing: Framing, bytes: usize) -> String {
    let length = match framing {
        Framing::Length { .. } => format!("Content-Length: {bytes}"),
        Framing::Chunked { .. } => "Transfer-Encoding: chunked".to_owned(),
    };
    format!(
        "{target} HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: {name}\r\nDeadline-Remaining: 4000\r\n{length}\r\n\r\n"
    )
}

fn send_body(stream: &mut TcpStream, framing: Framing, bytes: usize) -> std::io::Result<()> {
    match framing {
        Framing::Length { piece_bytes } => {
            let piece = vec![b'x'; piece_bytes];
            for start in (0..bytes).step_by(piece_bytes) {
                stream.write_all(&piece[..piece_bytes.min(bytes - start)])?;
            }
            Ok(())
        }
        Framing::Chunked { chunk_bytes } => {
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
            let chunks = (bytes / chunk_bytes).max(1);
            // Few large writes, so that the clients are not the slow part.
            let at_once = (64 * 1024 / chunk.len()).clamp(1, chunks);
            let batch = chunk.repeat(at_once);
            for _ in 0..chunks / at_once {
                stream.write_all(batch.as_bytes())?;
            }
            stream.write_all(chunk.repeat(chunks % at_once).as_bytes())
        }
    }
}

fn end_body(stream: &mut TcpStream, framing: Framing) -> std::io::Result<()> {
    match framing {
        Framing::Length { .. } => Ok(()),
        Framing::Chunked { .. } => stream.write_all(b"0\r\n\r\n"),
    }
}

/// Status of the answer that comes; zero if the connection ends before its first line is whole.
fn status(stream: &mut TcpStream) -> u16 {
    let mut line = Vec::new();
    let mut byte = [0; 1];
    while !line.ends_with(b"\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => line.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            _ => return 0,
        }
    }
    let line = String::from_utf8(line).unwrap();
    line.split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0)
}
