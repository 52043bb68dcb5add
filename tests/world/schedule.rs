//! Events in virtual time.

use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;

/// Events by the instant at which they happen; events of one instant keep the order in which they were added.
#[derive(Debug)]
pub struct Schedule<E> {
    events: BTreeMap<(MonotonicTime, u64), E>,
    added: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self {
            events: BTreeMap::new(),
            added: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Adds an event.
    pub fn add(&mut self, at: MonotonicTime, event: E) {
        self.added += 1;
        self.events.insert((at, self.added), event);
    }

    /// Takes the first event that happens no later than `end`.
    pub fn next_until(&mut self, end: MonotonicTime) -> Option<(MonotonicTime, E)> {
        let first = self.events.first_key_value()?.0.0;
        if first > end {
            return None;
        }
        let ((at, _), event) = self.events.pop_first()?;
        Some((at, event))
    }
}
