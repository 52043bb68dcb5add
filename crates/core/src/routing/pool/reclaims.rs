//! Detects zones that reclaim spot engines, so that the remaining spot engines of the zone are avoided.

use super::engine::EngineState;
use super::router::PoolRouter;
use crate::autoscaling::reclaim::LeavingEngines;
use crate::forwarding::PoolId;
use crate::identity::ZoneId;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a spot engine is avoided after its zone was seen reclaiming spot engines. The list shows that the
/// engine drains after its next heartbeat, up to 1.2 s later; requests sent before may be interrupted.
const RECLAIM_AVOIDANCE_DURATION: Duration = Duration::from_millis(3_000);

impl PoolRouter {
    /// Marks the spot engines of zones that are being reclaimed as avoided; call it after each change of the engine
    /// list. Returns whether an engine was marked for the first time.
    pub fn update_reclaimed_zones(&mut self, now: MonotonicTime) -> bool {
        let zones = self.spot_engines_by_zone();
        let mut is_new = false;
        for state in self.engines.values_mut().filter(|state| state.is_active_spot()) {
            let zone = (state.engine.pool.clone(), state.engine.zone.clone());
            if zones.get(&zone).is_some_and(|zone| zone.are_taken_back()) {
                is_new |= state.reclaim_seen_at.is_none();
                state.reclaim_seen_at = Some(now);
            }
        }
        is_new
    }

    fn spot_engines_by_zone(&self) -> BTreeMap<(PoolId, ZoneId), LeavingEngines> {
        let mut zones: BTreeMap<(PoolId, ZoneId), LeavingEngines> = BTreeMap::new();
        for state in self.engines.values().filter(|state| state.engine.spot) {
            let zone = (state.engine.pool.clone(), state.engine.zone.clone());
            let counts = zones.entry(zone).or_default();
            counts.leaving += u32::from(state.is_draining());
            counts.staying += u32::from(state.is_active());
        }
        zones
    }
}

impl EngineState {
    fn is_active_spot(&self) -> bool {
        self.engine.spot && self.is_active()
    }

    /// Whether the zone reclaims its spot engines, so that this one may have to drain although the list does not show
    /// it yet.
    pub(super) fn is_being_reclaimed(&self, now: MonotonicTime) -> bool {
        self.reclaim_seen_at
            .is_some_and(|at| now.since(at) < RECLAIM_AVOIDANCE_DURATION)
    }
}
