//! What the runs on this thread have met, by name.

use std::cell::RefCell;
use std::collections::BTreeMap;

thread_local! {
    static MET: RefCell<BTreeMap<&'static str, u64>> = const { RefCell::new(BTreeMap::new()) };
}

/// Counts one thing met.
pub fn met(name: &'static str) {
    met_times(name, 1);
}

/// Counts something met several times.
pub fn met_times(name: &'static str, times: u64) {
    MET.with_borrow_mut(|met| *met.entry(name).or_default() += times);
}

/// Takes the counts, sorted by name, and starts from zero.
pub fn take() -> BTreeMap<&'static str, u64> {
    MET.take()
}
