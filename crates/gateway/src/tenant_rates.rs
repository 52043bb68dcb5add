//! Charges calls of tenants with a rate over all gateways, at the controller that owns the tenant's bucket
//! ([`shelfjunction_core::tenancy::rate_owner`]).

use crate::config::millis;
use crate::context::Context;
use crate::watch::peer;
use shelfjunction_core::bundle::content::TenantRule;
use shelfjunction_core::identity::Generation;
use shelfjunction_core::machine::MachineService;
use shelfjunction_core::membership::record::Liveness;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::outcome::{Refusal, RefusalReason};
use shelfjunction_core::tenancy::rate_succession::{MAX_ASKED, ask_order};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::frame::FrameError;
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse, TenantRateCharge};
use shelfjunction_protocol::tenant_rate_messages::ChargeOutcome;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// Longest wait for a controller to connect or answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which a controller is not asked again that gave no answer.
const PASSED_OVER_TIME: Duration = Duration::from_secs(2);

/// Time after which a caller comes back if no controller could say whether the tenant is over its rate.
const SILENT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Idle connections that are kept to one controller.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Connections to controllers, and those that gave no answer.
#[derive(Default)]
pub(crate) struct TenantRates {
    idle: Mutex<BTreeMap<SocketAddr, Vec<TcpStream>>>,
    passed_over: Mutex<BTreeMap<SocketAddr, MonotonicTime>>,
}

/// A call that was charged; given back when it is dropped unless it is admitted.
pub(crate) struct ChargedCall<'a> {
    context: &'a Context,
    charge: TenantRateCharge,
    controller: SocketAddr,
    is_admitted: bool,
}

impl ChargedCall<'_> {
    /// Notes that the call is admitted.
    pub(crate) fn note_admitted(&mut self) {
        self.is_admitted = true;
    }
}

impl Drop for ChargedCall<'_> {
    fn drop(&mut self) {
        if !self.is_admitted {
            let request = PeerRequest::RefundTenantRate(self.charge.clone());
            if let Err(error) = ask(self.context, self.controller, &request) {
                log::info!(tenant = self.charge.tenant.as_str(), error:% = error; "tenant_rate_not_refunded");
            }
        }
    }
}

/// Charges a call that has so many prompt tokens and may generate so many; absent if its tenant has no rate.
pub(crate) fn charge<'a>(
    context: &'a Context,
    rule: &TenantRule,
    generation: Generation,
    tokens: (u32, u32),
) -> Result<Option<ChargedCall<'a>>, Refusal> {
    let Some(rate) = rule.rate.and_then(|rate| rate.rate()) else {
        return Ok(None);
    };
    let charge = TenantRateCharge {
        tenant: rule.tenant.clone(),
        rate,
        generation,
        cost: rate.cost(Some(tokens)),
        as_deputy: false,
    };
    let asked = ask_owner(context, &charge);
    let outcome = asked.map(|(_, outcome)| outcome);
    context.metrics.tenant_rate_charged(outcome.as_ref());
    if let Some((controller, ChargeOutcome::Granted)) = asked {
        return Ok(Some(ChargedCall {
            context,
            charge,
            controller,
            is_admitted: false,
        }));
    }
    let (reason, retry_after) = match outcome {
        Some(ChargeOutcome::Denied { retry_after_millis }) => (
            RefusalReason::OverLimit,
            Duration::from_millis(u64::from(retry_after_millis)),
        ),
        _ => (RefusalReason::Isolated, SILENT_RETRY_AFTER),
    };
    log::info!(
        tenant = charge.tenant.as_str(),
        cost = charge.cost,
        units_per_second = rate.per_second(),
        reason:? = reason;
        "refused_tenant_rate"
    );
    Err(Refusal {
        reason,
        retry_after: Some(retry_after),
    })
}

/// Asks the owner, and its successors where it does not answer; who answered, and the answer.
fn ask_owner(context: &Context, charge: &TenantRateCharge) -> Option<(SocketAddr, ChargeOutcome)> {
    let tenant = SubjectHandle::of_text("tenant", charge.tenant.as_str());
    let controllers = controllers(context);
    let handles: Vec<SubjectHandle> = controllers.keys().copied().collect();
    let order = ask_order(tenant, &handles, |_| false);
    let first = order.first().map(|asked| asked.node);
    let mut next: Vec<SubjectHandle> = order.iter().rev().map(|asked| asked.node).collect();
    let mut asked = Vec::new();
    while let Some(node) = next.pop().filter(|_| asked.len() < MAX_ASKED) {
        let address = controllers.get(&node).copied();
        let Some(address) = address.filter(|address| !asked.contains(address)) else {
            continue;
        };
        if is_passed_over(context, address) {
            continue;
        }
        asked.push(address);
        let as_deputy = Some(node) != first;
        let request = PeerRequest::ChargeTenantRate(TenantRateCharge {
            as_deputy,
            ..charge.clone()
        });
        match ask(context, address, &request) {
            Ok(PeerResponse::TenantRate(ChargeOutcome::NotOwner { owner })) => next.push(owner),
            Ok(PeerResponse::TenantRate(outcome)) => return Some((address, outcome)),
            Ok(_) => pass_over(context, address),
            Err(error) => {
                log::info!(controller:% = address, as_deputy, error:% = error; "tenant_rate_owner_silent");
                // A refused connection costs no wait, and whoever listens there next is asked at once.
                if !is_refused(&error) {
                    pass_over(context, address);
                }
            }
        }
    }
    None
}

fn is_refused(error: &FrameError) -> bool {
    matches!(error, FrameError::Connection(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// The controllers that may own buckets, with their peer addresses.
fn controllers(context: &Context) -> BTreeMap<SubjectHandle, SocketAddr> {
    let fleet = lock(&context.fleet);
    let nodes = fleet.nodes().filter_map(|(node, known)| {
        let may_own = matches!(known.record.liveness, Liveness::Alive | Liveness::Suspect);
        match known.record.service {
            MachineService::Node { controller, .. } if may_own => {
                Some((SubjectHandle::of_text("node", node.as_str()), controller))
            }
            _ => None,
        }
    });
    nodes.collect()
}

fn is_passed_over(context: &Context, controller: SocketAddr) -> bool {
    let until = lock(&context.tenant_rates.passed_over).get(&controller).copied();
    until.is_some_and(|until| until > context.now())
}

fn pass_over(context: &Context, controller: SocketAddr) {
    let now = context.now();
    let mut passed_over = lock(&context.tenant_rates.passed_over);
    passed_over.retain(|_, until| *until > now);
    passed_over.insert(controller, now + PASSED_OVER_TIME);
}

/// Sends a request over an idle connection, or a new one where there is none or the controller has closed it.
fn ask(context: &Context, controller: SocketAddr, request: &PeerRequest) -> Result<PeerResponse, FrameError> {
    let idle = lock(&context.tenant_rates.idle)
        .get_mut(&controller)
        .and_then(Vec::pop);
    if let Some(mut stream) = idle
        && let Ok(Some(response)) = peer::ask(&mut stream, request)
    {
        keep(context, controller, stream);
        return Ok(response);
    }
    let longest = millis(context.config.timings.controller_timeout_millis).min(ANSWER_TIMEOUT);
    let mut stream = peer::connect(controller, longest)?;
    let response = peer::ask(&mut stream, request)?;
    let response = response.ok_or_else(|| FrameError::Connection(ErrorKind::UnexpectedEof.into()))?;
    keep(context, controller, stream);
    Ok(response)
}

fn keep(context: &Context, controller: SocketAddr, stream: TcpStream) {
    let mut idle = lock(&context.tenant_rates.idle);
    let streams = idle.entry(controller).or_default();
    if streams.len() < MAX_IDLE_CONNECTIONS {
        streams.push(stream);
    }
}
