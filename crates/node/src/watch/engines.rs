//! Follows the list of engines.
//!
//! An entry that can't be read names no engine to use: what stood there before may have ended, and another start or
//! service may have its address.

use super::contact::StoreContact;
use super::row_faults::RowFaults;
use crate::context::Context;
use crate::ports::{Changes, EngineRow, FleetStore, StoreVersion, WatchError};
use shelfjunction_core::routing::pool::{EngineListing, ListChange, ListSnapshot};
use shelfjunction_threads::lock;
use std::time::Duration;

/// Where these changes come from, for the log.
const SOURCE: &str = "store";

/// Time for which changes gather at the store before the next question, so that engines which come and go one by one do
/// not cost a call each.
const GATHER: Duration = Duration::from_millis(150);

/// Follows the list as long as the process runs.
pub(crate) fn run(context: &Context, store: &dyn FleetStore) {
    let table = &context.list_watch;
    let mut contact = StoreContact::new(table);
    let mut faults = RowFaults::default();
    loop {
        let wait = table.wait_for_question(context);
        // What follows on a part of the list says nothing of the rest.
        let is_partial = lock(&context.listing).is_partial();
        let after = if is_partial { 0 } else { table.store_version() };
        let changes = match after {
            0 => store.engines().map_err(WatchError::Failed),
            after => store.watch_engines(StoreVersion(after), wait),
        };
        match changes {
            Ok(changes) => {
                let version = changes.version.0;
                let has_changed = !changes.changes.is_empty();
                if after == 0 {
                    take_whole(context, &mut faults, changes);
                } else {
                    take_changes(context, &mut faults, after, changes);
                }
                contact.answered(context, version);
                if has_changed {
                    context.stop.wait(GATHER);
                }
            }
            Err(WatchError::HistoryGone) => {
                log::info!(table = "engines"; "history_gone");
                table.on_history_gone();
            }
            Err(WatchError::Failed(cause)) => contact.failed(context, &cause),
        }
    }
}

fn take_changes(context: &Context, faults: &mut RowFaults, after: u64, changes: Changes<EngineRow>) {
    context.update_list(SOURCE, |listing| {
        let rows = changes.changes.into_iter();
        let read: Vec<(u64, ListChange)> = rows
            .map(|row| (row.version.0, faults.change_of(row, listing)))
            .collect();
        lock(&context.recent_changes).record(listing, after, &read, context.now());
        listing.apply(read, changes.version.0)
    });
    context.state.note_listed();
}

fn take_whole(context: &Context, faults: &mut RowFaults, changes: Changes<EngineRow>) {
    context.update_list(SOURCE, |listing| {
        let snapshot = snapshot(faults, listing, changes);
        faults.retain(&snapshot.unreadable);
        lock(&context.recent_changes).reset();
        listing.replace(&snapshot)
    });
    context.state.note_listed();
}

fn snapshot(faults: &mut RowFaults, listing: &EngineListing, changes: Changes<EngineRow>) -> ListSnapshot {
    let mut snapshot = ListSnapshot {
        version: changes.version.0,
        ..ListSnapshot::default()
    };
    for row in changes.changes {
        match faults.change_of(row, listing) {
            ListChange::Listed(engine) => snapshot.engines.push(engine),
            ListChange::Unreadable(entry) => snapshot.unreadable.push(entry.as_str().to_owned()),
            ListChange::Gone(_) => {}
        }
    }
    snapshot
}
