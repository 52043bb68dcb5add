//! Callers' connections that are open, so that a stop can close those that rest.

use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Debug)]
struct OpenConnection {
    stream: TcpStream,
    rests: bool,
}

/// The open connections.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    closing: bool,
    open: BTreeMap<u64, OpenConnection>,
}

/// One connection's entry; it leaves when this is dropped.
pub(crate) struct Entry {
    number: u64,
    connections: Arc<OpenConnections>,
}

impl OpenConnections {
    /// Enters a connection; absent where there are too many or its socket can't be shared.
    pub(crate) fn enter(self: &Arc<Self>, stream: &TcpStream, most: usize) -> Option<Entry> {
        let stream = stream.try_clone().ok()?;
        let mut inner = lock(&self.inner);
        if inner.open.len() >= most {
            return None;
        }
        inner.next += 1;
        let number = inner.next;
        inner.open.insert(number, OpenConnection { stream, rests: false });
        Some(Entry {
            number,
            connections: Arc::clone(self),
        })
    }

    /// Connections that are open.
    pub(crate) fn count(&self) -> usize {
        lock(&self.inner).open.len()
    }

    /// Closes the connections that rest, and each other one as soon as it rests.
    pub(crate) fn close_resting(&self) {
        let mut inner = lock(&self.inner);
        inner.closing = true;
        for connection in inner.open.values().filter(|connection| connection.rests) {
            stop_reading(&connection.stream);
        }
    }
}

impl Entry {
    /// Tells whether the connection rests between two calls.
    pub(crate) fn rests(&self, rests: bool) {
        let mut inner = lock(&self.connections.inner);
        let closing = inner.closing;
        if let Some(connection) = inner.open.get_mut(&self.number) {
            connection.rests = rests;
            if closing && rests {
                stop_reading(&connection.stream);
            }
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        lock(&self.connections.inner).open.remove(&self.number);
    }
}

/// Wakes the thread that reads; a connection that the caller has closed already can't be told, and need not be.
fn stop_reading(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Read);
}
