//! Follows the list of engines.

use super::contact::StoreContact;
use crate::context::Context;
use crate::ports::{Changes, EngineRow, FleetStore, StoreVersion, WatchError};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{ListChange, ListSnapshot, PoolEngine};
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
    loop {
        let wait = table.wait_for_question(context);
        let after = table.store_version();
        let changes = match after {
            0 => store.engines().map_err(WatchError::Failed),
            after => store.watch_engines(StoreVersion(after), wait),
        };
        match changes {
            Ok(changes) => {
                let version = changes.version.0;
                let has_changed = !changes.changes.is_empty();
                if after == 0 {
                    take_whole(context, changes);
                } else {
                    take_changes(context, after, changes);
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

fn take_changes(context: &Context, after: u64, changes: Changes<EngineRow>) {
    let read = changes.changes.into_iter().filter_map(|row| {
        let version = row.version.0;
        readable(row).map(|change| (version, change))
    });
    let read: Vec<(u64, ListChange)> = read.collect();
    let taken = {
        let mut listing = lock(&context.listing);
        lock(&context.recent_changes).note(&listing, after, &read, context.now());
        listing.apply(read, changes.version.0)
    };
    context.take_list_changes(taken, SOURCE);
}

fn take_whole(context: &Context, changes: Changes<EngineRow>) {
    let mut engines = Vec::new();
    for row in changes.changes {
        // A row that can't be read leaves its engine as it was known.
        let kept = row
            .change
            .as_ref()
            .err()
            .and_then(|unreadable| known(context, &unreadable.row));
        match readable(row) {
            Some(ListChange::Listed(engine)) => engines.push(engine),
            _ => engines.extend(kept),
        }
    }
    let snapshot = ListSnapshot {
        version: changes.version.0,
        engines,
    };
    let taken = {
        let mut listing = lock(&context.listing);
        lock(&context.recent_changes).reset();
        listing.replace(&snapshot)
    };
    context.take_list_changes(taken, SOURCE);
}

fn known(context: &Context, engine: &str) -> Option<PoolEngine> {
    let id = EngineId::new(engine);
    lock(&context.router)
        .engine(&id)
        .map(|state| state.engine.clone())
}

fn readable(row: EngineRow) -> Option<ListChange> {
    match row.change {
        Ok(change) => Some(change),
        Err(unreadable) => {
            log::warn!(row = unreadable.row.as_str(), fault = unreadable.fault.as_str(); "row_unreadable");
            None
        }
    }
}
