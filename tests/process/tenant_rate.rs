//! Controllers that own the buckets of tenants' rates are killed.

use crate::harness::deployment::{Processes, SMALL_ZONES};
use shelfjunction_core::bundle::content::{TenantRateRule, TenantRateUnit};
use shelfjunction_lab::caller::CallResult;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::layout::ClusterLayout;

/// Far more than the calls of the test need.
const RATE: TenantRateRule = TenantRateRule {
    units_per_second: 1_000_000,
    burst: 1_000_000,
    unit: TenantRateUnit::Tokens,
};

/// Guards against refusals of a tenant far below its rate while the controllers that may own its bucket are killed, whichever of them
/// does.
#[test]
fn a_tenant_below_its_rate_is_served_when_all_controllers_but_one_are_killed() {
    let mut deployment = Deployment::pharmacy();
    deployment.bundle.tenants[0].rate = Some(RATE);
    let tenant = deployment.tenants()[0].to_string();
    let layout = ClusterLayout::new(deployment, SMALL_ZONES).unwrap();
    let mut running = Processes::start_listed(layout.clone(), &layout);
    running.wait_until_ready();
    let call = running.model_call("history of one patient", 4);
    let last = running.controllers.len() - 1;
    running.controllers[..last]
        .iter_mut()
        .for_each(|controller| controller.kill());
    for gateway in 0..running.gateways.len() {
        let answer = running.call(gateway, &tenant, &call).unwrap();
        assert_eq!(answer.read_to_end().1, CallResult::Completed, "gateway {gateway}");
    }
}
