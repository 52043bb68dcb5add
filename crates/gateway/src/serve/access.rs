//! What every call of the callers' API passes first: a running gateway, a current bundle, a known caller.

use super::refusal::{CallerError, refusal_sentence};
use crate::context::Context;
use crate::watch::bundles::ServedBundle;
use shelfjunction_core::bundle::content::{OperatorAction, TenantRule};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::outcome::{Refusal, RefusalReason};
use shelfjunction_core::residency;
use shelfjunction_core::tenancy::{OperatorDirectory, may};
use shelfjunction_http::HttpRequest;
use shelfjunction_protocol::caller::IDEMPOTENCY_KEY;
use std::sync::Arc;
use std::time::Duration;

/// When to come back to a node that stops or is cut off: another one will do at once.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A caller who may call.
pub(super) struct Caller {
    pub(super) served: Arc<ServedBundle>,
    pub(super) tenant: TenantRule,
    /// Secret salt of the tenant.
    pub(super) salt: String,
    /// Zones that may serve the tenant.
    pub(super) zones: Vec<ZoneId>,
}

/// Lets a caller in, or says why not.
pub(super) fn authenticate(context: &Context, request: &HttpRequest) -> Result<Caller, CallerError> {
    match stopping(context) {
        Some(refusal) => Err(CallerError::refused(&refusal, refusal_sentence(refusal.reason))),
        None => identify(context, request),
    }
}

/// The refusal of everything new while the node stops.
pub(super) fn stopping(context: &Context) -> Option<Refusal> {
    context
        .stopping
        .is_set()
        .then(|| other_node(RefusalReason::Stopping))
}

/// Lets a caller in, or says why not, at a node that may be stopping. Without current rules nobody can be told apart,
/// so nothing is said of a key.
pub(super) fn identify(context: &Context, request: &HttpRequest) -> Result<Caller, CallerError> {
    let served = context.bundles.served();
    let isolated = context.bundles.is_isolated(context.now());
    let Some(served) = served.filter(|_| !isolated) else {
        let refusal = other_node(RefusalReason::Isolated);
        return Err(match request.header_count(IDEMPOTENCY_KEY) {
            0 => CallerError::refused(&refusal, refusal_sentence(refusal.reason)),
            _ => CallerError::unlooked(&refusal),
        });
    };
    let token = request.bearer_token().unwrap_or_default();
    let Some(tenant) = served.tenants.authenticate(token).cloned() else {
        context.metrics.bad_input("unauthenticated");
        let reason = RefusalReason::Unauthenticated;
        return Err(CallerError::not_run(reason, refusal_sentence(reason)));
    };
    let zones = residency::allowed_zones(&tenant, &served.bundle.zones);
    Ok(Caller {
        salt: context.secret.salt(&tenant.tenant),
        zones,
        tenant,
        served,
    })
}

/// Whether the bearer token is that of an operator who may look.
pub(super) fn is_viewing_operator(context: &Context, request: &HttpRequest) -> bool {
    let Some(served) = context.bundles.served() else {
        return false;
    };
    let operators = OperatorDirectory::new(&served.bundle);
    let operator = operators.authenticate(request.bearer_token().unwrap_or_default());
    operator.is_some_and(|rule| may(rule, OperatorAction::View))
}

fn other_node(reason: RefusalReason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(OTHER_NODE_RETRY_AFTER),
    }
}
