//! One question to a controller over a connection of its own.

use shelfjunction_protocol::frame::{FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Opens a connection whose every step is bounded.
pub(crate) fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpStream, FrameError> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one request and reads its answer; absent when the controller closed without one.
pub(crate) fn ask(stream: &mut TcpStream, request: &PeerRequest) -> Result<Option<PeerResponse>, FrameError> {
    write_frame(stream, request)?;
    read_frame(stream)
}
