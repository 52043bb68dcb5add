//! Serves one call: its route, its request machine, and the thread's waits between caller and engine.

mod access;
mod accounting;
mod admitting;
mod answering;
mod crash_evidence;
mod delivering;
mod dispatching;
mod driver;
mod exchange;
mod gate;
mod kept_run;
mod pauses;
mod placing;
mod reading;
mod routing;
mod spilling;
mod stopping;
mod stream_end;
mod stream_origin;
mod suspicion;
mod taking_up;
mod waiting;

use crate::context::Context;
use crate::ports::{Call, CallerConnection, OwnAnswer};
use crate::quarantine::{self, Pass};
use crate::tenant_rates::{self, ChargeRefusal, ChargedRequest};
use access::Access;
use delivering::Undelivered;
use driver::{Driver, RoutedCall};
use shelfjunction_core::forwarding::{ForwardingConfig, PoolId, RepeatRule, RouteRule};
use shelfjunction_core::identity::{RequestId, TenantId};
use shelfjunction_core::quarantine::{Fingerprint, RequestContent, RequestSubjects};
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
        return say_whole(context, caller, call, answer, keep) && keep;
    };
    match route_call(context, &config, call) {
        Ok(routed) => Driver::new(context, caller, routed, keep).run(),
        Err(refusal) => {
            let keeps = keep && !refusal.closes;
            say_whole(context, caller, call, refusal.answer, keeps) && keep
        }
    }
}

/// Says something in the system's own words; true where the caller has taken all of it.
fn say_whole(
    context: &Context,
    caller: &mut dyn CallerConnection,
    call: &Call,
    answer: OwnAnswer,
    keep: bool,
) -> bool {
    let said = caller.say(&call.request, answer, keep);
    let taken = said.and_then(|()| Undelivered::new(context).finish(caller, &call.request));
    taken.is_ok()
}

/// Why a call is not served.
struct CallRefusal {
    answer: OwnAnswer,
    /// Whether its connection is closed, so that the caller's next call comes to another node.
    closes: bool,
}

impl From<OwnAnswer> for CallRefusal {
    fn from(answer: OwnAnswer) -> Self {
        Self {
            answer,
            closes: false,
        }
    }
}

/// Finds out where a call goes, for whom, and whether it may.
fn route_call<'a>(
    context: &'a Context,
    config: &'a ForwardingConfig,
    call: &'a Call,
) -> Result<RoutedCall<'a>, CallRefusal> {
    let Some(route) = config.route(&call.host, call.path()) else {
        log::info!(
            request = call.request.as_str(),
            host = call.host.as_str(),
            path = call.path(),
            version = config.version;
            "refused_no_route"
        );
        return Err(OwnAnswer::NoRoute.into());
    };
    let access = admitted(context, config, route, call)?;
    refuse_when_stopping(context, route, call)?;
    let subjects = RequestSubjects::of(fingerprint(call, &access), call.prompt.as_ref());
    let (pool, origin) = match taking_up::taken_up(context, route, call, &access, &subjects.request)? {
        Some(stream) => (stream.pool, Some(stream.origin)),
        None => (context.next_pool(route).ok_or(OwnAnswer::NoRoute)?, None),
    };
    let deadline = routing::deadline(context, call, route);
    let charged = charge_tenant(context, config.version, &access, call)?;
    let trial = match quarantine::pass(context, &subjects, &pool, deadline) {
        Pass::Free => None,
        Pass::Trial(trial) => Some(trial),
        Pass::Withheld(withheld) => {
            return Err(suspicion::refuse(context, call, &subjects.request, route, &withheld).into());
        }
    };
    context.count_request(&pool);
    let routed = RoutedCall {
        call,
        subjects,
        route,
        access,
        pool,
        deadline,
        origin,
        trial,
        charged,
    };
    log_routed(&routed, config.version);
    Ok(routed)
}

fn admitted(
    context: &Context,
    config: &ForwardingConfig,
    route: &RouteRule,
    call: &Call,
) -> Result<Access, CallRefusal> {
    Access::of(config, route, call).map_err(|refusal| {
        log::info!(
            request = call.request.as_str(),
            route:% = route.id,
            cause = refusal.name(),
            version = config.version;
            "refused_no_access"
        );
        context.metrics.access_refused(refusal.name());
        OwnAnswer::NoAccess.into()
    })
}

/// Charges the request to its tenant's rate, where there is one. What has no access or no route costs nothing; what is over the rate
/// takes no trial of a suspected request and no place at an engine. A request that is withheld afterwards is given back.
fn charge_tenant<'a>(
    context: &'a Context,
    config_version: u64,
    access: &Access,
    call: &Call,
) -> Result<Option<ChargedRequest<'a>>, OwnAnswer> {
    let (Some(tenant), Some(rate)) = (&access.tenant, access.rate) else {
        return Ok(None);
    };
    let charged = tenant_rates::charge(context, call, tenant, rate, config_version);
    charged.map(Some).map_err(|refusal| match refusal {
        ChargeRefusal::OverRate { retry_after } => OwnAnswer::OverRate { retry_after },
        ChargeRefusal::OwnerSilent { retry_after } => OwnAnswer::NotRun { retry_after },
    })
}

fn refuse_when_stopping(context: &Context, route: &RouteRule, call: &Call) -> Result<(), CallRefusal> {
    let longest = call
        .time_left
        .map_or(route.timeout, |left| left.min(route.timeout));
    if context.takes_call(longest) {
        return Ok(());
    }
    log::info!(request = call.request.as_str(), longest_millis = longest.as_millis() as u64; "refused_stopping");
    Err(CallRefusal {
        answer: OwnAnswer::NotRun {
            retry_after: STOPPING_RETRY_AFTER,
        },
        closes: true,
    })
}

fn log_routed(routed: &RoutedCall<'_>, version: u64) {
    let call = routed.call;
    let prompt = call.prompt.as_ref();
    log::info!(
        request = call.request.as_str(),
        fingerprint:% = routed.subjects.request,
        route:% = routed.route.id,
        pool:% = routed.pool,
        version,
        tenant = routed.access.tenant_name(),
        priority = routed.access.priority,
        urgency = routed.access.urgency,
        prompt_tokens = prompt.map_or(0, |prompt| prompt.tokens),
        output_tokens = prompt.map_or(0, |prompt| prompt.output_tokens),
        parts = suspicion::part_names(prompt).as_str(),
        output_estimate:? = prompt.and_then(|prompt| prompt.output_estimate),
        left_millis:? = call.time_left.map(|left| left.as_millis() as u64),
        after_event:? = call.last_event,
        resumes = call.resumes.as_ref().map_or("none", RequestId::as_str);
        "request_routed"
    );
}

/// What makes the call the same request as another.
fn fingerprint(call: &Call, access: &Access) -> Fingerprint {
    let body: Vec<&[u8]> = call.body.pieces().collect();
    Fingerprint::of(&RequestContent {
        tenant: access.tenant.as_ref().map(TenantId::as_str),
        host: &call.host,
        method: &call.method,
        target: &call.target,
        body: &body,
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
