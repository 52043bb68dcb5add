//! Accepts connections and runs each on a thread of its own, up to the limit.

use crate::connection;
use crate::limits::HttpLimits;
use crate::open::{Entry, OpenConnections};
use crate::reader::ReadError;
use crate::request::HttpRequest;
use crate::response::{Answer, Answered, Responder};
use shelfjunction_buffers::BufferAccount;
use shelfjunction_core::buffering::BufferLimits;
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause after an accept that failed, as when no descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait of the connection that wakes a blocked accept.
const WAKE_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, request: HttpRequest, responder: Responder<'_>) -> Answered;

    /// What a caller is told whose request could not be read; absent: nothing.
    fn refusal(&self, error: ReadError) -> Option<Answer>;
}

struct Shared {
    account: Arc<BufferAccount>,
    open: Arc<OpenConnections>,
}

/// A running server.
pub struct HttpServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds the address, where port 0 picks a free port, and begins to accept.
    pub fn start(address: SocketAddr, limits: HttpLimits, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            account: BufferAccount::new(BufferLimits::of_memory(limits.memory_megabytes)),
            open: Arc::default(),
        });
        let shared_of_thread = Arc::clone(&shared);
        let accepting = thread::Builder::new()
            .name("http-accept".to_owned())
            .spawn(move || accept(&listener, limits, &handler, &shared_of_thread))?;
        Ok(Self {
            address,
            shared,
            accepting: Some(accepting),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.shared.open.count()
    }

    /// Accepts nothing more, lets every request under way end, and waits until all connections are closed.
    pub fn stop(&mut self) {
        self.shared.open.begin_stop();
        // When nobody accepts any more there is no thread to wake.
        let _ = TcpStream::connect_timeout(&reachable(self.address), WAKE_TIMEOUT);
        if let Some(accepting) = self.accepting.take() {
            // The accept thread returns nothing; a panic there has been printed.
            let _ = accepting.join();
        }
        self.shared.open.wait_until_closed();
    }
}

fn accept(listener: &TcpListener, limits: HttpLimits, handler: &Arc<dyn Handler>, shared: &Arc<Shared>) {
    while !shared.open.is_stopping() {
        match listener.accept() {
            Ok((stream, _)) => begin(stream, limits, handler, shared),
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                thread::sleep(ACCEPT_PAUSE);
            }
        }
    }
    accept_waiting(listener, limits, handler, shared);
}

/// Takes the connections that the system has established already; closing the listener would reset them.
fn accept_waiting(
    listener: &TcpListener,
    limits: HttpLimits,
    handler: &Arc<dyn Handler>,
    shared: &Arc<Shared>,
) {
    if listener.set_nonblocking(true).is_err() {
        return;
    }
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(false).is_ok() {
            begin(stream, limits, handler, shared);
        }
    }
}

fn begin(stream: TcpStream, limits: HttpLimits, handler: &Arc<dyn Handler>, shared: &Arc<Shared>) {
    let stream = Arc::new(stream);
    let (place, is_refused) = match shared.open.enter(&stream, limits.connections) {
        Entry::Place(place) => (place, false),
        Entry::Refusal(place) => (place, true),
        Entry::Nothing => return,
    };
    let handler = Arc::clone(handler);
    let account = Arc::clone(&shared.account);
    let started = thread::Builder::new()
        .name("http-connection".to_owned())
        .spawn(move || {
            if is_refused {
                refuse(&stream, limits, &*handler);
            } else {
                connection::serve(&stream, limits, &account, &*handler, &place);
            }
            // The socket is closed before its place is free.
            drop(stream);
            drop(place);
        });
    if let Err(error) = started {
        log::warn!(error:% = error; "connection_thread_failed");
    }
}

fn refuse(stream: &TcpStream, limits: HttpLimits, handler: &dyn Handler) {
    if stream.set_write_timeout(Some(limits.write_time())).is_ok() {
        connection::refuse(stream, handler, ReadError::TooManyConnections);
    }
}

/// An address that listens on every interface is reached over loopback.
fn reachable(address: SocketAddr) -> SocketAddr {
    match address.ip() {
        ip if !ip.is_unspecified() => address,
        IpAddr::V4(_) => SocketAddr::new(Ipv4Addr::LOCALHOST.into(), address.port()),
        IpAddr::V6(_) => SocketAddr::new(Ipv6Addr::LOCALHOST.into(), address.port()),
    }
}
