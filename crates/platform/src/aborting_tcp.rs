//! TCP connections that are reset when they are closed, so that no call arrives after its client has given it up.
//!
//! The kernel goes on sending what an ordinary close leaves unacknowledged, and a call that was held up behind a failed link arrives
//! when that works again: minutes later, or after the process has ended. A client of such a connection has read the whole answer or
//! has given the call up, so a reset loses nothing that is needed.
//!
//! Failures to connect are marked, so that "never connected" is known and not guessed from error kinds. The kinds alone do not tell: an
//! established connection can also end with "host unreachable" or "connection refused" when the network reports it late, and by then
//! the call may run.

use rustix::net::{RecvFlags, recv, sockopt};
use std::fmt;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

/// Opens TCP connections that are reset when they are closed; each failure to open one is an [`Error::Other`] that holds
/// [`NeverConnected`].
#[derive(Clone, Copy, Debug, Default)]
pub struct AbortingConnector {
    max_unacknowledged: Option<Duration>,
}

impl AbortingConnector {
    /// Connections that also break when sent bytes are not acknowledged for this long, which the kernel notices though the process is
    /// paused.
    pub fn with_max_unacknowledged(time: Duration) -> Self {
        Self {
            max_unacknowledged: Some(time),
        }
    }

    fn open(&self, details: &ConnectionDetails) -> Result<AbortingTcp, Error> {
        let address = details.addrs.first().ok_or(Error::HostNotFound)?;
        let connected = match details.timeout.not_zero() {
            Some(wait) => TcpStream::connect_timeout(address, *wait),
            None => TcpStream::connect(address),
        };
        let stream = connected.map_err(|error| timed(error, details.timeout))?;
        abort_on_close(&stream, self.max_unacknowledged)?;
        stream.set_nodelay(true)?;
        let config = details.config;
        Ok(AbortingTcp {
            stream,
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            read_timeout: None,
            write_timeout: None,
        })
    }
}

fn abort_on_close(stream: &TcpStream, max_unacknowledged: Option<Duration>) -> io::Result<()> {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO))?;
    if let Some(time) = max_unacknowledged {
        let millis = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        sockopt::set_tcp_user_timeout(stream, millis.max(1))?;
    }
    Ok(())
}

impl Connector<()> for AbortingConnector {
    type Out = AbortingTcp;

    fn connect(&self, details: &ConnectionDetails, _: Option<()>) -> Result<Option<Self::Out>, Error> {
        self.open(details)
            .map(Some)
            .map_err(|error| Error::Other(Box::new(NeverConnected(error))))
    }
}

/// A connection that is reset when it is closed.
#[derive(Debug)]
pub struct AbortingTcp {
    stream: TcpStream,
    buffers: LazyBuffers,
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

impl Transport for AbortingTcp {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        let wait = wait_of(timeout)?;
        if wait != self.write_timeout {
            self.stream.set_write_timeout(wait)?;
            self.write_timeout = wait;
        }
        let output = &self.buffers.output()[..amount];
        self.stream
            .write_all(output)
            .map_err(|error| timed(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        let wait = wait_of(timeout)?;
        if wait != self.read_timeout {
            self.stream.set_read_timeout(wait)?;
            self.read_timeout = wait;
        }
        let count = self
            .stream
            .read(self.buffers.input_append_buf())
            .map_err(|error| timed(error, timeout))?;
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    fn is_open(&mut self) -> bool {
        let mut byte = [0_u8; 1];
        let peeked = recv(&self.stream, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT);
        // Bytes that nobody asked for make the connection as useless as its end.
        matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }
}

/// Time left for an operation of the socket; absent if it has no limit.
fn wait_of(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(timeout.not_zero().map(|wait| *wait))
}

/// An error of the socket, where a wait that was too long is one of the client's own.
fn timed(error: io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => Error::Timeout(timeout.reason),
        _ => error.into(),
    }
}

/// The connection could not be opened, so nothing was sent.
#[derive(Debug)]
struct NeverConnected(Error);

impl fmt::Display for NeverConnected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "never connected: {}", self.0)
    }
}

impl std::error::Error for NeverConnected {}

/// Whether the error proves that nothing was sent.
pub fn never_connected(error: &Error) -> bool {
    match error {
        Error::Other(cause) => cause.is::<NeverConnected>(),
        _ => false,
    }
}
