//! Cordons of operators at this node: kept in the store, told to other nodes, in force in the router.

mod changing;
mod reading;
mod view;

pub(crate) use changing::{ChangeError, change};
pub(crate) use reading::Reader;
pub(crate) use view::{engines_view, view};

use crate::context::Context;
use crate::metering;
use shelfjunction_core::cordon::{Cordon, CordonSet, RegionCordon};
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::metering::UnixTime;
use shelfjunction_core::routing::pool::ActiveCordon;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;

/// Takes a set from the store or a peer, which `source` names; whether it was newer than what this node had.
pub(crate) fn take(context: &Context, set: CordonSet, source: &str) -> bool {
    // Held until the router has them: of two sets that come at once the newer one must reach it last.
    let mut known = lock(&context.cordons);
    if !known.take(set) {
        return false;
    }
    let kept = known.clone();
    let (now, unix) = (context.now(), metering::unix(context));
    let cordons: Vec<ActiveCordon> = kept
        .in_force(unix)
        .map(|cordon| on_own_clock(cordon, now, unix))
        .collect();
    let of_operators = kept.of_operators(unix).count();
    log::info!(version = kept.version, cordons = of_operators, source; "cordons_taken");
    for cordon in kept.of_operators(unix) {
        log::info!(
            version = kept.version,
            target:% = cordon.target,
            by = cordon.by.as_str(),
            forced = cordon.forced,
            seconds_left = cordon.until.since(unix).as_secs();
            "cordon_stands"
        );
    }
    lock(&context.router).on_cordons(cordons);
    drop(known);
    context.peers.note_confirmed();
    true
}

/// The version that this node has.
pub(crate) fn version(context: &Context) -> u64 {
    lock(&context.cordons).version
}

/// The cordon of a region; absent if the region is not cordoned.
pub(crate) fn region_cordon(context: &Context, region: &RegionId) -> Option<RegionCordon> {
    lock(&context.cordons).region_cordon(region, metering::unix(context))
}

fn on_own_clock(cordon: &Cordon, now: MonotonicTime, unix: UnixTime) -> ActiveCordon {
    ActiveCordon {
        target: cordon.target.clone(),
        until: now + cordon.until.since(unix),
        forced: cordon.forced,
    }
}
