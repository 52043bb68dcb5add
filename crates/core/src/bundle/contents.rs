//! Contents held in memory by their digest.

use super::digest::Digest;
use super::error::BundleError;
use super::manifest::Part;
use serde::de::DeserializeOwned;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Longest content that is taken in, in bytes; stays below the longest frame between processes.
pub const MAXIMUM_CONTENT_BYTES: usize = 1024 * 1024;

/// Contents by digest; holds nothing whose bytes do not have that digest.
#[derive(Clone, Debug, Default)]
pub struct ContentStore {
    contents: HashMap<Digest, Arc<[u8]>>,
}

impl ContentStore {
    /// Keeps the bytes under their own digest, which is returned.
    pub fn insert(&mut self, bytes: &[u8]) -> Digest {
        let digest = Digest::of(bytes);
        self.contents.entry(digest).or_insert_with(|| bytes.into());
        digest
    }

    /// Whether the content is at hand.
    pub fn holds(&self, digest: Digest) -> bool {
        self.contents.contains_key(&digest)
    }

    /// The bytes of a content.
    pub fn get(&self, digest: Digest) -> Option<Arc<[u8]>> {
        self.contents.get(&digest).cloned()
    }

    /// Parses a content; absent when it is not at hand.
    pub fn parse<T: DeserializeOwned>(&self, digest: Digest) -> Result<Option<T>, BundleError> {
        let Some(bytes) = self.contents.get(&digest) else {
            return Ok(None);
        };
        let malformed = |_| BundleError::Malformed { content: digest };
        serde_json::from_slice(bytes).map(Some).map_err(malformed)
    }

    /// Parses a part that is known to be at hand.
    pub fn part(&self, digest: Digest) -> Result<Part, BundleError> {
        self.parse(digest)?
            .ok_or(BundleError::Malformed { content: digest })
    }

    /// Forgets every content that is not named.
    pub fn retain(&mut self, kept: &BTreeSet<Digest>) {
        self.contents.retain(|digest, _| kept.contains(digest));
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.contents.values().map(|bytes| bytes.len()).sum()
    }
}
