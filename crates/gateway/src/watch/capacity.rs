//! Tells admission what the engines can do, and lets it look at what waits.

use crate::config::millis;
use crate::context::Context;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Between two looks at the requests that wait.
const TICK: Duration = Duration::from_millis(5);

/// Runs until the gateway ends.
pub(crate) fn run(context: &Context) {
    let interval = millis(context.config.timings.capacity_millis);
    let mut next_look = MonotonicTime::default();
    while !context.stop.wait(TICK) {
        let now = context.now();
        if now >= next_look {
            look(context, now);
            next_look = now + interval;
        }
        context.with_random(|random| context.admission.tick(now, random));
    }
}

fn look(context: &Context, now: MonotonicTime) {
    let Some(served) = context.bundles.served() else {
        return;
    };
    for rule in served.bundle.models.iter() {
        let capacity = lock(&context.fleet).capacity(&rule.model, rule.kind, now);
        if let Some(capacity) = capacity {
            context.admission.set_capacity(&rule.model, capacity, now);
        }
    }
}
