//! Follows the list of engines.

use super::backoff::StoreContact;
use crate::context::Context;
use crate::ports::{EngineChange, FleetStore, StoreVersion, WatchError};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::routing::pool::PoolEngine;
use shelfjunction_threads::lock;
use std::collections::BTreeSet;

/// Follows the list as long as the process runs.
pub(crate) fn run(context: &Context, store: &dyn FleetStore) {
    let mut contact = StoreContact::new("engines");
    let mut seen: Option<StoreVersion> = None;
    loop {
        let changes = match seen {
            Some(after) => store.watch_engines(after, context.config.watch()),
            None => store.engines().map_err(WatchError::Failed),
        };
        match changes {
            Ok(changes) => {
                contact.answered();
                if seen.is_none() {
                    forget_unlisted(context, &changes.changes);
                }
                seen = Some(changes.version);
                changes
                    .changes
                    .into_iter()
                    .for_each(|change| take(context, change));
                context.state.note_listed();
            }
            Err(WatchError::HistoryGone) => {
                log::info!(table = "engines"; "history_gone");
                seen = None;
            }
            Err(WatchError::Failed(cause)) => contact.failed(context, &cause),
        }
    }
}

fn take(context: &Context, change: EngineChange) {
    match change {
        EngineChange::Listed(engine) => note_listed(context, engine),
        EngineChange::Gone(engine) => forget(context, &engine),
        EngineChange::Unreadable(row) => {
            log::warn!(row = row.row.as_str(), fault = row.fault.as_str(); "row_unreadable");
        }
    }
}

fn note_listed(context: &Context, engine: PoolEngine) {
    let mut router = lock(&context.router);
    let changed = router
        .engine(&engine.id)
        .is_none_or(|known| known.engine != engine);
    if changed {
        log::info!(
            engine = engine.id.as_str(),
            pool:% = engine.pool,
            address:% = engine.address,
            zone = engine.zone.as_str(),
            stage:? = engine.stage,
            leaving = engine.leaving,
            sequence = engine.order_sequence;
            "engine_listed"
        );
    }
    let (id, leaving) = (engine.id.clone(), engine.leaving);
    router.on_engine(engine);
    drop(router);
    if leaving {
        context.links.forget(&id);
    }
}

fn forget(context: &Context, engine: &EngineId) {
    log::info!(engine = engine.as_str(); "engine_gone");
    lock(&context.router).on_engine_gone(engine);
    context.links.forget(engine);
}

/// After the whole list was read anew, what it lacks is gone.
fn forget_unlisted(context: &Context, changes: &[EngineChange]) {
    let listed: BTreeSet<&EngineId> = changes
        .iter()
        .filter_map(|change| match change {
            EngineChange::Listed(engine) => Some(&engine.id),
            _ => None,
        })
        .collect();
    let known: Vec<EngineId> = {
        let router = lock(&context.router);
        router.engines().map(|state| state.engine.id.clone()).collect()
    };
    for engine in known.iter().filter(|engine| !listed.contains(engine)) {
        forget(context, engine);
    }
}
