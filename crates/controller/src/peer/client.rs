//! One request to a peer over a connection of its own.

use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Why a peer gave no answer.
#[derive(Debug)]
pub enum PeerError {
    /// The peer could not be reached, or the connection failed.
    Frame(FrameError),
    /// The peer closed without an answer.
    Closed,
    /// The peer refused, or answered something else than was asked.
    Unexpected,
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Frame(error) => error.fmt(formatter),
            Self::Closed => formatter.write_str("closed without an answer"),
            Self::Unexpected => formatter.write_str("answered something else"),
        }
    }
}

impl From<FrameError> for PeerError {
    fn from(error: FrameError) -> Self {
        Self::Frame(error)
    }
}

impl From<std::io::Error> for PeerError {
    fn from(error: std::io::Error) -> Self {
        Self::Frame(error.into())
    }
}

/// Sends one request and reads its answer, each step within `timeout`.
pub fn ask(address: SocketAddr, request: &PeerRequest, timeout: Duration) -> Result<PeerResponse, PeerError> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_frame(&mut stream, request)?;
    read_frame(&mut stream)?.ok_or(PeerError::Closed)
}
