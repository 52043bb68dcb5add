//! Reads cache events from engines, so that the router knows which prefixes they hold.

use crate::config::{GatewayTimings, millis};
use crate::context::Context;
use shelfjunction_core::identity::EngineId;
use shelfjunction_threads::lock;
use std::collections::HashMap;
use std::time::Duration;

#[derive(Clone, Copy, Default)]
struct Cursor {
    incarnation: u64,
    after: u64,
}

/// Reads on from each engine's last event until the gateway ends.
pub(crate) fn run(context: &Context) {
    let mut engines = 0;
    let mut cursors: HashMap<EngineId, Cursor> = HashMap::new();
    while !context.stop.wait(round(&context.config.timings, engines)) {
        let sources = lock(&context.fleet).cache_sources();
        engines = sources.len();
        cursors.retain(|engine, _| sources.iter().any(|(known, _)| known == engine));
        for (engine, address) in sources {
            let cursor = cursors.entry(engine.clone()).or_default();
            let Ok(batch) = context.backends.engines.kv_events(address, cursor.after) else {
                continue;
            };
            if batch.incarnation != cursor.incarnation {
                // Numbers of another start mean nothing here: read this start's events from the first.
                let stale = cursor.after > 0;
                *cursor = Cursor {
                    incarnation: batch.incarnation,
                    after: 0,
                };
                if stale {
                    continue;
                }
            }
            if let Some(last) = batch.events.last() {
                cursor.after = last.sequence;
            }
            lock(&context.fleet)
                .router
                .on_kv_events(&engine, batch.incarnation, &batch.events);
        }
    }
}

/// Time of one round; grows with the engines, so that the questions a second of one gateway are bounded.
fn round(timings: &GatewayTimings, engines: usize) -> Duration {
    let engines = u64::try_from(engines).unwrap_or(u64::MAX);
    let spread = engines.saturating_mul(timings.cache_events_engine_millis);
    millis(timings.cache_events_millis.max(spread))
}
