//! KV caches held for other engines to fetch.

use serde::{Deserialize, Serialize};
use shelfjunction_core::time::MonotonicTime;
use std::collections::HashMap;

/// A KV cache as another engine fetches it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Name of the export at the engine that computed it.
    pub handle: String,
    /// Fits only a call with the same model, adapter, salt and prompt.
    pub binding: u64,
    /// Prompt tokens it covers.
    pub prompt_tokens: u32,
}

/// An export and how long it is kept.
#[derive(Clone, Debug)]
struct HeldExport {
    export: KvExport,
    expires_at: MonotonicTime,
    fetched: bool,
}

/// Exports of one process of an engine, by handle.
#[derive(Debug, Default)]
pub(crate) struct ExportTable {
    held: HashMap<String, HeldExport>,
}

impl ExportTable {
    pub fn hold(&mut self, export: KvExport, expires_at: MonotonicTime) {
        let held = HeldExport {
            export: export.clone(),
            expires_at,
            fetched: false,
        };
        self.held.insert(export.handle, held);
    }

    /// The export under a handle; fetching it does not end it, since the fetch may have to be repeated.
    pub fn fetch(&mut self, handle: &str) -> Option<KvExport> {
        let held = self.held.get_mut(handle)?;
        held.fetched = true;
        Some(held.export.clone())
    }

    /// Exports that nobody has fetched yet: a change of the engine would cost their requests a second prefill.
    pub fn unfetched(&self) -> u32 {
        let count = self.held.values().filter(|held| !held.fetched).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub fn expire(&mut self, now: MonotonicTime) {
        self.held.retain(|_, held| held.expires_at > now);
    }

    pub fn clear(&mut self) {
        self.held.clear();
    }
}
