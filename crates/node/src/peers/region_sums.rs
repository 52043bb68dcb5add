//! Reports the demand on this node's region to the lease holder of another region, and takes such reports.

use crate::context::Context;
use crate::peers::Duty;
use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::roles::pool::outputs_of;
use shelfjunction_core::roles::region_sums::{
    PoolSum, REPORT_INTERVAL, RegionLoads, ReportVerdict, SumReport,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::topology_messages::TopologyDatagram;
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// When the last report was sent, and its number.
#[derive(Debug, Default)]
pub(super) struct SumSender {
    number: u64,
    sent_at: Option<MonotonicTime>,
}

impl SumSender {
    /// Sends a report if one is due; the time until the next.
    pub(super) fn send(&mut self, context: &Context) -> Duration {
        let topology = context.peers.topology();
        let now = context.now();
        let Some(region) = topology.own_region() else {
            return Duration::MAX;
        };
        if !matches!(context.peers.duty(now), Duty::Shared | Duty::Placer) {
            return Duration::MAX;
        }
        if let Some(since) = self.sent_at.map(|at| now.since(at))
            && since < REPORT_INTERVAL
        {
            return REPORT_INTERVAL - since;
        }
        self.sent_at = Some(now);
        let to = context.peers.told_of_demand(now);
        if !to.is_empty() {
            self.number += 1;
            let report = self.report(context, region, now);
            send(context, report, &to);
        }
        REPORT_INTERVAL
    }

    fn report(&self, context: &Context, region: &RegionId, now: MonotonicTime) -> SumReport {
        let pools = lock(&context.router).model_pools();
        let sums = pools.into_iter().map(|pool| {
            let loads = own_region_loads(context, region, &pool, now);
            PoolSum::of(pool, loads)
        });
        SumReport {
            sender: context.peers.own_handle(),
            start: context.start,
            number: self.number,
            measured_millis: now.since(MonotonicTime::default()).as_millis() as u64,
            region: region.clone(),
            pools: sums.collect(),
        }
    }
}

fn own_region_loads(context: &Context, region: &RegionId, pool: &PoolId, now: MonotonicTime) -> RegionLoads {
    let elsewhere = context.peers.nodes_elsewhere(region);
    let (engines, demand) = lock(&context.router).regional_planner_input(pool, region, &elsewhere, now);
    RegionLoads {
        demand,
        outputs: outputs_of(&engines),
    }
}

fn send(context: &Context, report: SumReport, to: &[SocketAddr]) {
    if let Some(bytes) = TopologyDatagram::Sums(Box::new(report)).encode() {
        to.iter().for_each(|peer| context.peers.send(&bytes, *peer));
    }
}

/// Takes another node's report. One that names another region for its sender than this node knows is about other engines than
/// this node plans for that region.
pub(super) fn take(context: &Context, report: SumReport, from: SocketAddr) {
    let known = context.peers.region_of(report.sender);
    if known.is_some_and(|known| known != report.region) {
        log::debug!(from:% = from, region = report.region.as_str(); "region_sum_of_other_region");
        return;
    }
    let number = report.number;
    let verdict = lock(&context.region_sums).on_report(report, context.now());
    if verdict != ReportVerdict::Taken {
        log::debug!(from:% = from, number, verdict:? = verdict; "region_sum_not_taken");
    }
}
