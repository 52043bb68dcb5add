//! What this node knows of the regions of a deployment, for operators.

mod metrics;
mod unnamed;
mod view;

pub(crate) use metrics::RegionMetrics;
pub(crate) use unnamed::{UnnamedZones, ZoneUser};
pub(crate) use view::view;

use crate::context::Context;
use shelfjunction_core::identity::{EngineId, RegionId};
use shelfjunction_core::request::specification::Placement;
use shelfjunction_threads::lock;

/// Name of a region in log lines and metrics where it is not known.
const NO_REGION: &str = "none";

/// A region's name for a log line.
pub(crate) fn name(region: Option<&RegionId>) -> &str {
    region.map_or(NO_REGION, RegionId::as_str)
}

/// Region of an engine; absent if the engine or its region is not known, or the deployment is not regional.
pub(crate) fn of_engine(context: &Context, engine: &EngineId) -> Option<RegionId> {
    let router = lock(&context.router);
    let zone = &router.engine(engine)?.engine.zone;
    router.topology().region_of(zone).cloned()
}

/// Counts a placement of a request of this node by the region of the engine that runs its output.
pub(crate) fn count_placement(context: &Context, placement: &Placement) {
    if !context.peers.topology().is_regional() {
        return;
    }
    let (Placement::Whole(target) | Placement::Split { decode: target, .. }) = placement;
    let region = of_engine(context, &target.engine);
    context.metrics.regions.placed(name(region.as_ref()));
}
