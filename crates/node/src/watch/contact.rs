//! Contact with the store: how long a question waits, pauses after failures, and whether there was trouble lately.

use crate::context::Context;
use rand::Rng;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::Mutex;
use std::time::Duration;

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause; a change must be in force within seconds after the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Part of the longest wait below which no question waits. Waits are drawn at random, since a change answers the
/// questions of all nodes at once: with equal waits a store that falls silent would hold all of them back equally long.
const SHORTEST_PART: f64 = 0.3;

/// Time after a failure for which an engine's disappearance may be the store's fault.
const RECENT: Duration = Duration::from_secs(5);

/// When a question to the store last failed.
#[derive(Debug, Default)]
pub(crate) struct StoreTrouble {
    last: Mutex<Option<MonotonicTime>>,
}

impl StoreTrouble {
    fn note(&self, now: MonotonicTime) {
        *lock(&self.last) = Some(now);
    }

    /// Whether a question failed a short time ago.
    pub(crate) fn was_recent(&self, now: MonotonicTime) -> bool {
        lock(&self.last).is_some_and(|last| now.since(last) < RECENT)
    }
}

/// One table's questions to the store.
pub(super) struct StoreContact {
    table: &'static str,
    failures: u32,
}

impl StoreContact {
    pub(super) fn new(table: &'static str) -> Self {
        Self { table, failures: 0 }
    }

    /// Time for which the next question waits for changes; none while the store is in trouble.
    pub(super) fn wait(&self, context: &Context) -> Duration {
        if self.failures > 0 {
            return Duration::ZERO;
        }
        let part = rand::rng().random_range(SHORTEST_PART..1.0);
        context.config.watch().mul_f64(part)
    }

    pub(super) fn answered(&mut self, context: &Context) {
        context.metrics.store_called(true);
        if self.failures > 0 {
            log::info!(table = self.table, failures = self.failures; "store_regained");
            self.failures = 0;
        }
    }

    /// Notes a failure and pauses.
    pub(super) fn failed(&mut self, context: &Context, cause: &impl std::fmt::Debug) {
        if self.failures == 0 {
            log::warn!(table = self.table, cause:? = cause; "store_lost");
        }
        context.metrics.store_called(false);
        context.store_trouble.note(context.now());
        self.failures += 1;
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause = (FIRST_PAUSE * (1 << doublings)).min(LONGEST_PAUSE);
        context
            .stop
            .wait(pause.mul_f64(rand::rng().random_range(0.7..1.3)));
    }
}
