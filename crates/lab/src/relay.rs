//! A TCP relay whose link can be cut, silenced, delayed and mended at run time, in the manner of a network between two
//! zones.
//!
//! A cut drops the connections that pass and holds new ones without an answer; a silent link keeps its connections and
//! holds their bytes, as a partition does: nobody is told. Mending lets everything that is held go on. Single connections
//! may go silent for good, while new ones pass.

use rustix::net::sockopt::set_socket_linger;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes copied at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Longest wait for connections that are reset to be closed.
const MAX_RESET_WAIT: Duration = Duration::from_secs(5);

/// A running relay; its threads end with the process or after [`Relay::stop`].
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
}

#[derive(Debug)]
struct Link {
    /// Where new connections are passed to.
    target: Mutex<SocketAddr>,
    state: Mutex<LinkState>,
    changed: Condvar,
}

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Bytes of both directions are held, and so are new connections.
    Silent,
    /// Bytes towards the target are held.
    SilentTowardsTarget,
    /// Bytes from the target are held.
    SilentFromTarget,
    /// Every piece is passed on so much later.
    Delayed(Duration),
}

/// Way in which bytes pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    TowardsTarget,
    FromTarget,
}

impl LinkFault {
    fn holds(self, direction: Direction) -> bool {
        match self {
            Self::None | Self::Delayed(_) => false,
            Self::Silent => true,
            Self::SilentTowardsTarget => direction == Direction::TowardsTarget,
            Self::SilentFromTarget => direction == Direction::FromTarget,
        }
    }
}

#[derive(Debug, Default)]
struct LinkState {
    fault: LinkFault,
    stopped: bool,
    /// Whether the address is still listened on.
    listening: bool,
    /// Both ends of each connection that passes, by its number.
    open: BTreeMap<u64, [Arc<TcpStream>; 2]>,
    /// Connections that were reset and have not ended yet.
    reset: BTreeSet<u64>,
    /// Connections taken so far.
    taken: u64,
    /// Connections with a lower number pass nothing any more.
    silent_below: u64,
}

impl Relay {
    /// Listens on `listen` (port 0 allowed) and passes connections to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            target: Mutex::new(target),
            state: Mutex::new(LinkState {
                listening: true,
                ..LinkState::default()
            }),
            changed: Condvar::new(),
        });
        let of_thread = Arc::clone(&link);
        thread::Builder::new().name("relay".to_owned()).spawn(move || {
            accept(&listener, &of_thread);
            drop(listener);
            of_thread.state().listening = false;
            of_thread.changed.notify_all();
        })?;
        Ok(Self { address, link })
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link: bytes under way are dropped and new connections are held.
    pub fn cut(&self) {
        let mut state = self.link.state();
        state.fault = LinkFault::Silent;
        close_all(&mut state);
        drop(state);
        self.link.changed.notify_all();
    }

    /// Resets the connections that pass, and returns once that is done: what is sent on one afterwards finds it reset. New
    /// connections are taken as before.
    pub fn reset(&self) {
        let mut state = self.link.state();
        let connections: Vec<u64> = state.open.keys().copied().collect();
        for (connection, ends) in std::mem::take(&mut state.open) {
            state.reset.insert(connection);
            for end in ends {
                // Closing sends a reset then; the threads that pass bytes are woken, and close.
                let _ = set_socket_linger(&*end, Some(Duration::ZERO));
                let _ = end.shutdown(Shutdown::Read);
            }
        }
        self.link.changed.notify_all();
        let are_open = |state: &mut LinkState| {
            let mut connections = connections.iter();
            connections.any(|connection| state.reset.contains(connection))
        };
        // A thread that passes bytes to an end that takes none closes later; a network would not wait for it either.
        let _ = self
            .link
            .changed
            .wait_timeout_while(state, MAX_RESET_WAIT, are_open);
    }

    /// Makes the connections that pass now silent for good, without closing them; new ones are taken as before.
    pub fn silence_open(&self) {
        let mut state = self.link.state();
        state.silent_below = state.taken;
    }

    /// Makes something wrong with the link, in place of what was.
    pub fn set_fault(&self, fault: LinkFault) {
        self.link.state().fault = fault;
        self.link.changed.notify_all();
    }

    /// Passes new connections to another target, as an address does that something else listens at now; open ones stay.
    pub fn retarget(&self, target: SocketAddr) {
        *self.link.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    /// Connections that pass, or are held.
    pub fn connections(&self) -> usize {
        self.link.state().open.len()
    }

    /// Mends the link.
    pub fn mend(&self) {
        self.set_fault(LinkFault::None);
    }

    /// Takes no more connections and closes every one, in this order: whoever sees one end finds the address refused.
    pub fn stop(&self) {
        self.link.state().stopped = true;
        self.link.changed.notify_all();
        // Wakes the thread that accepts; if nobody listens any more there is nothing to wake.
        let _ = TcpStream::connect(self.address);
        let listening = |state: &mut LinkState| state.listening;
        let state = self.link.changed.wait_while(self.link.state(), listening);
        close_all(&mut state.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Link {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link is whole; false when the relay has stopped.
    fn wait_until_whole(&self) -> bool {
        let waiting = |state: &mut LinkState| state.fault == LinkFault::Silent && !state.stopped;
        let state = self.changed.wait_while(self.state(), waiting);
        !state.unwrap_or_else(PoisonError::into_inner).stopped
    }

    /// Waits until bytes of a connection may pass in a direction.
    fn wait_to_pass(&self, connection: u64, direction: Direction) {
        let waiting = |state: &mut LinkState| {
            let is_silent = connection < state.silent_below;
            let is_held = is_silent || state.fault.holds(direction);
            is_held && !state.stopped && !state.reset.contains(&connection)
        };
        let state = self.changed.wait_while(self.state(), waiting);
        let fault = state.unwrap_or_else(PoisonError::into_inner).fault;
        if let LinkFault::Delayed(delay) = fault {
            thread::sleep(delay);
        }
    }

    /// Registers both ends of a connection so that a cut can close them; its number, or nothing when the link is cut
    /// meanwhile.
    fn register(&self, near: &Arc<TcpStream>, far: &Arc<TcpStream>) -> Option<u64> {
        let mut state = self.state();
        if state.fault == LinkFault::Silent || state.stopped {
            return None;
        }
        let connection = state.taken;
        state.taken += 1;
        state.open.insert(connection, [Arc::clone(near), Arc::clone(far)]);
        Some(connection)
    }

    /// Forgets a connection that has ended; otherwise its descriptors would stay open until the link is cut.
    fn unregister(&self, connection: u64) {
        let mut state = self.state();
        state.open.remove(&connection);
        state.reset.remove(&connection);
        self.changed.notify_all();
    }

    fn is_reset(&self, connection: u64) -> bool {
        self.state().reset.contains(&connection)
    }
}

fn close_all(state: &mut LinkState) {
    for stream in std::mem::take(&mut state.open).into_values().flatten() {
        // An end that is closed already stays closed.
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn accept(listener: &TcpListener, link: &Arc<Link>) {
    for near in listener.incoming() {
        if link.state().stopped {
            return;
        }
        let Ok(near) = near else { continue };
        let link = Arc::clone(link);
        // Without a thread the connection is dropped, as by a network that is short of room.
        let _ = thread::Builder::new().spawn(move || pass(near, &link));
    }
}

fn pass(near: TcpStream, link: &Link) {
    if !link.wait_until_whole() {
        return;
    }
    let target = *link.target.lock().unwrap_or_else(PoisonError::into_inner);
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    // Tokens are small writes; without this the relay would hold them back.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near, far) = (Arc::new(near), Arc::new(far));
    let Some(connection) = link.register(&near, &far) else {
        return;
    };
    thread::scope(|scope| {
        scope.spawn(|| copy(&near, &far, link, connection, Direction::TowardsTarget));
        copy(&far, &near, link, connection, Direction::FromTarget);
    });
    // Closed before the connection is forgotten: whoever waits for a reset waits for both.
    drop((near, far));
    link.unregister(connection);
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, link: &Link, connection: u64, direction: Direction) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer) {
        link.wait_to_pass(connection, direction);
        if was_reset(from) {
            // What a partition holds up is lost when its sender resets the connection.
            let _ = set_socket_linger(to, Some(Duration::ZERO));
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        if read == 0 || link.is_reset(connection) || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if link.is_reset(connection) {
        return;
    }
    // The other side may be gone first.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}

fn was_reset(stream: &TcpStream) -> bool {
    stream.take_error().is_ok_and(|error| error.is_some())
}
