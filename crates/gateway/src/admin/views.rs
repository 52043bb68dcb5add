//! What operators may look at.

use super::access::Access;
use super::context::AdminContext;
use super::{errors, storage};
use shelfjunction_core::bundle::acceptance::{HISTORY_PREFIX, HistoryRow, PROPOSAL_PREFIX};
use shelfjunction_core::bundle::content::{OperatorAction, ZoneRule};
use shelfjunction_core::identity::{Generation, RequestId};
use shelfjunction_core::membership::record::Liveness;
use shelfjunction_core::tenancy;
use shelfjunction_protocol::operator::{
    AdminError, AdminErrorCode, BundleReply, EngineView, EnginesReply, HistoryReply, NodeView,
    ProposalsReply, RequestView, StatusReply, UsageReply, ZoneView,
};

/// The gateway's own standing and the nodes it knows.
pub fn status(context: &dyn AdminContext, access: &Access) -> Result<StatusReply, AdminError> {
    access.require(OperatorAction::View)?;
    let bundle = &access.bundle;
    let confirmed = context.confirmed_ago();
    let nodes = context.nodes();
    let engines = context.engines();
    let zones = bundle.zones.iter();
    Ok(StatusReply {
        node: context.node(),
        zone: context.zone(),
        generation: Some(bundle.generation()),
        label: Some(bundle.manifest.label.clone()),
        digest: Some(bundle.head.digest),
        confirmed_millis_ago: confirmed.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        isolated: context.is_isolated(),
        zones: zones.map(|rule| zone_view(rule, &nodes, &engines)).collect(),
        nodes,
    })
}

fn zone_view(rule: &ZoneRule, nodes: &[NodeView], engines: &[EngineView]) -> ZoneView {
    let nodes = nodes.iter().filter(|view| view.record.zone == rule.zone);
    let engines: Vec<&EngineView> = engines
        .iter()
        .filter(|view| view.record.zone == rule.zone && view.record.liveness == Liveness::Alive)
        .collect();
    ZoneView {
        zone: rule.zone.clone(),
        region: rule.region.clone(),
        nodes_alive: nodes
            .filter(|view| view.record.liveness == Liveness::Alive)
            .count(),
        engines_alive: engines.len(),
        engines_serving: engines.into_iter().filter(|view| takes_work(view)).count(),
    }
}

fn takes_work(view: &EngineView) -> bool {
    let status = view.record.status.as_ref();
    status.is_some_and(|status| !status.draining && !status.changing && !status.weights.is_empty())
}

/// The engines the gateway knows.
pub fn engines(context: &dyn AdminContext, access: &Access) -> Result<EnginesReply, AdminError> {
    access.require(OperatorAction::View)?;
    Ok(EnginesReply {
        engines: context.engines(),
    })
}

/// Use by the tenants in scope.
pub fn usage(context: &dyn AdminContext, access: &Access) -> Result<UsageReply, AdminError> {
    access.require(OperatorAction::View)?;
    let mut tenants = context.usage();
    tenants.retain(|usage| tenancy::sees(&access.operator, &usage.tenant));
    Ok(UsageReply {
        node: context.node(),
        tenants,
    })
}

/// Accepted bundles, newest first.
pub fn history(context: &dyn AdminContext, access: &Access) -> Result<HistoryReply, AdminError> {
    access.require(OperatorAction::View)?;
    let mut entries: Vec<HistoryRow> = storage::scan(context, HISTORY_PREFIX)?;
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.accepted.generation));
    Ok(HistoryReply { entries })
}

/// Proposals that wait.
pub fn proposals(context: &dyn AdminContext, access: &Access) -> Result<ProposalsReply, AdminError> {
    access.require(OperatorAction::View)?;
    Ok(ProposalsReply {
        proposals: storage::scan(context, PROPOSAL_PREFIX)?,
    })
}

/// A whole bundle: the one in force here, or that of an earlier generation.
///
/// It names every tenant, so it takes the action that would let the operator change them.
pub fn bundle(
    context: &dyn AdminContext,
    access: &Access,
    generation: Option<Generation>,
) -> Result<BundleReply, AdminError> {
    access.require(OperatorAction::Propose)?;
    let in_force = &access.bundle;
    match generation {
        Some(generation) if generation != in_force.generation() => {
            let earlier = storage::read_history(context, generation)?.ok_or_else(|| {
                errors::error(
                    AdminErrorCode::NotFound,
                    format!("generation {generation} is not in the history"),
                )
            })?;
            Ok(BundleReply {
                generation,
                manifest: earlier.manifest,
                bundle: storage::load_bundle(context, earlier.manifest)?,
            })
        }
        _ => Ok(BundleReply {
            generation: in_force.generation(),
            manifest: in_force.signed.statement.manifest,
            bundle: in_force.to_bundle(),
        }),
    }
}

/// One request of a tenant in scope; others look as if they did not exist.
pub fn request(
    context: &dyn AdminContext,
    access: &Access,
    request: &RequestId,
) -> Result<RequestView, AdminError> {
    access.require(OperatorAction::Requests)?;
    context
        .request(request)
        .filter(|view| tenancy::sees(&access.operator, &view.tenant))
        .ok_or_else(|| errors::error(AdminErrorCode::NotFound, "no such request is known here"))
}

/// Cancels one request of a tenant in scope.
pub fn cancel(
    context: &dyn AdminContext,
    access: &Access,
    identifier: &RequestId,
) -> Result<RequestView, AdminError> {
    let view = request(context, access, identifier)?;
    log::info!(
        operator = access.operator.operator.as_str(),
        request = identifier.as_str(),
        tenant = view.tenant.as_str(),
        generation = access.bundle.generation().0;
        "request_cancelled_by_operator"
    );
    Ok(context.cancel_request(identifier).unwrap_or(view))
}
