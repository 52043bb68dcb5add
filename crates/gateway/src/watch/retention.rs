//! Forgets claims whose time has passed.

use crate::config::millis;
use crate::context::Context;
use rand::Rng;
use shelfjunction_core::ledger::retention::{RetentionSettings, RetentionWatch};
use shelfjunction_core::ledger::row::CLAIM_PREFIX;
use std::time::{SystemTime, UNIX_EPOCH};

/// Looks again and again until the gateway ends; gateways look at different moments.
pub(crate) fn run(context: &Context) {
    let settings = RetentionSettings {
        keep: millis(context.config.requests.key_retention_millis),
        ..RetentionSettings::default()
    };
    let mut watch = RetentionWatch::new(settings);
    let interval = context.config.timings.claim_retention_scan_millis;
    loop {
        let pause = context.with_random(|random| random.random_range(interval / 2..=interval));
        if context.stop.wait(millis(pause)) {
            return;
        }
        match context.backends.table.scan(CLAIM_PREFIX) {
            Ok(rows) => {
                let now = context.now();
                for deletion in watch.on_scan(&rows, now, unix_seconds()) {
                    context.claims.write_later(deletion, now);
                }
            }
            Err(error) => {
                context.metrics.platform_errors.inc();
                log::debug!(error:? = error; "claims_not_scanned");
            }
        }
    }
}

/// Seconds since the Unix epoch by this machine's wall clock.
pub(crate) fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
