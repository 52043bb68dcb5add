//! Which callers have come back after a refusal.
//!
//! Callers tell how long they will wait. One that tells much less than others on its route has spent the rest on an
//! earlier attempt.

use super::route::RouteId;
use std::collections::BTreeMap;
use std::time::Duration;

/// Part of a first attempt's time below which an attempt is not the first.
const FIRST_ATTEMPT_SHARE: f64 = 0.95;

/// Part by which the longest time seen shrinks with each attempt, so that callers which wait less than they did before
/// are not taken for returned ones for long.
const SHRINK: f64 = 0.002;

/// The longest time that callers of each route were seen to wait.
#[derive(Clone, Debug, Default)]
pub struct CallerWaits {
    longest: BTreeMap<RouteId, Duration>,
}

impl CallerWaits {
    /// Takes one attempt's time; whether its caller has come back.
    pub fn has_returned(&mut self, route: &RouteId, left: Duration) -> bool {
        let longest = self.longest.entry(route.clone()).or_default();
        *longest = longest.mul_f64(1.0 - SHRINK).max(left);
        left < longest.mul_f64(FIRST_ATTEMPT_SHARE)
    }
}
