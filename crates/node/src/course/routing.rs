//! The request as the router and the machine see it.

use super::access::Access;
use crate::context::Context;
use crate::ports::Call;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::forwarding::{PoolId, RouteRule};
use shelfjunction_core::identity::{ModelId, TenantId};
use shelfjunction_core::request::specification::{
    CourseLimits, Placement, RequestForm, RequestSpecification, Target,
};
use shelfjunction_core::routing::pool::{PoolEngine, PoolRoute};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

/// Most placements tried for one request, refusals among them; a split request takes two.
const PLACEMENTS: u32 = 8;

/// The specification of an opaque request.
pub(super) fn specification(
    call: &Call,
    route: &RouteRule,
    access: &Access,
    pool: &PoolId,
    deadline: MonotonicTime,
) -> RequestSpecification {
    let is_model = call.prompt.is_some();
    RequestSpecification {
        form: RequestForm::Opaque(route.repeat),
        request: call.request.clone(),
        tenant: access.tenant.clone().unwrap_or_else(|| TenantId::new("")),
        model: ModelId::new(pool.0.clone()),
        adapter: None,
        kind: if is_model {
            ModelKind::Model
        } else {
            ModelKind::Application
        },
        class: ServiceClass::Interactive,
        prompt: String::new(),
        max_tokens: call.prompt.as_ref().map_or(0, |prompt| prompt.output_tokens),
        cache_salt: String::new(),
        key: None,
        deadline,
        admitted_unix_seconds: 0,
    }
}

/// Bounds of an opaque request's course. Engines keep nothing of it, so none is asked for an answer again.
pub(super) fn limits(route: &RouteRule) -> CourseLimits {
    CourseLimits {
        placements: PLACEMENTS,
        runs: route.maximum_runs.max(1),
        resumes: 0,
        questions: 0,
        ..CourseLimits::default()
    }
}

/// When the request's time is over.
pub(super) fn deadline(context: &Context, call: &Call, route: &RouteRule) -> MonotonicTime {
    let time = call
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    context.now() + time
}

/// What is left of a deadline.
pub(super) fn left(deadline: MonotonicTime, now: MonotonicTime) -> Duration {
    deadline.since(now)
}

/// The router's choice as the machine takes it; absent where there is none.
pub(super) fn placement(route: PoolRoute) -> Option<Placement> {
    match route {
        PoolRoute::Whole(engine) => Some(Placement::Whole(target(&engine))),
        PoolRoute::Split { prefill, decode } => Some(Placement::Split {
            prefill: target(&prefill),
            decode: target(&decode),
        }),
        PoolRoute::Nowhere => None,
    }
}

pub(super) fn target(engine: &PoolEngine) -> Target {
    Target {
        engine: engine.id.clone(),
        address: engine.address,
        incarnation: 0,
    }
}
