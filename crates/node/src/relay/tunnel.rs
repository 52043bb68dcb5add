//! The near end of a tunnel: a stream of bytes to and from an engine, and control frames for the relay.

use shelfjunction_core::identity::RequestId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_protocol::relay_messages::{FrameDecoder, FrameKind, append_frame};
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::{Arc, Mutex};

/// Bytes read at once.
const READ_BYTES: usize = 16 * 1024;

/// A handle on a tunnel that is open.
#[derive(Clone)]
pub(crate) struct Tunnel {
    /// The relay.
    pub(crate) relay: SubjectHandle,
    shared: Arc<Shared>,
}

struct Shared {
    socket: TcpStream,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Frames that have not left yet.
    outgoing: VecDeque<u8>,
    decoder: FrameDecoder,
    /// Bytes of the engine that were not read yet.
    incoming: VecDeque<u8>,
    /// Whether the engine has closed in order.
    ended: bool,
    /// Whether the relay declines further requests.
    declined: bool,
}

/// The bytes of a tunnel, as a connection to the engine would carry them.
pub(super) struct TunnelStream {
    shared: Arc<Shared>,
}

impl Tunnel {
    /// Takes over a non-blocking connection to a relay that has connected to the engine.
    pub(super) fn over(socket: TcpStream, relay: SubjectHandle) -> (Self, TunnelStream) {
        let shared = Arc::new(Shared {
            socket,
            state: Mutex::default(),
        });
        let stream = TunnelStream {
            shared: Arc::clone(&shared),
        };
        (Self { relay, shared }, stream)
    }

    /// Notifies the relay of the request that comes next.
    pub(crate) fn note_request(&self, request: &RequestId) {
        self.note(FrameKind::Request, request.as_str().as_bytes());
    }

    /// Notifies the relay that no request is under way.
    pub(crate) fn note_rest(&self) {
        self.note(FrameKind::Rest, &[]);
    }

    /// Whether bytes came that nobody has read.
    pub(crate) fn has_unread(&self) -> bool {
        let state = lock(&self.shared.state);
        !state.incoming.is_empty() || state.ended || state.declined
    }

    /// Whether the relay has declined the request that was sent last, so that the engine never had it.
    pub(crate) fn has_declined(&self) -> bool {
        lock(&self.shared.state).declined
    }

    fn note(&self, kind: FrameKind, content: &[u8]) {
        let mut state = lock(&self.shared.state);
        let mut frame = Vec::new();
        append_frame(&mut frame, kind, content);
        state.outgoing.extend(frame);
        // What does not leave now leaves with the next bytes, and a broken tunnel shows when it is read.
        let _ = self.shared.send(&mut state);
    }
}

impl Shared {
    /// Sends what the socket takes; an error of kind `WouldBlock` where something is left.
    fn send(&self, state: &mut State) -> io::Result<()> {
        while !state.outgoing.is_empty() {
            let (first, _) = state.outgoing.as_slices();
            let sent = (&self.socket).write(first)?;
            if sent == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            state.outgoing.drain(..sent);
        }
        Ok(())
    }

    fn receive(&self, state: &mut State) -> io::Result<()> {
        let mut bytes = [0; READ_BYTES];
        let count = (&self.socket).read(&mut bytes)?;
        if count == 0 {
            // Without the frame that ends it, the answer so far is not whole.
            return Err(ErrorKind::ConnectionReset.into());
        }
        state.decoder.add(&bytes[..count]);
        let malformed = |_| io::Error::from(ErrorKind::InvalidData);
        while let Some((kind, content)) = state.decoder.next_frame().map_err(malformed)? {
            match kind {
                FrameKind::Data => state.incoming.extend(content),
                FrameKind::End => state.ended = true,
                FrameKind::Declined => state.declined = true,
                FrameKind::Request | FrameKind::Rest => return Err(ErrorKind::InvalidData.into()),
            }
        }
        if state.declined {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

impl Read for TunnelStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut state = lock(&self.shared.state);
        if state.incoming.is_empty() && !state.ended {
            self.shared.receive(&mut state)?;
        }
        if state.incoming.is_empty() && !state.ended {
            // Frames without bytes of the engine may come without an end: the reader looks at its times first.
            return Err(ErrorKind::WouldBlock.into());
        }
        state.incoming.read(buffer)
    }
}

impl Write for TunnelStream {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        let mut state = lock(&self.shared.state);
        self.shared.send(&mut state)?;
        let mut frame = Vec::new();
        let taken = append_frame(&mut frame, FrameKind::Data, buffer);
        state.outgoing.extend(frame);
        match self.shared.send(&mut state) {
            Err(error) if error.kind() != ErrorKind::WouldBlock => Err(error),
            _ => Ok(taken),
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.shared.send(&mut lock(&self.shared.state))
    }
}

impl AsFd for TunnelStream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.shared.socket.as_fd()
    }
}
