//! Loopback addresses for the parts of a small deployment on one machine.
//!
//! A node's gateway and controller name each other in their settings, so their addresses must be known before
//! either starts. Asking the system for a free port, giving it back and binding it later can lose it to another
//! program; an address of 127.0.0.0/8 that depends on the process's identifier is nobody else's.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port handed out; below the range from which Linux takes ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Ports from which the system takes those of outgoing connections start here.
const END_PORT: u16 = 32_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);

/// A loopback address that nothing listens on, and that this process does not hand out again.
pub fn unused_address() -> std::io::Result<SocketAddr> {
    let ip = process_ip();
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port >= END_PORT {
            return Err(std::io::Error::other(
                "all loopback addresses of this process are used",
            ));
        }
        let address = SocketAddr::new(ip, port);
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
}

/// 127.x.y.z by the process's identifier, never 127.0.y.z.
fn process_ip() -> IpAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 100 + high % 100, middle, low.max(1)))
}
