//! Connections that are open; one that waits for its request makes room for a new one when all are taken.

use shelfjunction_threads::{BootInstant, lock};
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Connections beyond the limit: those that are refused with an answer, and those that were closed and whose threads still end.
const MAX_BEYOND_LIMIT: usize = 16;

#[derive(Debug)]
struct OpenConnection {
    stream: Arc<TcpStream>,
    /// Since when it waits for a whole request; absent while one is answered, and once it has been closed for another.
    waits_since: Option<BootInstant>,
}

#[derive(Debug, Default)]
struct Open {
    next: u64,
    connections: BTreeMap<u64, OpenConnection>,
}

impl Open {
    /// Closes the connection that has waited longest for a whole request; whether there is one.
    fn replace_one(&mut self) -> bool {
        let waiting = self
            .connections
            .values_mut()
            .filter(|one| one.waits_since.is_some());
        let Some(oldest) = waiting.min_by_key(|one| one.waits_since) else {
            return false;
        };
        oldest.waits_since = None;
        // Its thread wakes and ends; a caller that has closed already can't be stopped, and need not be.
        let _ = oldest.stream.shutdown(Shutdown::Read);
        true
    }
}

/// The open connections of a server.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    stopping: AtomicBool,
    open: Mutex<Open>,
    closed: Condvar,
}

/// What a new connection gets.
pub(crate) enum Entry {
    /// A place.
    Place(Place),
    /// A refusal, since each place serves a request.
    Refusal(Place),
    /// No answer: too many are being refused already.
    Nothing,
}

impl OpenConnections {
    /// Enters a connection, in place of one that waits if `limit` are open.
    pub(crate) fn enter(self: &Arc<Self>, stream: &Arc<TcpStream>, limit: usize) -> Entry {
        let mut open = lock(&self.open);
        let count = open.connections.len();
        if count >= limit + MAX_BEYOND_LIMIT {
            return Entry::Nothing;
        }
        let has_place = count < limit || open.replace_one();
        open.next += 1;
        let number = open.next;
        let connection = OpenConnection {
            stream: Arc::clone(stream),
            waits_since: has_place.then(BootInstant::now),
        };
        open.connections.insert(number, connection);
        let place = Place {
            number,
            connections: Arc::clone(self),
        };
        if has_place {
            Entry::Place(place)
        } else {
            Entry::Refusal(place)
        }
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        lock(&self.open).connections.len()
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Waits until all are closed.
    pub(crate) fn wait_until_closed(&self) {
        let mut open = lock(&self.open);
        while !open.connections.is_empty() {
            open = self.closed.wait(open).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// The place of one connection; it is free again when this is dropped.
pub(crate) struct Place {
    number: u64,
    connections: Arc<OpenConnections>,
}

impl Place {
    /// Notes that a whole request has come; false if the connection was closed for another before.
    pub(crate) fn note_request(&self) -> bool {
        self.set_wait(None).is_some()
    }

    /// Notes that the connection waits for its next request.
    pub(crate) fn note_wait(&self) {
        self.set_wait(Some(BootInstant::now()));
    }

    /// Whether the server stops.
    pub(crate) fn is_stopping(&self) -> bool {
        self.connections.is_stopping()
    }

    /// Since when it has waited until now.
    fn set_wait(&self, waits_since: Option<BootInstant>) -> Option<BootInstant> {
        let mut open = lock(&self.connections.open);
        let connection = open.connections.get_mut(&self.number)?;
        std::mem::replace(&mut connection.waits_since, waits_since)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        lock(&self.connections.open).connections.remove(&self.number);
        self.connections.closed.notify_all();
    }
}
