//! What was expected of a request that is to be in time, to be compared with what came of it.

use crate::routing::pool::{PoolQuery, PoolRouter};
use crate::time::MonotonicTime;
use std::time::Duration;

/// What was expected of a request that is to be in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    pub(super) made_at: MonotonicTime,
    pub(super) expected: Duration,
    pub(super) target: Duration,
    /// Time over which outcomes fade; absent where kinds are not compared.
    pub(super) kinds_window: Option<Duration>,
}

impl Promise {
    /// Takes that the first event has come.
    pub(super) fn judge(self, router: &mut PoolRouter, query: &PoolQuery<'_>, now: MonotonicTime) {
        let took = now.since(self.made_at);
        router.on_first_event(query, self.expected, took);
        if let Some(window) = self.kinds_window {
            let kind = usize::from(query.constraints.kind_rank);
            let in_time = took <= self.target;
            let sharing = router.sharing_mut();
            sharing.on_outcome(query.pool, kind, in_time, window, now);
        }
    }
}
