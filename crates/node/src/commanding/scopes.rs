//! What the lease holder knows of the engines and the demand of each region.

use crate::context::Context;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{NodeId, RegionId};
use shelfjunction_core::roles::pool::outputs_of;
use shelfjunction_core::roles::region_sums::RegionLoads;
use shelfjunction_core::roles::regional::{PlanScope, ScopeInput};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::{BTreeMap, BTreeSet};

/// The region of a scope for logs and metrics; `-` in a deployment that is not regional.
pub(super) fn region_label(scope: &PlanScope) -> &str {
    scope.region.as_ref().map_or("-", RegionId::as_str)
}

/// The planner's input for each pool, in a regional deployment for each region.
pub(super) fn scope_inputs(context: &Context, now: MonotonicTime) -> Vec<ScopeInput> {
    let pools = {
        let mut router = lock(&context.router);
        router.update_working_set(now);
        router.model_pools()
    };
    let expected = lock(&context.expected_loads).clone();
    let topology = context.peers.topology();
    if !topology.is_regional() {
        let inputs = pools
            .into_iter()
            .map(|pool| fleet_input(context, pool, &expected, now));
        return inputs.collect();
    }
    let regions = topology.regions().map(|region| {
        let elsewhere = context.peers.nodes_elsewhere(region);
        let is_own = topology.own_region() == Some(region);
        (region, is_own, elsewhere)
    });
    let mut inputs = Vec::new();
    for (region, is_own, elsewhere) in regions {
        for pool in &pools {
            let mut input = region_input(context, pool, region, &elsewhere, now);
            if !is_own {
                distant(context, &mut input, region, now);
            }
            input.expected = expected.get(pool).copied();
            inputs.push(input);
        }
    }
    inputs
}

fn fleet_input(
    context: &Context,
    pool: PoolId,
    expected: &BTreeMap<PoolId, f64>,
    now: MonotonicTime,
) -> ScopeInput {
    let (engines, demand) = lock(&context.router).role_planner_input(&pool, now);
    let outputs = outputs_of(&engines);
    ScopeInput {
        engines,
        changing: BTreeSet::new(),
        loads: Ok(RegionLoads { demand, outputs }),
        expected: expected.get(&pool).copied(),
        listing: 0,
        scope: PlanScope { region: None, pool },
    }
}

/// The input of a region as this node's router knows it.
fn region_input(
    context: &Context,
    pool: &PoolId,
    region: &RegionId,
    elsewhere: &BTreeSet<NodeId>,
    now: MonotonicTime,
) -> ScopeInput {
    let router = lock(&context.router);
    let (engines, demand) = router.regional_planner_input(pool, region, elsewhere, now);
    let outputs = outputs_of(&engines);
    ScopeInput {
        scope: PlanScope {
            region: Some(region.clone()),
            pool: pool.clone(),
        },
        engines,
        changing: router.engines_changing_stage(pool, now),
        loads: Ok(RegionLoads { demand, outputs }),
        expected: None,
        listing: router.listing_digest(pool, region),
    }
}

/// Replaces what this node does not know of another region by what its placers report.
fn distant(context: &Context, input: &mut ScopeInput, region: &RegionId, now: MonotonicTime) {
    let pool = &input.scope.pool;
    let reserve = lock(&context.router).reserve_planner_views(pool, region);
    input.engines.extend(reserve);
    let usual = context.peers.usual_reporters(region);
    input.loads = lock(&context.region_sums).loads(region, pool, usual, now);
}
