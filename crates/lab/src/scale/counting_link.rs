//! A TCP link that counts what passes.

use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes copied at once.
const BUFFER_BYTES: usize = 4 * 1_024;

/// A running link; its threads end with the process.
#[derive(Clone, Debug)]
pub struct CountingLink {
    address: SocketAddr,
    bytes: Arc<AtomicU64>,
    connections: Arc<AtomicU64>,
}

impl CountingLink {
    /// Listens on a free port and passes connections to `target`.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let link = Self {
            address: listener.local_addr()?,
            bytes: Arc::default(),
            connections: Arc::default(),
        };
        let of_thread = link.clone();
        std::thread::Builder::new()
            .name("counting-link".to_owned())
            .spawn(move || {
                while let Ok((near, _)) = listener.accept() {
                    of_thread.connections.fetch_add(1, Ordering::Relaxed);
                    // A connection that can't be passed on is closed, as its caller sees.
                    let _ = of_thread.pass(near, target);
                }
            })?;
        Ok(link)
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes that passed in both directions, without headers of TCP and IP.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Connections that were opened.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }

    fn pass(&self, near: TcpStream, target: SocketAddr) -> io::Result<()> {
        let far = TcpStream::connect(target)?;
        for (from, to) in [(near.try_clone()?, far.try_clone()?), (far, near)] {
            let bytes = Arc::clone(&self.bytes);
            std::thread::Builder::new()
                .name("counting-link".to_owned())
                .spawn(move || copy(from, to, &bytes))?;
        }
        Ok(())
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, bytes: &AtomicU64) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(length) = from.read(&mut buffer) {
        if length == 0 || to.write_all(&buffer[..length]).is_err() {
            break;
        }
        bytes.fetch_add(u64::try_from(length).unwrap_or(u64::MAX), Ordering::Relaxed);
    }
    // The other side may be gone already.
    let _ = to.shutdown(Shutdown::Write);
}
