//! How one node relays another's connection to an engine: datagrams that ask for and offer a relay, and the tunnel itself.
//!
//! A tunnel is a connection to the relay's port for snapshots. It begins with [`TUNNEL_REQUEST`], a byte that asks an earlier
//! build for an empty snapshot, and a [`TunnelOpening`]; the relay answers with the byte of a [`TunnelReply`]. After
//! [`TunnelReply::Connected`] both sides send frames:
//!
//! ```text
//! kind (1 byte), length (2 bytes, big-endian), content
//! ```
//!
//! The end of the engine's connection is a frame of its own: a tunnel that ends without it has broken, and what came through it may
//! not be taken for whole. A relay that stops declines further requests with a frame as well and leaves it to the origin to close the
//! tunnel, so that the origin knows which requests the engine never had.

use super::datagram_format;
use serde::{Deserialize, Serialize};
use shelfjunction_core::membership::subject::{HANDLE_BYTES, SubjectHandle};
use shelfjunction_core::reachability::relay::RelayOffer;
use std::time::Duration;

/// First byte of a datagram about relays.
const FORMAT: u8 = 73;

/// First byte of a connection that is to become a tunnel.
pub const TUNNEL_REQUEST: u8 = 0x80;

/// Bytes of an opening.
pub const OPENING_BYTES: usize = HANDLE_BYTES + 2;

/// Longest content of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Bytes before a frame's content.
const FRAME_HEAD: usize = 3;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayDatagram {
    /// Asks whether the receiver relays connections to an engine.
    Query {
        /// The asking node.
        node: SubjectHandle,
        /// The engine.
        engine: SubjectHandle,
    },
    /// Answers a query.
    Offer {
        /// The offering node.
        node: SubjectHandle,
        /// The offer.
        offer: RelayOffer,
    },
}

impl RelayDatagram {
    /// The bytes; absent if they would be too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        datagram_format::encode(FORMAT, self)
    }

    /// Reads a datagram; absent if it has another format.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        datagram_format::decode(FORMAT, bytes)
    }
}

/// What a tunnel is opened for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TunnelOpening {
    /// One start of an engine.
    pub engine: SubjectHandle,
    /// Longest wait for the engine to take the connection.
    pub wait: Duration,
}

impl TunnelOpening {
    /// The bytes behind [`TUNNEL_REQUEST`].
    pub fn encode(&self) -> [u8; OPENING_BYTES] {
        let mut bytes = [0; OPENING_BYTES];
        bytes[..HANDLE_BYTES].copy_from_slice(&self.engine.0);
        let millis = u16::try_from(self.wait.as_millis()).unwrap_or(u16::MAX);
        bytes[HANDLE_BYTES..].copy_from_slice(&millis.to_be_bytes());
        bytes
    }

    /// Reads an opening.
    pub fn decode(bytes: [u8; OPENING_BYTES]) -> Self {
        let [engine @ .., high, low] = bytes;
        Self {
            engine: SubjectHandle(engine),
            wait: Duration::from_millis(u64::from(u16::from_be_bytes([high, low]))),
        }
    }
}

/// What became of an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelReply {
    /// The engine took the connection; frames follow.
    Connected,
    /// The engine refused the connection, and another engine took one.
    EngineRefused,
    /// The engine did not take the connection in time, and another engine took one.
    EngineTimedOut,
    /// The relay reaches no engine itself.
    Unreachable,
    /// The relay does not know the engine.
    UnknownEngine,
    /// The relay has as many tunnels as it takes, or is about to stop.
    Busy,
}

impl TunnelReply {
    const ALL: [Self; 6] = [
        Self::Connected,
        Self::EngineRefused,
        Self::EngineTimedOut,
        Self::Unreachable,
        Self::UnknownEngine,
        Self::Busy,
    ];

    /// The byte.
    pub fn to_byte(self) -> u8 {
        self as u8 + 1
    }

    /// Reads the byte; absent where it is no reply.
    pub fn of_byte(byte: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|reply| reply.to_byte() == byte)
    }

    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connected => "connected",
            Self::EngineRefused => "engine_refused",
            Self::EngineTimedOut => "engine_timed_out",
            Self::Unreachable => "unreachable",
            Self::UnknownEngine => "unknown_engine",
            Self::Busy => "busy",
        }
    }
}

/// Kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// Bytes between node and engine.
    Data,
    /// The engine has closed its connection in order.
    End,
    /// The request that follows; its name.
    Request,
    /// No request is under way any more.
    Rest,
    /// The relay stops and declines further requests; one that crosses this frame has not reached the engine.
    Declined,
}

impl FrameKind {
    const ALL: [Self; 5] = [Self::Data, Self::End, Self::Request, Self::Rest, Self::Declined];

    fn of_byte(byte: u8) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// A frame that breaks the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedFrame;

/// Appends a frame; content beyond [`MAX_FRAME_BYTES`] is not appended. The number of its bytes that are.
pub fn append_frame(bytes: &mut Vec<u8>, kind: FrameKind, content: &[u8]) -> usize {
    let content = &content[..content.len().min(MAX_FRAME_BYTES)];
    bytes.push(kind as u8);
    bytes.extend_from_slice(&(content.len() as u16).to_be_bytes());
    bytes.extend_from_slice(content);
    content.len()
}

/// Takes frames out of a stream of bytes.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    bytes: Vec<u8>,
    /// Bytes in front that belong to frames that were taken.
    used: usize,
}

impl FrameDecoder {
    /// Adds bytes as they come.
    pub fn add(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.used));
        self.bytes.extend_from_slice(bytes);
    }

    /// The next frame, once it is whole.
    pub fn next_frame(&mut self) -> Result<Option<(FrameKind, Vec<u8>)>, MalformedFrame> {
        let left = &self.bytes[self.used..];
        let Some((head, _)) = left.split_first_chunk::<FRAME_HEAD>() else {
            return Ok(None);
        };
        let [kind, high, low] = *head;
        let kind = FrameKind::of_byte(kind).ok_or(MalformedFrame)?;
        let end = FRAME_HEAD + usize::from(u16::from_be_bytes([high, low]));
        if end > FRAME_HEAD + MAX_FRAME_BYTES {
            return Err(MalformedFrame);
        }
        if left.len() < end {
            return Ok(None);
        }
        let content = left[FRAME_HEAD..end].to_vec();
        self.used += end;
        Ok(Some((kind, content)))
    }
}
