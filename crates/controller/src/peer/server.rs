//! Accepts peer connections, up to a limit, each on a thread of its own.

use super::connection;
use crate::context::Context;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Longest wait of the connection that wakes a blocked accept.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Open connections, so that a stop can end threads that wait for a peer.
#[derive(Debug, Default)]
pub struct OpenConnections {
    streams: Mutex<BTreeMap<u64, TcpStream>>,
}

impl OpenConnections {
    fn add(&self, number: u64, stream: TcpStream) -> usize {
        let mut streams = lock(&self.streams);
        streams.insert(number, stream);
        streams.len()
    }

    fn remove(&self, number: u64) -> usize {
        let mut streams = lock(&self.streams);
        streams.remove(&number);
        streams.len()
    }

    fn len(&self) -> usize {
        lock(&self.streams).len()
    }

    /// Breaks every connection.
    pub fn close_all(&self) {
        for stream in lock(&self.streams).values() {
            // A peer that is gone already has nothing left to close.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Accepts connections until the controller stops.
pub fn run(context: &Arc<Context>, listener: &TcpListener) {
    let limit = context.config.limits.peer_connections as usize;
    for number in 0.. {
        let accepted = listener.accept();
        if context.stop.is_set() {
            return;
        }
        match accepted {
            Ok(_) if context.open.len() >= limit => context.metrics.peer_connections_refused.inc(),
            Ok((stream, peer)) => {
                start(context, number, stream, peer);
                continue;
            }
            Err(error) => {
                log::warn!(error:% = error; "peer_accept_failed");
                context.stop.wait(WAKE_TIMEOUT);
                continue;
            }
        };
    }
}

/// Wakes a thread that is blocked in accept, after the stop signal was set.
pub fn wake(address: SocketAddr) {
    // When nobody accepts any more there is no thread to wake.
    let _ = TcpStream::connect_timeout(&address, WAKE_TIMEOUT);
}

fn start(context: &Arc<Context>, number: u64, stream: TcpStream, peer: SocketAddr) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let connections = &context.metrics.peer_connections;
    connections.set(gauge(context.open.add(number, copy)));
    let context_of_thread = Arc::clone(context);
    let thread = thread::Builder::new().name("peer-connection".to_owned());
    let started = thread.spawn(move || {
        connection::serve(&context_of_thread, stream, peer);
        let left = context_of_thread.open.remove(number);
        context_of_thread.metrics.peer_connections.set(gauge(left));
    });
    if let Err(error) = started {
        log::warn!(error:% = error; "peer_thread_failed");
        context.open.remove(number);
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
