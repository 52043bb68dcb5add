//! Links between zones that can be cut.

use super::plan::zone_of;
use shelfjunction_controller::gossip::DatagramTransport;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Stands for "no zone is cut off".
const NONE: usize = usize::MAX;

/// Which zone is cut off from all others; clones share it.
#[derive(Clone, Debug)]
pub struct Links {
    cut: Arc<AtomicUsize>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            cut: Arc::new(AtomicUsize::new(NONE)),
        }
    }
}

impl Links {
    /// Cuts a zone off.
    pub fn cut(&self, zone: usize) {
        self.cut.store(zone, Ordering::Relaxed);
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.cut.store(NONE, Ordering::Relaxed);
    }

    /// Whether anything passes from a zone to an address.
    pub fn pass(&self, zone: usize, to: SocketAddr) -> bool {
        let cut = self.cut.load(Ordering::Relaxed);
        let far = zone_of(to);
        cut == NONE || far == Some(zone) || (zone != cut && far != Some(cut))
    }

    /// Whether a zone reaches the platform, which lies outside all zones.
    pub fn reaches_platform(&self, zone: usize) -> bool {
        self.cut.load(Ordering::Relaxed) != zone
    }
}

/// A socket of a zone whose datagrams pass only where the links do.
#[derive(Debug)]
pub struct CutSocket {
    /// The socket.
    pub socket: UdpSocket,
    /// Zone of the socket's node.
    pub zone: usize,
    /// The links.
    pub links: Links,
}

impl DatagramTransport for CutSocket {
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        if !self.links.pass(self.zone, to) {
            return Ok(());
        }
        self.socket.send_to(bytes, to).map(drop)
    }

    fn receive_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(buffer)
    }

    fn set_wait(&self, wait: Duration) -> io::Result<()> {
        self.socket.set_read_timeout(Some(wait))
    }
}
