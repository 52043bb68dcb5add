//! Binds the peer port: the same number over TCP and UDP.

use crate::errors::StartError;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Free ports that are tried before giving up, when the port is left to the system.
const ATTEMPTS: usize = 32;

/// The two sockets of the peer protocol.
#[derive(Debug)]
pub struct PeerSockets {
    /// Requests, answers and streams.
    pub listener: TcpListener,
    /// Gossip.
    pub datagrams: UdpSocket,
    /// The address that both are bound to.
    pub address: SocketAddr,
}

/// Binds both sockets; with port 0, tries free ports until one is free for both.
pub fn bind(address: SocketAddr) -> Result<PeerSockets, StartError> {
    let mut attempts = if address.port() == 0 { ATTEMPTS } else { 1 };
    loop {
        attempts -= 1;
        match bind_pair(address) {
            Ok(sockets) => return Ok(sockets),
            Err(error) if attempts == 0 => {
                return Err(StartError::Bind {
                    address,
                    error: error.to_string(),
                });
            }
            Err(_) => {}
        }
    }
}

fn bind_pair(address: SocketAddr) -> std::io::Result<PeerSockets> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let datagrams = UdpSocket::bind(address)?;
    Ok(PeerSockets {
        listener,
        datagrams,
        address,
    })
}
