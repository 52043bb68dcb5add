//! Which pool of a split route takes the next request: smooth weighted round robin.

use super::config::PoolId;
use super::route::{PoolShare, RouteId, RouteRule};
use std::collections::BTreeMap;

/// Credits of each split route's pools at one node.
#[derive(Clone, Debug, Default)]
pub struct ShareRotation {
    credits: BTreeMap<RouteId, BTreeMap<PoolId, i64>>,
}

impl ShareRotation {
    /// The pool for the next request of a route; absent where no share has a weight.
    pub fn next(&mut self, route: &RouteRule) -> Option<PoolId> {
        if let [only] = route.shares.as_slice() {
            return Some(only.pool.clone());
        }
        let credits = self.credits.entry(route.id.clone()).or_default();
        let total: i64 = route.shares.iter().map(|share| i64::from(share.weight)).sum();
        for PoolShare { pool, weight } in &route.shares {
            *credits.entry(pool.clone()).or_default() += i64::from(*weight);
        }
        let weighted = route.shares.iter().filter(|share| share.weight > 0);
        let chosen = weighted
            .max_by_key(|share| credits.get(&share.pool))?
            .pool
            .clone();
        *credits.entry(chosen.clone()).or_default() -= total;
        Some(chosen)
    }

    /// Forgets routes that a new configuration no longer has.
    pub fn retain(&mut self, routes: &[RouteRule]) {
        self.credits
            .retain(|id, _| routes.iter().any(|route| route.id == *id));
    }
}
