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
    /// Whether the process is about to end, so that no connection is taken any more.
    ended: bool,
    open: BTreeMap<u64, OpenConnection>,
}

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotEntered {
    /// As many are open as may be.
    TooMany,
    /// The process is about to end.
    Ended,
    /// Its socket can't be shared.
    SocketFault,
}

impl NotEntered {
    /// Name for the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::Ended => "stopped",
            Self::SocketFault => "socket_fault",
        }
    }
}

/// One connection's entry; it leaves when this is dropped.
pub(crate) struct Entry {
    number: u64,
    connections: Arc<OpenConnections>,
}

impl OpenConnections {
    /// Enters a connection.
    pub(crate) fn enter(self: &Arc<Self>, stream: &TcpStream, most: usize) -> Result<Entry, NotEntered> {
        let stream = stream.try_clone().map_err(|_| NotEntered::SocketFault)?;
        let mut inner = lock(&self.inner);
        if inner.ended {
            return Err(NotEntered::Ended);
        }
        if inner.open.len() >= most {
            return Err(NotEntered::TooMany);
        }
        inner.next += 1;
        let number = inner.next;
        inner.open.insert(number, OpenConnection { stream, rests: false });
        Ok(Entry {
            number,
            connections: Arc::clone(self),
        })
    }

    /// Connections that are open.
    pub(crate) fn count(&self) -> usize {
        lock(&self.inner).open.len()
    }

    /// Takes no connection any more if none is open; whether that is so. A connection that comes between this and the end of the
    /// process is closed unread, and its caller goes elsewhere.
    pub(crate) fn end_if_none(&self) -> bool {
        let mut inner = lock(&self.inner);
        inner.ended |= inner.open.is_empty();
        inner.ended
    }

    /// Takes no connection any more.
    pub(crate) fn end(&self) {
        lock(&self.inner).ended = true;
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
