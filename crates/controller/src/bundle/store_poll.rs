//! Watches the row that names the bundle in force, in one controller of each zone.

use crate::backoff::Backoff;
use crate::config::millis;
use crate::context::Context;
use shelfjunction_core::bundle::HeadSource;
use shelfjunction_core::bundle::acceptance::{CURRENT_KEY, CurrentRow, parse};
use shelfjunction_core::table::{PlatformError, Row, RowKey};

/// Reads the row until the controller stops.
pub fn run(context: &Context) {
    let timings = &context.config.timings;
    let interval = millis(timings.bundle_poll_millis);
    let mut backoff = Backoff::new(interval, millis(timings.platform_backoff_millis));
    loop {
        let wait = match poll_when_chosen(context) {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::warn!(error:? = error; "bundle_row_unread");
                backoff.failed()
            }
        };
        if context.stop.wait(wait) {
            return;
        }
    }
}

fn poll_when_chosen(context: &Context) -> Result<(), PlatformError> {
    // A controller without a bundle reads for itself: it can't wait until the chosen one passes it on.
    if !context.gossip.is_zone_poller() && context.bundle.in_force().is_some() {
        return Ok(());
    }
    let asked_at = context.now();
    let row = context.services.table.read(&RowKey(CURRENT_KEY.to_owned()))?;
    let head = match row.as_ref().map(read_row) {
        Some(None) => {
            log::error!(key = CURRENT_KEY; "bundle_row_malformed");
            return Ok(());
        }
        Some(Some(current)) => Some(current.head()),
        None => None,
    };
    context.bundle.on_head(head, &HeadSource::Store, asked_at);
    if head.is_some() && head.map(|head| head.generation) == Some(context.bundle.generation()) {
        context.gossip.confirm_head(asked_at);
    }
    Ok(())
}

fn read_row(row: &Row) -> Option<CurrentRow> {
    parse(row)
}
