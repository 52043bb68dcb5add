//! Contact with the store: pauses after failures, and whether there was trouble lately.

use super::table::TableWatch;
use crate::context::Context;
use crate::peers::Duty;
use rand::Rng;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::sync::Mutex;
use std::time::Duration;

/// First pause after a failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// First pause after a failure of a node of a large fleet that is not on duty: those on duty tell it when the store is
/// back.
const FIRST_PAUSE_OFF_DUTY: Duration = Duration::from_millis(800);

/// Longest pause of a node in a small fleet; a change must be in force within seconds after the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Nodes from which pauses grow with the fleet, since the first node that the store answers again tells the others.
const SMALL_FLEET: u32 = 16;

/// Most by which they grow.
const MOST_GROWTH: u32 = 4;

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
pub(super) struct StoreContact<'a> {
    table: &'a TableWatch,
    failures: u32,
}

impl<'a> StoreContact<'a> {
    pub(super) fn new(table: &'a TableWatch) -> Self {
        Self { table, failures: 0 }
    }

    /// Notes an answer that reaches up to a version of the store; a watcher's is told to the others.
    pub(super) fn answered(&mut self, context: &Context, store_version: u64) {
        context.metrics.store_called(true);
        self.table.on_store_answer(store_version, context.now());
        context.peers.note_confirmed();
        if self.failures > 0 {
            log::info!(table = self.table.name(), failures = self.failures; "store_regained");
            self.failures = 0;
        }
    }

    /// Notes a failure and pauses.
    pub(super) fn failed(&mut self, context: &Context, cause: &impl std::fmt::Debug) {
        if self.failures == 0 {
            log::warn!(table = self.table.name(), cause:? = cause; "store_lost");
        }
        context.metrics.store_called(false);
        context.store_trouble.note(context.now());
        self.table.on_store_silent();
        self.failures += 1;
        let doublings = self.failures.saturating_sub(1).min(5);
        let first = match context.peers.duty(context.now()) {
            Duty::Off => FIRST_PAUSE_OFF_DUTY,
            Duty::Placer | Duty::Shared | Duty::NotKnown => FIRST_PAUSE,
        };
        let pause = (first * (1 << doublings)).min(longest_pause(context));
        context
            .stop
            .wait(pause.mul_f64(rand::rng().random_range(0.7..1.3)));
    }
}

fn longest_pause(context: &Context) -> Duration {
    let nodes = context.peers.nodes().unwrap_or(1);
    LONGEST_PAUSE * (nodes / SMALL_FLEET).clamp(1, MOST_GROWTH)
}
