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
    let mut contact = StoreContact::new("configuration");
    let mut seen: Option<StoreVersion> = None;
    loop {
        let changes = match seen {
            Some(after) => store.watch_configuration(after, contact.wait(context)),
            None => store.configuration().map_err(WatchError::Failed),
        };
        match changes {
            Ok(changes) => {
                contact.answered(context);
                seen = Some(changes.version);
                take(context, changes);
                if context.forwarding().is_none() && context.stop.wait(NONE_YET) {
                    return;
                }
            }
            Err(WatchError::HistoryGone) => {
                log::info!(table = "configuration"; "history_gone");
                seen = None;
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
