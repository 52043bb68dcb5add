//! Demand on its way from gateways to the controller that plans.
//!
//! A gateway tells its own machine's controller. That one passes it on to the holder of the zone's lease, and the
//! holder tells one controller of each other zone the sum over its own zone.

use crate::backoff::spread;
use crate::bundle::some_of_each_zone;
use crate::config::millis;
use crate::context::Context;
use crate::fleet;
use crate::peer::client;
use shelfjunction_core::demand::DemandReport;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::peer::{DemandSource, ForwardedDemand, PeerRequest};
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

/// How often a zone's sum may be passed on within the zone that it reaches.
const HOPS: u8 = 2;

/// The last report of each source.
#[derive(Debug, Default)]
pub struct DemandBoard {
    reports: Mutex<BTreeMap<DemandSource, (MonotonicTime, DemandReport)>>,
}

impl DemandBoard {
    /// Takes in a report in place of the source's last one.
    pub fn note(&self, source: DemandSource, report: DemandReport, now: MonotonicTime) {
        lock(&self.reports).insert(source, (now, report));
    }

    /// Sum over the sources that `counts` accepts and that reported within `retention`.
    pub fn sum(
        &self,
        counts: impl Fn(&DemandSource) -> bool,
        retention: Duration,
        now: MonotonicTime,
    ) -> DemandReport {
        let mut reports = lock(&self.reports);
        reports.retain(|_, (noted, _)| now.since(*noted) <= retention);
        let mut sum = DemandReport::default();
        for (source, (_, report)) in reports.iter() {
            if counts(source) {
                sum.add(report);
            }
        }
        sum
    }
}

/// Demand on all gateways that are known of, for the planner.
pub fn total(context: &Context) -> DemandReport {
    let own = DemandSource::Zone(context.config.zone.clone());
    let retention = millis(context.config.timings.demand_retention_millis);
    context
        .demand
        .sum(|source| *source != own, retention, context.now())
}

/// Takes in what another controller passed on, and passes it on when another one plans for this zone.
pub fn take_forwarded(context: &Context, demand: ForwardedDemand) {
    if !context.command.holds_lease()
        && demand.hops_left > 0
        && let Some(holder) = holder_address(context)
    {
        let forwarded = ForwardedDemand {
            hops_left: demand.hops_left - 1,
            ..demand
        };
        tell(context, holder, forwarded);
        return;
    }
    context.demand.note(demand.source, demand.report, context.now());
}

/// Passes demand on until the controller stops.
pub fn run(context: &Context) {
    let interval = millis(context.config.timings.demand_millis);
    while !context.stop.wait(spread(interval)) {
        if context.command.holds_lease() {
            tell_other_zones(context);
        } else if let Some(holder) = holder_address(context) {
            tell_holder(context, holder);
        }
    }
}

fn tell_holder(context: &Context, holder: SocketAddr) {
    let source = DemandSource::Node(context.config.node.clone());
    let retention = millis(context.config.timings.demand_retention_millis);
    let report = context
        .demand
        .sum(|known| *known == source, retention, context.now());
    if !report.entries.is_empty() {
        let hops_left = 0;
        tell(
            context,
            holder,
            ForwardedDemand {
                source,
                report,
                hops_left,
            },
        );
    }
}

fn tell_other_zones(context: &Context) {
    let retention = millis(context.config.timings.demand_retention_millis);
    let is_node = |source: &DemandSource| matches!(source, DemandSource::Node(_));
    let report = context.demand.sum(is_node, retention, context.now());
    let own = &context.config.zone;
    for peer in some_of_each_zone(context, 1) {
        if peer.zone.as_ref().is_some_and(|zone| zone != own) {
            let source = DemandSource::Zone(own.clone());
            let report = report.clone();
            tell(
                context,
                peer.address,
                ForwardedDemand {
                    source,
                    report,
                    hops_left: HOPS,
                },
            );
        }
    }
}

fn tell(context: &Context, address: SocketAddr, demand: ForwardedDemand) {
    let timeout = millis(context.config.timings.peer_timeout_millis);
    if let Err(error) = client::ask(address, &PeerRequest::ForwardDemand(demand), timeout) {
        log::debug!(peer:% = address, error:% = error; "demand_not_passed_on");
    }
}

/// Where the holder of this zone's lease listens, as far as the lease row and the records tell.
fn holder_address(context: &Context) -> Option<SocketAddr> {
    let holder = context.command.status().holder?;
    if holder == context.config.node {
        return None;
    }
    let (_, record) = fleet::nodes(context)
        .into_iter()
        .find(|(node, _)| *node == holder)?;
    fleet::controller_address(record.service)
}
