//! How datagrams leave and reach a process; experiments put a cut in between.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// A bound datagram socket, or something that stands in for one.
pub trait DatagramTransport: Send {
    /// Sends one datagram; an error concerns this one only.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;

    /// Waits for one datagram; fails when none came within the time set.
    fn receive_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)>;

    /// Sets the longest wait for a datagram.
    fn set_wait(&self, wait: Duration) -> io::Result<()>;
}

impl DatagramTransport for UdpSocket {
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        UdpSocket::send_to(self, bytes, to).map(drop)
    }

    fn receive_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer)
    }

    fn set_wait(&self, wait: Duration) -> io::Result<()> {
        self.set_read_timeout(Some(wait))
    }
}
