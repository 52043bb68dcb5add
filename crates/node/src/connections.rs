//! Callers' connections that are open: a stop closes those that rest, and a new one takes the place of one that waits for its request
//! when there are too many.

use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time within which the first call on a new connection must begin once resting connections are being closed.
const MAX_FIRST_CALL_WAIT: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct OpenConnection {
    stream: Arc<TcpStream>,
    activity: Activity,
    /// Since when it goes on.
    since: MonotonicTime,
}

/// What goes on on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    /// No call has come yet.
    New,
    /// A call is being received.
    Receives,
    /// A call is being served.
    Serves,
    /// Between two calls.
    Rests,
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
    /// Connections that were closed for newer ones.
    replaced: u64,
}

impl Inner {
    /// Closes the connection that has waited longest for a whole call, in favour of a new one; whether there is one.
    fn replace_one(&mut self) -> bool {
        let waiting = self
            .open
            .iter()
            .filter(|(_, connection)| connection.activity != Activity::Serves);
        let oldest = waiting.min_by_key(|(_, connection)| connection.since);
        let Some(number) = oldest.map(|(number, _)| *number) else {
            return false;
        };
        if let Some(connection) = self.open.remove(&number) {
            self.replaced += 1;
            log::info!(activity:? = connection.activity, replaced = self.replaced; "connection_replaced");
            stop_reading(&connection.stream);
        }
        true
    }
}

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NotEntered {
    /// As many are open as may be.
    TooMany,
    /// The process is about to end.
    Ended,
}

impl NotEntered {
    /// Name for the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::Ended => "stopped",
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
    pub(crate) fn enter(
        self: &Arc<Self>,
        stream: &Arc<TcpStream>,
        most: usize,
        now: MonotonicTime,
    ) -> Result<Entry, NotEntered> {
        let mut inner = lock(&self.inner);
        if inner.ended {
            return Err(NotEntered::Ended);
        }
        if inner.open.len() >= most && !inner.replace_one() {
            return Err(NotEntered::TooMany);
        }
        inner.next += 1;
        let number = inner.next;
        let connection = OpenConnection {
            stream: Arc::clone(stream),
            activity: Activity::New,
            since: now,
        };
        inner.open.insert(number, connection);
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

    /// Closes the connections that rest, and from now on each other one as soon as it rests. To be called repeatedly: a new connection
    /// is closed once the time for its first call has passed.
    pub(crate) fn close_resting(&self, now: MonotonicTime) {
        let mut inner = lock(&self.inner);
        inner.closing = true;
        for connection in inner.open.values() {
            let closes = match connection.activity {
                Activity::New => now.since(connection.since) >= MAX_FIRST_CALL_WAIT,
                Activity::Receives | Activity::Serves => false,
                Activity::Rests => true,
            };
            if closes {
                stop_reading(&connection.stream);
            }
        }
    }
}

impl Entry {
    /// Notes that a call has begun to come.
    pub(crate) fn note_call(&self, now: MonotonicTime) {
        self.set_activity(Activity::Receives, now);
    }

    /// Notes that a call is whole, so that its connection is closed for no other; false if it was closed already.
    pub(crate) fn note_whole_call(&self, now: MonotonicTime) -> bool {
        self.set_activity(Activity::Serves, now)
    }

    /// Notes that the connection rests between two calls.
    pub(crate) fn note_rest(&self, now: MonotonicTime) {
        self.set_activity(Activity::Rests, now);
    }

    /// Whether the connection is still entered.
    fn set_activity(&self, activity: Activity, now: MonotonicTime) -> bool {
        let mut inner = lock(&self.connections.inner);
        let closing = inner.closing;
        let Some(connection) = inner.open.get_mut(&self.number) else {
            return false;
        };
        connection.activity = activity;
        connection.since = now;
        if closing && activity == Activity::Rests {
            stop_reading(&connection.stream);
        }
        true
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
