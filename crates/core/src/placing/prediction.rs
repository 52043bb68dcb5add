//! Predicted time to the first event of a request, to be compared with the actual time.

use crate::routing::pool::{PoolQuery, PoolRouter};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Prediction for a request that was admitted because it is expected to meet its target.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyPrediction {
    pub(super) made_at: MonotonicTime,
    pub(super) expected: Duration,
    pub(super) target: Duration,
    /// Decay window of the outcomes per request kind; `None` if kinds are not compared.
    pub(super) outcome_window: Option<Duration>,
}

impl LatencyPrediction {
    /// Records that the first event arrived at `now`.
    pub(super) fn record_outcome(self, router: &mut PoolRouter, query: &PoolQuery<'_>, now: MonotonicTime) {
        let took = now.since(self.made_at);
        router.on_first_event(query, self.expected, took);
        if let Some(window) = self.outcome_window {
            let kind = usize::from(query.constraints.kind_rank);
            let in_time = took <= self.target;
            let sharing = router.sharing_mut();
            sharing.on_outcome(query.pool, kind, in_time, window, now);
        }
    }
}
