//! Spot engines that are about to be taken away with the others of their zone.

use super::engine::EngineState;
use super::router::PoolRouter;
use crate::autoscaling::reclaim::LeavingEngines;
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which an engine is left alone whose zone takes its spot engines back, until the list shows that it leaves too:
/// engines say so with their next heartbeat, up to 1.2 s later. What is sent to it meanwhile may be cut off.
const SHOWS_WITHIN: Duration = Duration::from_millis(3_000);

impl PoolRouter {
    /// Leaves the spot engines of zones alone that take theirs back; to be told after each change of the list. True where
    /// a zone has just begun to.
    pub fn update_reclaimed_zones(&mut self, now: MonotonicTime) -> bool {
        let zones = self.zones_taken_back();
        let mut has_begun = false;
        for state in self.engines.values_mut().filter(|state| state.stays_as_spot()) {
            let zone = (state.engine.pool.clone(), state.engine.zone.clone());
            if zones.get(&zone).is_some_and(|zone| zone.are_taken_back()) {
                has_begun |= state.reclaim_seen_at.is_none();
                state.reclaim_seen_at = Some(now);
            }
        }
        has_begun
    }

    fn zones_taken_back(&self) -> BTreeMap<(PoolId, ZoneId), LeavingEngines> {
        let mut zones: BTreeMap<(PoolId, ZoneId), LeavingEngines> = BTreeMap::new();
        for state in self.engines.values().filter(|state| state.engine.spot) {
            let zone = (state.engine.pool.clone(), state.engine.zone.clone());
            let counts = zones.entry(zone).or_default();
            counts.leaving += u32::from(state.is_about_to_leave());
            counts.staying += u32::from(state.stays());
        }
        zones
    }
}

impl EngineState {
    fn stays_as_spot(&self) -> bool {
        self.engine.spot && self.stays()
    }

    /// Whether its zone takes spot engines back, and its own leaving may only not be listed yet.
    pub(super) fn is_being_reclaimed(&self, now: MonotonicTime) -> bool {
        self.reclaim_seen_at
            .is_some_and(|at| now.since(at) < SHOWS_WITHIN)
    }
}
