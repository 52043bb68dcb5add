//! The salt that gives each tenant prefix-cache identities of its own.

use crate::identity::TenantId;
use sha2::{Digest as _, Sha256};
use std::fmt;

/// Bytes of the secret.
const SECRET_BYTES: usize = 32;

/// First bytes of every salt's input, so that the secret used elsewhere gives other values.
const SALT_CONTEXT: &[u8] = b"shelfjunction cache salt 1\n";

/// Secret that all nodes share; never printed.
///
/// It is a setting of the nodes and no part of the bundle: who reads a bundle must not learn to compute another
/// tenant's cache identities.
#[derive(Clone)]
pub struct CacheSecret([u8; SECRET_BYTES]);

impl CacheSecret {
    /// Wraps the bytes.
    pub fn new(bytes: [u8; SECRET_BYTES]) -> Self {
        Self(bytes)
    }

    /// Reads 64 hexadecimal digits; white space around them is ignored.
    pub fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0; SECRET_BYTES];
        hex::decode_to_slice(text.trim(), &mut bytes).ok()?;
        Some(Self(bytes))
    }

    /// The salt of a tenant, as 64 hexadecimal digits; the same on every node.
    pub fn salt(&self, tenant: &TenantId) -> String {
        let mut hasher = Sha256::new();
        hasher.update(SALT_CONTEXT);
        hasher.update(self.0);
        hasher.update(tenant.as_str().as_bytes());
        hex::encode(hasher.finalize())
    }
}

impl fmt::Debug for CacheSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CacheSecret(not shown)")
    }
}
