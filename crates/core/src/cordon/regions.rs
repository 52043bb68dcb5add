//! Cordons of whole regions.
//!
//! Builds that know no region targets find no engine under one. Beside the cordon of a region, the set therefore holds a zone cordon
//! for each pool and zone in which the region has engines. It has the same times, operator and force as the region's cordon, by
//! which it is recognized; it is lifted with that cordon and not shown to operators.
//!
//! If such a build lifts one of the zone cordons, the region's cordon still stands.

use super::least_left::EngineStanding;
use super::set::{Cordon, CordonSet};
use super::target::CordonTarget;
use crate::forwarding::PoolId;
use crate::identity::{RegionId, ZoneId};
use crate::metering::UnixTime;
use std::collections::BTreeSet;
use std::time::Duration;

/// Cordon of a region, as its nodes and the placers of other regions must respect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionCordon {
    /// Time until the last cordon of the region expires.
    pub remaining: Duration,
    /// Whether its engines get no requests even if no other region accepts them.
    pub forced: bool,
}

impl CordonSet {
    /// The cordon of a region; absent if the region is not cordoned.
    ///
    /// While one stands, a node of the region offers each request to other regions first. If none accepts it, the request stays at
    /// home, unless the cordon is forced. A placer of the region accepts no requests of other regions.
    pub fn region_cordon(&self, region: &RegionId, now: UnixTime) -> Option<RegionCordon> {
        let covering = self
            .in_force(now)
            .filter(|cordon| matches!(&cordon.target, CordonTarget::Region(cordoned) if cordoned == region));
        covering
            .map(|cordon| RegionCordon {
                remaining: cordon.until.since(now),
                forced: cordon.forced,
            })
            .reduce(|first, second| RegionCordon {
                remaining: first.remaining.max(second.remaining),
                forced: first.forced || second.forced,
            })
    }

    /// Whether a region is cordoned.
    pub fn is_region_cordoned(&self, region: &RegionId, now: UnixTime) -> bool {
        self.region_cordon(region, now).is_some()
    }

    /// Cordons in force that operators asked for, without the zone cordons kept beside those of regions.
    pub fn of_operators(&self, now: UnixTime) -> impl Iterator<Item = &Cordon> {
        self.in_force(now)
            .filter(|cordon| !is_for_region(cordon, &self.cordons))
    }
}

/// Whether a cordon is one of the zone cordons kept beside a region's cordon in `cordons`.
pub(super) fn is_for_region(cordon: &Cordon, cordons: &[Cordon]) -> bool {
    let is_zone = matches!(cordon.target, CordonTarget::PoolZone { .. });
    is_zone
        && cordons.iter().any(|other| {
            matches!(other.target, CordonTarget::Region(_))
                && (other.since, other.until, other.forced) == (cordon.since, cordon.until, cordon.forced)
                && other.by == cordon.by
        })
}

/// The zone cordons to keep beside a cordon of a region; none beside others.
pub(super) fn zone_cordons(cordon: &Cordon, engines: &[EngineStanding]) -> Vec<Cordon> {
    if !matches!(cordon.target, CordonTarget::Region(_)) {
        return Vec::new();
    }
    let covered = engines.iter().filter(|engine| engine.falls_under(&cordon.target));
    let places: BTreeSet<(&PoolId, &ZoneId)> = covered.map(|engine| (&engine.pool, &engine.zone)).collect();
    let targets = places.into_iter().map(|(pool, zone)| CordonTarget::PoolZone {
        pool: pool.clone(),
        zone: zone.clone(),
    });
    targets
        .map(|target| Cordon {
            target,
            ..cordon.clone()
        })
        .collect()
}
