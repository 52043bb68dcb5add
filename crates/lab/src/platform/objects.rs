//! The object store.

use std::collections::BTreeMap;

/// Bytes by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Objects {
    contents: BTreeMap<String, Vec<u8>>,
}

impl Objects {
    /// Stores the bytes under the name, in place of what was there.
    pub(super) fn put(&mut self, name: &str, bytes: &[u8]) {
        self.contents.insert(name.to_owned(), bytes.to_vec());
    }

    /// The bytes under the name.
    pub(super) fn get(&self, name: &str) -> Option<Vec<u8>> {
        self.contents.get(name).cloned()
    }
}
