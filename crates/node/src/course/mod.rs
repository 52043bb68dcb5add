//! Serves one call: its route, its request machine, and the thread's waits between caller and engine.

mod access;
mod accounting;
mod admitting;
mod answering;
mod crash_evidence;
mod dispatching;
mod driver;
mod exchange;
mod placing;
mod reading;
mod routing;
mod suspicion;
mod waiting;

use crate::context::Context;
use crate::ports::{Call, CallerConnection, OwnAnswer};
use crate::quarantine::{self, Pass};
use access::Access;
use driver::{Driver, RoutedCall};
use shelfjunction_core::forwarding::{PoolId, RepeatRule, RouteRule};
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::quarantine::{Fingerprint, RequestContent};
use std::time::Duration;

/// When to come back to a node that knows no configuration yet.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// When to come back to another node than one that stops.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Serves a call to its end; true where the caller's connection may carry another.
pub(crate) fn run(context: &Context, caller: &mut dyn CallerConnection, call: &Call) -> bool {
    let keep = call.keep_alive && !context.state.is_stopping();
    let Some(config) = context.forwarding() else {
        log::info!(request = call.request.as_str(); "refused_unconfigured");
        let answer = OwnAnswer::NotRun {
            retry_after: UNCONFIGURED_RETRY_AFTER,
        };
        return caller.say(&call.request, answer, keep).is_ok() && keep;
    };
    let Some(route) = config.route(&call.host, call.path()) else {
        log::info!(
            request = call.request.as_str(),
            host = call.host.as_str(),
            path = call.path(),
            version = config.version;
            "refused_no_route"
        );
        return caller.say(&call.request, OwnAnswer::NoRoute, keep).is_ok() && keep;
    };
    let access = match Access::of(&config, route, call) {
        Ok(access) => access,
        Err(refusal) => {
            log::info!(
                request = call.request.as_str(),
                route:% = route.id,
                cause = refusal.name(),
                version = config.version;
                "refused_no_access"
            );
            context.metrics.access_refused(refusal.name());
            return caller.say(&call.request, OwnAnswer::NoAccess, keep).is_ok() && keep;
        }
    };
    let longest = call
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    if !context.takes_call(longest) {
        log::info!(request = call.request.as_str(), longest_millis = longest.as_millis() as u64; "refused_stopping");
        let answer = OwnAnswer::NotRun {
            retry_after: STOPPING_RETRY_AFTER,
        };
        return caller.say(&call.request, answer, false).is_ok() && keep;
    }
    let Some(pool) = context.next_pool(route) else {
        return caller.say(&call.request, OwnAnswer::NoRoute, keep).is_ok() && keep;
    };
    let fingerprint = fingerprint(call, &access);
    let deadline = routing::deadline(context, call, route);
    let trial = match quarantine::pass(context, &fingerprint, &pool, deadline) {
        Pass::Free => None,
        Pass::Trial(trial) => Some(trial),
        Pass::Withheld(withheld) => {
            let answer = suspicion::refuse(context, call, &fingerprint, route, &withheld);
            return caller.say(&call.request, answer, keep).is_ok() && keep;
        }
    };
    context.count_request(&pool);
    log::info!(
        request = call.request.as_str(),
        fingerprint:% = fingerprint,
        route:% = route.id,
        pool:% = pool,
        version = config.version,
        tenant = access.tenant_name(),
        priority = access.priority,
        urgency = access.urgency,
        prompt_tokens = call.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        output_tokens = call.prompt.as_ref().map_or(0, |prompt| prompt.output_tokens),
        output_estimate:? = call.prompt.as_ref().and_then(|prompt| prompt.output_estimate),
        left_millis:? = call.time_left.map(|left| left.as_millis() as u64);
        "request_routed"
    );
    let routed = RoutedCall {
        call,
        fingerprint,
        route,
        access,
        pool: &pool,
        deadline,
        trial,
    };
    Driver::new(context, caller, routed, keep).run()
}

/// What makes the call the same request as another.
fn fingerprint(call: &Call, access: &Access) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        tenant: access.tenant.as_ref().map(TenantId::as_str),
        host: &call.host,
        method: &call.method,
        target: &call.target,
        body: &call.body,
    })
}

/// Whether a route's requests name prompts for the pool's engines.
pub(crate) fn runs_model(context: &Context, pool: &PoolId, call: &Call) -> bool {
    let has_model = context
        .forwarding()
        .and_then(|config| config.pool(pool).map(|pool| pool.model.is_some()));
    has_model.unwrap_or(false) && call.prompt.is_some()
}

/// A resume by the caller itself makes sense only on routes that allow it.
pub(crate) fn caller_position(route: &RouteRule, call: &Call) -> Option<u64> {
    call.last_event.filter(|_| route.repeat == RepeatRule::Resumable)
}
