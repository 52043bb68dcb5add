//! The engines that are wanted, by zone and kind.
//!
//! ```text
//! load              = engines that the highest demand of late keeps busy
//! the first load    = engines that the operators began with x assumed_utilisation; it fades like any other
//! wanted spot       = what carries the load at utilisation_after_loss when one zone has lost its own, or at
//!                     utilisation_in_one_zone when all but one have, whichever is more; spread evenly over the zones
//!                     that have some to give; none where that costs more than load / on_demand_utilisation at full price
//! needed at least   = load / on_demand_utilisation
//! wanted on demand  = needed at least - spot engines that run, spread over the zones, the cheapest first; none where
//!                     that is less than TOLERATED of what is needed
//! ```
//!
//! So on-demand engines stand in while spot engines start or can't be had, and are let go once these run. Spot engines
//! are spread evenly because a zone loses all of its own at once, without time to start others: what is left carries the
//! load at a utilisation that is still bearable.

use super::config::AutoscalingPolicy;
use super::{PoolScaling, ZoneEngines};
use crate::identity::ZoneId;
use std::collections::BTreeSet;

/// Part by which a zone takes more spot engines than its even share while others have none to give. With more, the loss
/// of that zone would leave too few.
const MORE_THAN_EVEN: f64 = 1.2;

/// Part of the least that is needed which may be lacking before on-demand engines are started: a wave of demand is over
/// before they serve.
const TOLERATED: f64 = 0.1;

/// What the planner is told of a pool.
#[derive(Clone, Debug)]
pub struct ScalingInput<'a> {
    /// The configuration's bounds and prices.
    pub scaling: &'a PoolScaling,
    /// Engines that run and stay, by zone.
    pub running: &'a [ZoneEngines],
    /// Engines that the highest demand of late keeps busy.
    pub load: f64,
    /// Zones that have no spot engines to give just now.
    pub without_spot: &'a BTreeSet<ZoneId>,
    /// Whether nobody waits for answers: engines may go before those that take their place have come.
    pub idle: bool,
}

/// The engines that are wanted, by zone.
pub fn plan(input: &ScalingInput<'_>, policy: &AutoscalingPolicy) -> Vec<ZoneEngines> {
    let mut zones: Vec<ZoneEngines> = input
        .scaling
        .zone_prices
        .iter()
        .map(|zone| empty(&zone.zone))
        .collect();
    if zones.is_empty() {
        return zones;
    }
    let least = (input.load / policy.on_demand_utilisation).ceil() as u32;
    if let Some(price) = input.scaling.spot_price {
        let wanted = wanted_spot(input.load, zones.len(), policy);
        if f64::from(wanted) * price <= f64::from(least) {
            spread_spot(&mut zones, wanted, input);
        }
    }
    let spot: u32 = zones.iter().map(|zone| spot_to_count(zone, input)).sum();
    let lacking = least.saturating_sub(spot);
    let tolerated = (f64::from(least) * TOLERATED) as u32;
    let on_demand = if lacking > tolerated { lacking } else { 0 };
    add_on_demand(&mut zones, on_demand, input);
    zones
}

/// The load that would have had these engines started.
pub fn carried(on_demand: usize, spot: usize, zones: usize, policy: &AutoscalingPolicy) -> f64 {
    spot as f64 / spot_per_load(zones, policy) + on_demand as f64 * policy.on_demand_utilisation
}

fn wanted_spot(load: f64, zones: usize, policy: &AutoscalingPolicy) -> u32 {
    (load * spot_per_load(zones, policy)).ceil() as u32
}

/// Spot engines for each engine that the load keeps busy, so that they carry it even when zones have just lost their own.
/// Where there is one zone only, what is left when half of them are lost is reckoned with.
fn spot_per_load(zones: usize, policy: &AutoscalingPolicy) -> f64 {
    let zones = zones.max(1) as f64;
    let left_by_one = ((zones - 1.0) / zones).max(0.5);
    let one_lost = 1.0 / policy.utilisation_after_loss / left_by_one;
    let one_left = zones / policy.utilisation_in_one_zone;
    one_lost.max(one_left)
}

fn empty(zone: &ZoneId) -> ZoneEngines {
    ZoneEngines {
        zone: zone.clone(),
        on_demand: 0,
        spot: 0,
    }
}

/// Spreads spot engines evenly over the zones that have some to give; a zone that has none keeps those that run.
fn spread_spot(zones: &mut [ZoneEngines], wanted: u32, input: &ScalingInput<'_>) {
    for zone in zones
        .iter_mut()
        .filter(|zone| input.without_spot.contains(&zone.zone))
    {
        zone.spot = running(&zone.zone, input).map_or(0, |zone| zone.spot);
    }
    let even = f64::from(wanted) / zones.len() as f64;
    let most = ((even * MORE_THAN_EVEN).ceil() as u32).min(input.scaling.maximum);
    let mut missing = wanted.saturating_sub(zones.iter().map(|zone| zone.spot).sum());
    while missing > 0 {
        let open = zones
            .iter_mut()
            .filter(|zone| !input.without_spot.contains(&zone.zone) && zone.spot < most);
        let Some(zone) = open.min_by_key(|zone| zone.spot) else {
            return;
        };
        zone.spot += 1;
        missing -= 1;
    }
}

/// Spot engines of a zone that may be counted on: those that run, or all that are wanted while nobody waits.
fn spot_to_count(zone: &ZoneEngines, input: &ScalingInput<'_>) -> u32 {
    if input.idle {
        return zone.spot;
    }
    running(&zone.zone, input).map_or(0, |running| running.spot.min(zone.spot))
}

fn running<'a>(zone: &ZoneId, input: &ScalingInput<'a>) -> Option<&'a ZoneEngines> {
    input.running.iter().find(|running| running.zone == *zone)
}

/// Adds on-demand engines evenly over the zones, of equal ones in the cheapest, within the bounds of each zone beside the
/// spot engines that may be counted on.
fn add_on_demand(zones: &mut [ZoneEngines], count: u32, input: &ScalingInput<'_>) {
    let scaling = input.scaling;
    let price = |zone: &ZoneId| {
        let found = scaling.zone_prices.iter().find(|one| one.zone == *zone);
        found.map_or(f64::INFINITY, |one| one.price)
    };
    for zone in zones.iter_mut() {
        zone.on_demand = scaling.minimum.saturating_sub(zone.spot);
    }
    let placed: u32 = zones.iter().map(|zone| zone.on_demand).sum();
    for _ in placed..count {
        let has_room =
            |zone: &&mut ZoneEngines| zone.on_demand + spot_to_count(zone, input) < scaling.maximum;
        let open = zones.iter_mut().filter(has_room);
        let next = open.min_by(|left, right| {
            let by_count = left.on_demand.cmp(&right.on_demand);
            by_count.then(price(&left.zone).total_cmp(&price(&right.zone)))
        });
        match next {
            Some(zone) => zone.on_demand += 1,
            None => return,
        }
    }
}
