//! How datagrams of the formats after the first begin: with a byte that is no number of a variant of the formats before, so that
//! builds which don't know the format drop them as unreadable. Behind it stands the bincode of one value.

use super::node_words::MOST_BYTES;
use bincode::config::{Configuration, standard};
use serde::Serialize;
use serde::de::DeserializeOwned;

const CODEC: Configuration = standard();

/// The bytes of a datagram of a format; absent where they would be too long.
pub(crate) fn encode(format: u8, datagram: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = vec![format];
    bytes.extend(bincode::serde::encode_to_vec(datagram, CODEC).ok()?);
    (bytes.len() <= MOST_BYTES).then_some(bytes)
}

/// Reads a datagram of a format; absent when it is none.
pub(crate) fn decode<T: DeserializeOwned>(format: u8, bytes: &[u8]) -> Option<T> {
    let content = bytes.strip_prefix(&[format])?;
    let (datagram, used) = bincode::serde::decode_from_slice(content, CODEC).ok()?;
    (used == content.len()).then_some(datagram)
}
