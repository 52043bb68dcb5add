//! The latest starts of engines that are listed no longer.

use crate::identity::{EngineId, EngineStart};
use std::collections::{BTreeMap, VecDeque};

/// Most names that are kept. A row of an earlier start comes within seconds of the end of a later one, and fleets of the
/// target size list a few hundred names.
const MOST_KEPT: usize = 1_024;

/// The latest start of each name that is listed no longer, so that a late word of an earlier one is known as such. Only
/// starts that the platform told.
#[derive(Clone, Debug, Default)]
pub(super) struct EndedStarts {
    starts: BTreeMap<String, EngineStart>,
    /// The names, the one noted first in front.
    order: VecDeque<String>,
}

impl EndedStarts {
    /// Notes that a start has ended.
    pub(super) fn note(&mut self, engine: &EngineId) {
        if engine.start() == EngineStart::default() {
            return;
        }
        let name = engine.as_str();
        let latest = self.latest(name).max(engine.start());
        if self.starts.insert(name.to_owned(), latest).is_none() {
            self.order.push_back(name.to_owned());
        }
        if self.order.len() > MOST_KEPT
            && let Some(first) = self.order.pop_front()
        {
            self.starts.remove(&first);
        }
    }

    /// Forgets a name, of which a start is listed again.
    pub(super) fn forget(&mut self, name: &str) {
        if self.starts.remove(name).is_some() {
            self.order.retain(|kept| kept != name);
        }
    }

    /// The latest start that was noted of a name; zero where none was.
    pub(super) fn latest(&self, name: &str) -> EngineStart {
        self.starts.get(name).copied().unwrap_or_default()
    }
}
