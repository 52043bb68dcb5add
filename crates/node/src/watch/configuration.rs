//! Follows the configuration.

use super::contact::StoreContact;
use crate::context::Context;
use crate::ports::{Changes, FleetStore, OfferedConfig, StoreVersion, WatchError};
use std::time::Duration;

/// Where these changes come from, for the log.
const SOURCE: &str = "store";

/// Pause while the store holds no configuration yet.
const NONE_YET: Duration = Duration::from_millis(200);

/// Follows the configuration as long as the process runs.
pub(crate) fn run(context: &Context, store: &dyn FleetStore) {
    let table = &context.config_watch;
    let mut contact = StoreContact::new(table);
    loop {
        let wait = table.wait_for_question(context);
        let changes = match table.store_version() {
            0 => store.configuration().map_err(WatchError::Failed),
            after => store.watch_configuration(StoreVersion(after), wait),
        };
        match changes {
            Ok(changes) => {
                let version = changes.version.0;
                take(context, changes);
                contact.answered(context, version);
                if context.forwarding().is_none() && context.stop.wait(NONE_YET) {
                    return;
                }
            }
            Err(WatchError::HistoryGone) => {
                log::info!(table = "configuration"; "history_gone");
                table.on_history_gone();
            }
            Err(WatchError::Failed(cause)) => contact.failed(context, &cause),
        }
    }
}

fn take(context: &Context, changes: Changes<OfferedConfig>) {
    for offered in changes.changes {
        match offered {
            Ok(config) => {
                context.offer(config, SOURCE);
            }
            Err(unreadable) => {
                log::warn!(row = unreadable.row.as_str(), fault = unreadable.fault.as_str(); "row_unreadable");
            }
        }
    }
}
