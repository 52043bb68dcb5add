//! Length-prefixed bincode frames over a byte stream: four bytes of length, big-endian, then the message.
//!
//! A reader never allocates more than it has received, and every limit is checked before a message is decoded,
//! so a peer that sends rubbish costs its own connection and nothing else.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt;
use std::io::{self, Read, Write};

use crate::peer::MAXIMUM_FRAME_BYTES;

/// Bytes of the length that stands before each message.
const LENGTH_BYTES: usize = 4;

type FrameEncoding = Configuration<LittleEndian, Varint, Limit<MAXIMUM_FRAME_BYTES>>;

/// Why a frame could not be read or written; after any of these the connection must be closed.
#[derive(Debug)]
pub enum FrameError {
    /// The connection broke, timed out, or ended inside a frame.
    Connection(io::Error),
    /// The length is zero or above [`MAXIMUM_FRAME_BYTES`].
    Length(usize),
    /// The bytes are no message of the expected kind.
    Malformed(String),
    /// The message could not be encoded.
    Encoding(String),
}

impl FrameError {
    /// Whether the sender broke the protocol, as opposed to a connection that merely failed.
    pub fn is_violation(&self) -> bool {
        matches!(self, Self::Length(_) | Self::Malformed(_))
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => write!(formatter, "connection failed: {error}"),
            Self::Length(length) => write!(formatter, "frame of {length} bytes is outside the limits"),
            Self::Malformed(detail) => write!(formatter, "frame is malformed: {detail}"),
            Self::Encoding(detail) => write!(formatter, "message can't be encoded: {detail}"),
        }
    }
}

impl From<io::Error> for FrameError {
    fn from(error: io::Error) -> Self {
        Self::Connection(error)
    }
}

/// Encodes a message without its length.
pub fn encode<Message: Serialize>(message: &Message) -> Result<Vec<u8>, FrameError> {
    bincode::serde::encode_to_vec(message, encoding())
        .map_err(|error| FrameError::Encoding(error.to_string()))
}

/// Decodes a message that must fill `bytes` exactly.
pub fn decode<Message: DeserializeOwned>(bytes: &[u8]) -> Result<Message, FrameError> {
    let (message, used) = bincode::serde::decode_from_slice(bytes, encoding())
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    if used != bytes.len() {
        let detail = format!("{} bytes left over", bytes.len() - used);
        return Err(FrameError::Malformed(detail));
    }
    Ok(message)
}

/// Writes one frame in a single write.
pub fn write_frame<Message: Serialize>(writer: &mut impl Write, message: &Message) -> Result<(), FrameError> {
    let body = encode(message)?;
    let length = checked_length(body.len())?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    writer.write_all(&frame)?;
    writer.flush()?;
    Ok(())
}

/// Reads one frame; absent when the connection ended cleanly between frames.
pub fn read_frame<Message: DeserializeOwned>(reader: &mut impl Read) -> Result<Option<Message>, FrameError> {
    let Some(length) = read_length(reader)? else {
        return Ok(None);
    };
    let mut body = Vec::new();
    let received = reader.take(length as u64).read_to_end(&mut body)?;
    if received < length {
        return Err(FrameError::Connection(io::ErrorKind::UnexpectedEof.into()));
    }
    decode(&body).map(Some)
}

fn read_length(reader: &mut impl Read) -> Result<Option<usize>, FrameError> {
    let mut prefix = Vec::with_capacity(LENGTH_BYTES);
    let received = reader.take(LENGTH_BYTES as u64).read_to_end(&mut prefix)?;
    if received == 0 {
        return Ok(None);
    }
    let Ok(bytes) = <[u8; LENGTH_BYTES]>::try_from(prefix.as_slice()) else {
        return Err(FrameError::Connection(io::ErrorKind::UnexpectedEof.into()));
    };
    let length = u32::from_be_bytes(bytes) as usize;
    checked_length(length)?;
    Ok(Some(length))
}

fn checked_length(length: usize) -> Result<u32, FrameError> {
    if length == 0 || length > MAXIMUM_FRAME_BYTES {
        return Err(FrameError::Length(length));
    }
    u32::try_from(length).map_err(|_| FrameError::Length(length))
}

fn encoding() -> FrameEncoding {
    bincode::config::standard().with_limit::<MAXIMUM_FRAME_BYTES>()
}
