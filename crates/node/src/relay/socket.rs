//! Options of the connection between two nodes that carries a tunnel.

use rustix::net::sockopt;
use std::io;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which a connection counts as broken on which sent bytes or probes are not acknowledged.
const UNACKNOWLEDGED_MILLIS: u32 = 3_000;

/// Idle time after which the other end is probed: its machine may have failed without closing the connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two such probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the options and makes the socket non-blocking.
pub(super) fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_MILLIS)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    stream.set_nonblocking(true)
}
