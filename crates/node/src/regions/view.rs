//! The regions as this node tells them to operators.

use crate::context::Context;
use crate::cordons;
use crate::peers::NodesOfRegion;
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::Topology;
use shelfjunction_protocol::regions::{RegionView, RegionsView};
use shelfjunction_threads::lock;
use std::collections::BTreeMap;

/// The regions as this node knows them.
pub(crate) fn view(context: &Context) -> RegionsView {
    let now = context.now();
    let topology = context.peers.topology();
    let mut nodes = context.peers.nodes_by_region(now);
    let mut engines = engines_by_region(context, &topology, now);
    let regions = topology.regions().map(|region| {
        let nodes = nodes.remove(&Some(region.clone())).unwrap_or_default();
        let engines = engines.remove(region).unwrap_or_default();
        region_view(context, region, nodes, engines, now)
    });
    let regions = regions.collect();
    RegionsView {
        node: context.config.node.as_str().to_owned(),
        home: topology.own_region().map(|region| region.as_str().to_owned()),
        regions,
        nodes_without_region: nodes.values().map(|nodes| nodes.known).sum(),
        unnamed_zones: context.unnamed_zones.names(),
    }
}

fn region_view(
    context: &Context,
    region: &RegionId,
    nodes: NodesOfRegion,
    engines: BTreeMap<String, usize>,
    now: MonotonicTime,
) -> RegionView {
    let cordon = cordons::region_cordon(context, region);
    let round_trip = lock(&context.round_trips).mean(region);
    let measured_at = lock(&context.round_trips_measured_at).get(region).copied();
    let own = context.config.node.as_str();
    RegionView {
        region: region.as_str().to_owned(),
        nodes_known: nodes.known,
        nodes_heard: nodes.heard,
        is_placer: nodes.placers.iter().any(|placer| placer == own),
        placers: nodes.placers,
        engines,
        round_trip_millis: round_trip.map(|mean| mean.as_secs_f64() * 1_000.0),
        round_trip_age_seconds: measured_at.map(|at| now.since(at).as_secs_f64()),
        placements: context.metrics.regions.placements(region.as_str()),
        cordoned_seconds: cordon.map(|cordon| cordon.remaining.as_secs()),
        cordoned_by_force: cordon.is_some_and(|cordon| cordon.forced),
    }
}

/// Engines in use that take work, by region and stage.
fn engines_by_region(
    context: &Context,
    topology: &Topology,
    now: MonotonicTime,
) -> BTreeMap<RegionId, BTreeMap<String, usize>> {
    let mut engines = BTreeMap::<RegionId, BTreeMap<String, usize>>::new();
    let router = lock(&context.router);
    let available = router
        .engines()
        .filter(|state| state.avoidance_reason(now).is_none());
    for state in available {
        if let Some(region) = topology.region_of(&state.engine.zone) {
            let stages = engines.entry(region.clone()).or_default();
            *stages.entry(state.engine.stage.name().to_owned()).or_default() += 1;
        }
    }
    engines
}
