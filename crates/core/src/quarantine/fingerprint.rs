//! Names of requests and parts of prompts under which engines may crash; the same at every node.

use crate::routing::pool::PromptPart;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Bytes of a fingerprint. Nobody can make one request look like another's, and a report between nodes stays short.
const FINGERPRINT_BYTES: usize = 16;

/// What a request asks for, as its caller wrote it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The tenant that asks; absent where callers need no key. No tenant's requests are taken for another's.
    pub tenant: Option<&'a str>,
    /// Host that the caller names.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path with its query.
    pub target: &'a str,
    /// Pieces of the body, in order.
    pub body: &'a [&'a [u8]],
}

/// Begin of the fingerprint of a part. Behind it stand the first bytes of the SHA-256 of its model, and its name. The digest of one
/// in four billion requests begins so too; such a request counts as a part that no other request holds.
const PART_MARK: [u8; 4] = *b"part";

/// First bytes of the SHA-256 of what a request asks for, or a part of prompts to a model; the same at every node and at each
/// attempt of its caller.
///
/// Headers are left out: attempts of one request differ in them, as in the name of the attempt and the time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The fingerprint of a request. Each field is preceded by its length, so that no two lists of fields read alike.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(content.tenant.is_some())]);
        let texts = [
            content.tenant.unwrap_or_default(),
            content.host,
            content.method,
            content.target,
        ];
        for field in texts {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let body_length: usize = content.body.iter().map(|piece| piece.len()).sum();
        hasher.update((body_length as u64).to_be_bytes());
        for piece in content.body {
            hasher.update(piece);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// The fingerprint of a part of prompts to a model.
    pub fn of_part(model: &str, part: &PromptPart) -> Self {
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes[..4].copy_from_slice(&PART_MARK);
        bytes[4..8].copy_from_slice(&Sha256::digest(model)[..4]);
        bytes[8..].copy_from_slice(&part.name.to_be_bytes());
        Self(bytes)
    }

    /// Name of the part; absent where it names a request.
    pub fn part_name(&self) -> Option<u64> {
        let (mark, rest) = self.0.split_first_chunk()?;
        let name = rest.last_chunk()?;
        (*mark == PART_MARK).then(|| u64::from_be_bytes(*name))
    }

    /// Whether it names a part of prompts.
    pub fn is_part(&self) -> bool {
        self.part_name().is_some()
    }
}

/// A text that is no fingerprint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoFingerprint(String);

impl fmt::Display for NoFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "fingerprint = {}: allowed are {} hexadecimal digits",
            self.0,
            FINGERPRINT_BYTES * 2
        )
    }
}

impl FromStr for Fingerprint {
    type Err = NoFingerprint;

    fn from_str(text: &str) -> Result<Self, NoFingerprint> {
        let mut bytes = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| NoFingerprint(text.to_owned()))?;
        Ok(Self(bytes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}
