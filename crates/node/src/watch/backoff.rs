//! Pauses between questions to a store that gives no answer.

use crate::context::Context;
use rand::Rng;
use std::time::Duration;

/// First pause.
const FIRST: Duration = Duration::from_millis(100);

/// Longest pause; a change must be in force within seconds after the store is back.
const LONGEST: Duration = Duration::from_millis(600);

/// Failures in a row, with one log line for each loss and return of the store.
pub(super) struct StoreContact {
    table: &'static str,
    failures: u32,
}

impl StoreContact {
    pub(super) fn new(table: &'static str) -> Self {
        Self { table, failures: 0 }
    }

    pub(super) fn answered(&mut self) {
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
        self.failures += 1;
        let doublings = self.failures.saturating_sub(1).min(4);
        let pause = (FIRST * (1 << doublings)).min(LONGEST);
        context
            .stop
            .wait(pause.mul_f64(rand::rng().random_range(0.7..1.3)));
    }
}
