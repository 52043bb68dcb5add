//! Listening sockets whose connections send small writes at once and give up on readers that stall.

use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// Binds an address for a server that streams.
///
/// Connections inherit both options on Linux. Without "no delay" the kernel holds a small token back until the one
/// before it is acknowledged, which a reader may put off by tens of milliseconds; without a send timeout a reader
/// that stalls keeps its writer's thread for ever.
pub fn bind_streaming(address: SocketAddr, write_timeout: Duration) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    let socket = SockRef::from(&listener);
    socket.set_tcp_nodelay(true)?;
    socket.set_write_timeout(Some(write_timeout))?;
    Ok(listener)
}
