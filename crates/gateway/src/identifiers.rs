//! Identifiers of requests: one for callers, one for engines.
//!
//! A caller sees `req-NONCE-TAG`: 128 random bits, and the first bytes of the digest of the engine that holds the
//! answer, so that any gateway finds it. An engine sees `NONCE.SEAL`, where the seal is a digest over the nonce
//! and the tenant's secret salt. Another tenant that learns a caller's identifier gets a different seal and so
//! names a request that no engine knows; there is nothing to tell it from one that never was.

use rand::RngCore;
use sha2::{Digest, Sha256};
use shelfjunction_core::identity::{EngineId, RequestId};

const PUBLIC_PREFIX: &str = "req-";
const NONCE_BYTES: usize = 16;
const SEAL_BYTES: usize = 16;
const TAG_BYTES: usize = 4;

/// First bytes of every seal's input, so that a salt used elsewhere gives other values.
const SEAL_CONTEXT: &[u8] = b"shelfjunction request 1\n";

/// A caller's identifier, taken apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PublicId {
    /// The random part, in hexadecimal.
    pub(crate) nonce: String,
    /// Which engine holds the answer; absent where none was asked.
    pub(crate) engine_tag: Option<String>,
}

/// A fresh random part.
pub(crate) fn new_nonce(random: &mut dyn RngCore) -> String {
    let mut bytes = [0; NONCE_BYTES];
    random.fill_bytes(&mut bytes);
    hex::encode(bytes)
}

/// The identifier by which engines know the request of the tenant with that salt.
pub(crate) fn engine_request(nonce: &str, salt: &str) -> RequestId {
    let mut hasher = Sha256::new();
    hasher.update(SEAL_CONTEXT);
    hasher.update(salt.as_bytes());
    hasher.update(nonce.as_bytes());
    let seal = hex::encode(&hasher.finalize()[..SEAL_BYTES]);
    RequestId(format!("{nonce}.{seal}"))
}

/// Which engine holds an answer, without its name.
pub(crate) fn engine_tag(engine: &EngineId) -> String {
    hex::encode(&Sha256::digest(engine.as_str().as_bytes())[..TAG_BYTES])
}

/// The identifier that the caller is given.
pub(crate) fn public_id(request: &RequestId, engine: Option<&EngineId>) -> String {
    let nonce = request.as_str().split('.').next().unwrap_or_default();
    match engine {
        Some(engine) => format!("{PUBLIC_PREFIX}{nonce}-{}", engine_tag(engine)),
        None => format!("{PUBLIC_PREFIX}{nonce}"),
    }
}

/// Takes a caller's identifier apart; absent for anything that no gateway gives out.
pub(crate) fn parse_public(text: &str) -> Option<PublicId> {
    let rest = text.strip_prefix(PUBLIC_PREFIX)?;
    let (nonce, tag) = match rest.split_once('-') {
        Some((nonce, tag)) => (nonce, Some(tag)),
        None => (rest, None),
    };
    let nonce_fits = is_hexadecimal(nonce, NONCE_BYTES);
    let tag_fits = tag.is_none_or(|tag| is_hexadecimal(tag, TAG_BYTES));
    (nonce_fits && tag_fits).then(|| PublicId {
        nonce: nonce.to_owned(),
        engine_tag: tag.map(str::to_owned),
    })
}

fn is_hexadecimal(text: &str, bytes: usize) -> bool {
    let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 2 * bytes && text.bytes().all(digit)
}
