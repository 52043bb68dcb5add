//! Which nodes ask the platform's store whether a table has changed, and how the others learn it from them.
//!
//! A question that waits at the store costs a call each time it ends, so a fleet in which every node asks pays for each
//! change as many times as it has nodes. Here a few nodes, the watchers, ask; every message between nodes tells the
//! version that its sender has and how long ago the store confirmed it. A node is *fresh* while it has everything that
//! was confirmed less than a bound ago, by the store or by others. One that is not fresh asks the store itself, so a
//! node that is cut off from the watchers, or a fleet that has lost them, is late by the bound at most.

mod shared;
mod watchers;

pub use shared::{SharedWatch, SharedWatchSettings, TableWord, WatchRole, WatchStep};
pub use watchers::is_watcher;
