//! A TCP relay whose link can be cut and mended at run time, in the manner of a network between two zones.
//!
//! A cut drops the connections that pass and holds new ones without an answer, as a partition does: nobody is
//! told. Mending lets held connections go on.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Bytes copied at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// A running relay; its threads end with the process or after [`Relay::stop`].
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<Link>,
}

#[derive(Debug)]
struct Link {
    target: SocketAddr,
    state: Mutex<LinkState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct LinkState {
    cut: bool,
    stopped: bool,
    open: Vec<TcpStream>,
}

impl Relay {
    /// Listens on `listen` (port 0 allowed) and passes connections to `target`.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let link = Arc::new(Link {
            target,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let of_thread = Arc::clone(&link);
        thread::Builder::new()
            .name("relay".to_owned())
            .spawn(move || accept(&listener, &of_thread))?;
        Ok(Self { address, link })
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts the link: bytes under way are dropped and new connections are held.
    pub fn cut(&self) {
        let mut state = self.link.state();
        state.cut = true;
        close_all(&mut state);
    }

    /// Mends the link.
    pub fn mend(&self) {
        self.link.state().cut = false;
        self.link.changed.notify_all();
    }

    /// Closes every connection and takes no more.
    pub fn stop(&self) {
        let mut state = self.link.state();
        state.stopped = true;
        close_all(&mut state);
        drop(state);
        self.link.changed.notify_all();
        // Wakes the thread that accepts; if nobody listens any more there is nothing to wake.
        let _ = TcpStream::connect(self.address);
    }
}

impl Link {
    fn state(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the link is whole; false when the relay has stopped.
    fn wait_until_whole(&self) -> bool {
        let waiting = |state: &mut LinkState| state.cut && !state.stopped;
        let state = self.changed.wait_while(self.state(), waiting);
        !state.unwrap_or_else(PoisonError::into_inner).stopped
    }

    /// Remembers both ends of a connection so that a cut can close them; false when the link is cut meanwhile.
    fn remember(&self, near: &TcpStream, far: &TcpStream) -> std::io::Result<bool> {
        let ends = [near.try_clone()?, far.try_clone()?];
        let mut state = self.state();
        if state.cut || state.stopped {
            return Ok(false);
        }
        state.open.extend(ends);
        Ok(true)
    }
}

fn close_all(state: &mut LinkState) {
    for stream in state.open.drain(..) {
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
    let Ok(far) = TcpStream::connect(link.target) else {
        return;
    };
    // Tokens are small writes; without this the relay would hold them back.
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    if !link.remember(&near, &far).unwrap_or(false) {
        return;
    }
    thread::scope(|scope| {
        scope.spawn(|| copy(&near, &far));
        copy(&far, &near);
    });
}

fn copy(mut from: &TcpStream, mut to: &TcpStream) {
    let mut buffer = [0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    // The other side may be gone first.
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
