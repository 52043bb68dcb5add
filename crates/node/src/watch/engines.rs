//! Follows the list of engines.

use super::contact::StoreContact;
use crate::context::Context;
use crate::ports::{Changes, EngineRow, FleetStore, StoreVersion, WatchError};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::{ListChange, ListSnapshot, PoolEngine};
use shelfjunction_threads::lock;

/// Where these changes come from, for the log.
const SOURCE: &str = "store";

/// Follows the list as long as the process runs.
pub(crate) fn run(context: &Context, store: &dyn FleetStore) {
    let mut contact = StoreContact::new("engines");
    let mut seen: Option<StoreVersion> = None;
    loop {
        let changes = match seen {
            Some(after) => store.watch_engines(after, contact.wait(context)),
            None => store.engines().map_err(WatchError::Failed),
        };
        match changes {
            Ok(changes) => {
                contact.answered(context);
                let whole = seen.is_none();
                seen = Some(changes.version);
                if whole {
                    take_whole(context, changes);
                } else {
                    take_changes(context, changes);
                }
            }
            Err(WatchError::HistoryGone) => {
                log::info!(table = "engines"; "history_gone");
                seen = None;
            }
            Err(WatchError::Failed(cause)) => contact.failed(context, &cause),
        }
    }
}

fn take_changes(context: &Context, changes: Changes<EngineRow>) {
    let read = changes.changes.into_iter().filter_map(|row| {
        let version = row.version.0;
        readable(row).map(|change| (version, change))
    });
    let read = read.collect();
    let taken = lock(&context.listing).apply(read, changes.version.0);
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
    let taken = lock(&context.listing).replace(&snapshot);
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
