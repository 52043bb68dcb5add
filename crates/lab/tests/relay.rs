//! The relay in front of each stand-in, over many connections.

#![allow(clippy::unwrap_used)]

use shelfjunction_lab::relay::Relay;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Connections that pass one after the other.
const CONNECTIONS: usize = 300;

fn open_descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

/// Echoes one byte on each connection and closes it.
fn start_echo() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            stream.write_all(&byte).unwrap();
        }
    });
    address
}

/// Guards against a soak that runs out of descriptors, since a link held the sockets of every connection that ever passed.
#[test]
fn a_link_holds_no_descriptors_of_connections_that_have_ended() {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let relay = Relay::start(free, start_echo()).unwrap();
    let before = open_descriptors();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(relay.address()).unwrap();
        stream.write_all(b"x").unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        assert_eq!(bytes, b"x");
    }
    // The relay's threads close their ends a moment after the caller has read the last byte.
    let mut open = open_descriptors();
    for _ in 0..100_000 {
        if open < before + CONNECTIONS / 10 {
            break;
        }
        thread::yield_now();
        open = open_descriptors();
    }
    assert!(
        open < before + CONNECTIONS / 10,
        "{open} descriptors open after {CONNECTIONS} connections, {before} before"
    );
}
