//! The far end of a tunnel: connects to the engine and passes bytes, as long as both connections live.

use super::socket;
use crate::context::Context;
use crate::engine_contact;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::sockopt::set_socket_linger;
use shelfjunction_buffers::HeldAnswer;
use shelfjunction_protocol::relay_messages::{
    FrameDecoder, FrameKind, MAX_FRAME_BYTES, OPENING_BYTES, TunnelOpening, TunnelReply, append_frame,
};
use shelfjunction_threads::lock;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::Duration;

/// Maximum number of tunnels that a node serves at once; each takes two descriptors, a thread and up to four buffers.
pub(super) const MAX_TUNNELS: u16 = 256;

/// Stack of a tunnel's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Bytes that wait for one end before the other is not read any more.
const MAX_WAITING_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Longest wait for bytes before a look at whether the process stops.
const LONGEST_POLL: Duration = Duration::from_millis(500);

/// Time that an engine may take to accept a connection.
const MAX_ENGINE_WAIT: Duration = Duration::from_millis(500);

/// Tunnels that this node serves for others.
#[derive(Debug, Default)]
pub(crate) struct ServedTunnels {
    open: AtomicU16,
    busy: AtomicU16,
}

impl ServedTunnels {
    /// Tunnels that are open.
    pub(crate) fn open(&self) -> u16 {
        self.open.load(Ordering::SeqCst)
    }

    /// Tunnels on which a request is under way.
    pub(crate) fn busy(&self) -> u16 {
        self.busy.load(Ordering::SeqCst)
    }

    /// Counts one more tunnel unless there are too many.
    fn enter(&self) -> bool {
        let room = |open: u16| (open < MAX_TUNNELS).then_some(open + 1);
        self.open
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, room)
            .is_ok()
    }
}

/// Counts a tunnel, and whether a request is under way on it, until it is dropped.
struct Place<'a> {
    context: &'a Context,
    is_busy: bool,
}

impl<'a> Place<'a> {
    fn take(context: &'a Context) -> Option<Self> {
        let entered = context.served_tunnels.enter();
        entered.then(|| {
            context.metrics.relay.tunnels.inc();
            Self {
                context,
                is_busy: false,
            }
        })
    }

    fn set_busy(&mut self, is_busy: bool) {
        let busy = &self.context.served_tunnels.busy;
        match (self.is_busy, is_busy) {
            (false, true) => busy.fetch_add(1, Ordering::SeqCst),
            (true, false) => busy.fetch_sub(1, Ordering::SeqCst),
            _ => return,
        };
        self.is_busy = is_busy;
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.set_busy(false);
        self.context.served_tunnels.open.fetch_sub(1, Ordering::SeqCst);
        self.context.metrics.relay.tunnels.dec();
    }
}

/// Serves a tunnel in a thread of its own; the byte that asks for it has been read.
pub(crate) fn serve(context: &Arc<Context>, stream: TcpStream, from: SocketAddr) {
    let context = Arc::clone(context);
    let thread = thread::Builder::new()
        .name("relay".to_owned())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            if let Err(error) = run(&context, stream, from) {
                log::info!(from:% = from, error:% = error; "tunnel_broken");
            }
        });
    if let Err(error) = thread {
        log::warn!(error:% = error; "relay_thread_failed");
    }
}

fn run(context: &Context, mut origin: TcpStream, from: SocketAddr) -> io::Result<()> {
    let mut bytes = [0; OPENING_BYTES];
    origin.read_exact(&mut bytes)?;
    let opening = TunnelOpening::decode(bytes);
    let place = Place::take(context).filter(|_| !context.state.is_stopping());
    let Some(mut place) = place else {
        return reply(context, &mut origin, TunnelReply::Busy, from);
    };
    let (engine, connected) = connect(context, &opening);
    match connected {
        Ok(stream) => {
            reply(context, &mut origin, TunnelReply::Connected, from)?;
            socket::prepare(&origin)?;
            stream.set_nonblocking(true)?;
            let mut splice = Splice::new(origin, stream, engine, context.buffers.hold_answer());
            let ended = splice.run(context, &mut place, from);
            if place.is_busy {
                splice.abort_request();
            }
            ended
        }
        Err(failure) => reply(context, &mut origin, failure, from),
    }
}

fn reply(context: &Context, origin: &mut TcpStream, reply: TunnelReply, from: SocketAddr) -> io::Result<()> {
    context.metrics.relay.served(reply.name());
    log::info!(from:% = from, result = reply.name(); "relay_served");
    origin.write_all(&[reply.to_byte()])
}

/// Connects to the engine; its name for logs.
fn connect(context: &Context, opening: &TunnelOpening) -> (String, Result<TcpStream, TunnelReply>) {
    let known = {
        let router = lock(&context.router);
        let known = router.engine_by_handle(opening.engine);
        known.and_then(|known| Some((router.engine(&known)?.engine.address, known)))
    };
    let Some((address, engine)) = known else {
        return (String::new(), Err(TunnelReply::UnknownEngine));
    };
    let wait = opening.wait.min(MAX_ENGINE_WAIT);
    let connected = engine_contact::connect_for_peer(context, &engine, address, wait);
    (engine.as_str().to_owned(), connected)
}

/// The two connections of a tunnel, and what waits between them.
struct Splice {
    origin: TcpStream,
    engine_stream: TcpStream,
    engine: String,
    decoder: FrameDecoder,
    towards_engine: Vec<u8>,
    towards_origin: Vec<u8>,
    engine_ended: bool,
    /// What is held of both.
    held: HeldAnswer,
    /// Whether further requests are declined, and the origin has been notified of that.
    declines: bool,
}

impl Splice {
    fn new(origin: TcpStream, engine_stream: TcpStream, engine: String, held: HeldAnswer) -> Self {
        Self {
            origin,
            engine_stream,
            engine,
            decoder: FrameDecoder::default(),
            towards_engine: Vec::new(),
            towards_origin: Vec::new(),
            engine_ended: false,
            held,
            declines: false,
        }
    }

    /// Passes bytes until one end has closed.
    fn run(&mut self, context: &Context, place: &mut Place<'_>, from: SocketAddr) -> io::Result<()> {
        loop {
            if self.read_origin(context, place, from)? {
                return Ok(());
            }
            if !place.is_busy && context.state.is_stopping() {
                self.decline();
            }
            self.read_engine(context)?;
            self.held
                .set(self.towards_engine.capacity() + self.towards_origin.capacity());
            send(&mut self.engine_stream, &mut self.towards_engine)?;
            send(&mut self.origin, &mut self.towards_origin)?;
            let is_idle = !place.is_busy && self.towards_origin.is_empty();
            // Closing a tunnel on which a request is on its way could destroy the frame that declines it.
            if is_idle && self.engine_ended && !self.declines {
                return Ok(());
            }
            self.wait();
        }
    }

    /// Has the engine's connection reset when it is closed: the origin has given its request up, which must not arrive afterwards.
    fn abort_request(&self) {
        if let Err(error) = set_socket_linger(&self.engine_stream, Some(Duration::ZERO)) {
            log::debug!(engine = self.engine.as_str(), error:% = error; "relayed_request_not_aborted");
        }
    }

    /// Whether more is read for an end for which these bytes wait; a single frame always is, so that a full account stops no tunnel.
    fn has_room_for(&self, waiting: &[u8]) -> bool {
        waiting.is_empty() || waiting.len() < MAX_WAITING_BYTES && self.held.reads_on()
    }

    /// Declines further requests and notifies the origin.
    fn decline(&mut self) {
        if !std::mem::replace(&mut self.declines, true) {
            append_frame(&mut self.towards_origin, FrameKind::Declined, &[]);
        }
    }

    /// Reads what the origin has sent; whether it has closed.
    fn read_origin(
        &mut self,
        context: &Context,
        place: &mut Place<'_>,
        from: SocketAddr,
    ) -> io::Result<bool> {
        let mut taken = 0;
        while self.has_room_for(&self.towards_engine) && taken < MAX_WAITING_BYTES {
            let mut bytes = [0; MAX_FRAME_BYTES];
            let Some(count) = read(&mut self.origin, &mut bytes)? else {
                return Ok(false);
            };
            if count == 0 {
                return Ok(true);
            }
            taken += count;
            self.decoder.add(&bytes[..count]);
            let malformed = |_| io::Error::from(ErrorKind::InvalidData);
            while let Some((kind, content)) = self.decoder.next_frame().map_err(malformed)? {
                match kind {
                    FrameKind::Data | FrameKind::Request | FrameKind::Rest if self.declines => {}
                    FrameKind::Request if context.state.is_stopping() => self.decline(),
                    FrameKind::Data => {
                        context.metrics.relay.bytes.inc_by(content.len() as u64);
                        self.towards_engine.extend(content);
                    }
                    FrameKind::Request => {
                        place.set_busy(true);
                        let request = String::from_utf8_lossy(&content);
                        log::info!(request = request.as_ref(), engine = self.engine.as_str(), from:% = from; "request_relayed");
                    }
                    FrameKind::Rest => place.set_busy(false),
                    FrameKind::End | FrameKind::Declined => return Err(ErrorKind::InvalidData.into()),
                }
            }
        }
        Ok(false)
    }

    fn read_engine(&mut self, context: &Context) -> io::Result<()> {
        while !self.engine_ended && self.has_room_for(&self.towards_origin) {
            let mut bytes = [0; MAX_FRAME_BYTES];
            let Some(count) = read(&mut self.engine_stream, &mut bytes)? else {
                return Ok(());
            };
            self.engine_ended = count == 0;
            let kind = if self.engine_ended {
                FrameKind::End
            } else {
                FrameKind::Data
            };
            context.metrics.relay.bytes.inc_by(count as u64);
            append_frame(&mut self.towards_origin, kind, &bytes[..count]);
        }
        Ok(())
    }

    /// Waits until one of the connections takes or has bytes.
    fn wait(&self) {
        let flags = |reads: bool, writes: bool| {
            let mut flags = PollFlags::empty();
            flags.set(PollFlags::IN, reads);
            flags.set(PollFlags::OUT, writes);
            flags
        };
        let origin = flags(
            self.has_room_for(&self.towards_engine),
            !self.towards_origin.is_empty(),
        );
        let engine = flags(
            !self.engine_ended && self.has_room_for(&self.towards_origin),
            !self.towards_engine.is_empty(),
        );
        let mut waits = Vec::with_capacity(2);
        for (stream, flags) in [(&self.origin, origin), (&self.engine_stream, engine)] {
            // A connection that was reset is reported whatever is asked, again and again until it is read.
            if !flags.is_empty() {
                waits.push(PollFd::new(stream, flags));
            }
        }
        let timeout = Timespec::try_from(LONGEST_POLL).unwrap_or_default();
        // An interrupted wait is begun again by the next round.
        let _ = poll(&mut waits, Some(&timeout));
    }
}

/// Reads what there is, without waiting; absent where there is nothing yet.
fn read(stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<Option<usize>> {
    loop {
        match stream.read(bytes) {
            Ok(count) => return Ok(Some(count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Sends what the connection takes.
fn send(stream: &mut TcpStream, waiting: &mut Vec<u8>) -> io::Result<()> {
    let mut sent = 0;
    while sent < waiting.len() {
        match stream.write(&waiting[sent..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    waiting.drain(..sent);
    Ok(())
}
