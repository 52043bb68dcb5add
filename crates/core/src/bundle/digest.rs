//! Names of contents: the SHA-256 of their bytes.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Bytes of a SHA-256.
pub const DIGEST_BYTES: usize = 32;

/// SHA-256 of some content; written as 64 hexadecimal digits in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// The digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }

    /// The digest written as hexadecimal digits; absent unless there are exactly 64 of them.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// The digest as 64 hexadecimal digits; also its name in the object store.
    pub fn to_hex(self) -> String {
        hex::encode(self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.to_hex())
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.to_hex())
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::from_hex(&text)
            .ok_or_else(|| serde::de::Error::custom("expected the 64 hexadecimal digits of a SHA-256"))
    }
}
