//! The last known start of each engine that is no longer listed.

use crate::identity::{EngineId, EngineStart};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of remembered engine names. Outdated updates arrive within seconds, and a fleet lists a few hundred
/// names.
const MAX_ENGINE_NAMES: usize = 1_024;

/// Remembers the latest start of each engine name that is no longer listed, so that a delayed update about an earlier
/// start is recognized as outdated. Contains only starts that the platform reported.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedStarts {
    starts: BTreeMap<String, EngineStart>,
    /// Engine names in order of insertion, oldest first.
    insertion_order: VecDeque<String>,
}

impl EndedStarts {
    /// Records the end of an engine start; ignores an engine without a known start.
    pub(super) fn record_end(&mut self, engine: &EngineId) {
        if engine.start() == EngineStart::default() {
            return;
        }
        let name = engine.as_str();
        let latest = self.latest_start(name).max(engine.start());
        if self.starts.insert(name.to_owned(), latest).is_none() {
            self.insertion_order.push_back(name.to_owned());
        }
        if self.insertion_order.len() > MAX_ENGINE_NAMES
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.starts.remove(&oldest);
        }
    }

    /// Removes a name that is listed again.
    pub(super) fn remove(&mut self, name: &str) {
        if self.starts.remove(name).is_some() {
            self.insertion_order.retain(|other| other != name);
        }
    }

    /// The recorded start of the engine with this name; zero if none is recorded.
    pub(super) fn latest_start(&self, name: &str) -> EngineStart {
        self.starts.get(name).copied().unwrap_or_default()
    }
}
