//! Reads the platform's lagging list of machines, in one controller of each zone.

use crate::backoff::Backoff;
use crate::config::millis;
use crate::context::Context;
use crate::fleet;
use shelfjunction_core::table::PlatformError;

/// Reads the list until the controller stops.
pub fn run(context: &Context) {
    let timings = &context.config.timings;
    let interval = millis(timings.machine_list_millis);
    let mut backoff = Backoff::new(interval, millis(timings.platform_backoff_millis));
    loop {
        let wait = match read_when_chosen(context) {
            Ok(()) => backoff.succeeded(),
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::warn!(error:? = error; "machine_list_unread");
                backoff.failed()
            }
        };
        if context.stop.wait(wait) {
            return;
        }
    }
}

/// A controller that knows of no engine in its zone reads for itself; otherwise the chosen one passes changes on.
fn read_when_chosen(context: &Context) -> Result<(), PlatformError> {
    if context.gossip.is_zone_poller() || fleet::zone_engines(context).is_empty() {
        let machines = context.services.machines.machines()?;
        context.gossip.join_machines(&machines);
    }
    Ok(())
}
