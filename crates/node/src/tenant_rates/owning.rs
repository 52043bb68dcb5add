//! Answers as the owner of tenants' buckets.

use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::slot_owner::owner_and_successors;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_core::tenancy::rate_owner::Charge;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::tenant_rate_messages::{
    ChargeOutcome, ChargeRefund, ChargeRequest, ChargeResponse, TenantRateDatagram,
};
use shelfjunction_threads::lock;
use std::net::SocketAddr;

/// Nodes that may be asked for one tenant: the owner, and those that would take its bucket over.
pub(super) const MAX_ASKED: usize = 5;

/// Takes a datagram about tenants' rates.
pub(crate) fn receive(context: &Context, datagram: TenantRateDatagram, from: SocketAddr) {
    match datagram {
        TenantRateDatagram::Request(request) => answer(context, &request, from),
        TenantRateDatagram::Response(response) => context
            .tenant_rates
            .questions
            .on_answer(response.number, response.outcome),
        TenantRateDatagram::Refund(given_back) => refund(context, &given_back),
        TenantRateDatagram::ReserveRequest(request) => {
            let outcome = charge_as_deputy(context, &request);
            respond(context, &request, outcome, from);
        }
    }
}

/// The node that owns a tenant's bucket, as this one sees it, and those that would take it over.
pub(super) fn owner_and_deputies(
    context: &Context,
    tenant: SubjectHandle,
    now: MonotonicTime,
) -> Vec<SubjectHandle> {
    let nodes = owner_and_successors(tenant, &refresh_candidates(context, now), MAX_ASKED);
    if nodes.is_empty() {
        return vec![context.peers.own_handle()];
    }
    nodes
}

/// Looks at who may own buckets, so that this node knows for how long it may have owned one before its first request comes.
pub(crate) fn refresh_candidates(context: &Context, now: MonotonicTime) -> Vec<SubjectHandle> {
    let candidates = context.peers.slot_keepers(!context.state.is_stopping(), now);
    let own = context.peers.own_handle();
    lock(&context.tenant_rates.owner).note_candidates(own, &candidates, now);
    candidates
}

/// Charges a bucket that this node owns.
pub(super) fn charge(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let now = context.now();
    let share = context.peers.part_of_tenant_rates(now);
    if share <= 0.0 {
        // A process that has just started does not know the other nodes yet.
        return charge_reserve(context, request);
    }
    let rate = newest_rate(context, request);
    let charged = lock(&context.tenant_rates.owner).charge(
        request.tenant,
        &rate,
        request.cost,
        share,
        now,
        &mut rand::rng(),
    );
    match charged {
        Charge::Granted => ChargeOutcome::Granted,
        Charge::Denied(wait) => ChargeOutcome::Denied {
            retry_after_millis: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        },
    }
}

/// Gives a charge back to a bucket that this node owns.
pub(super) fn refund(context: &Context, refund: &ChargeRefund) {
    lock(&context.tenant_rates.owner).refund(refund.tenant, &refund.rate, refund.cost);
}

/// Only a node that takes itself for the owner charges: two that both do would grant the rate twice.
fn answer(context: &Context, request: &ChargeRequest, from: SocketAddr) {
    let owner = owner_and_deputies(context, request.tenant, context.now())[0];
    let outcome = if owner == context.peers.own_handle() {
        charge(context, request)
    } else {
        ChargeOutcome::NotOwner { owner }
    };
    respond(context, request, outcome, from);
}

/// Charges the bucket if this node owns it by now, or else the reserve if it would take the bucket over.
pub(super) fn charge_as_deputy(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let own = context.peers.own_handle();
    let nodes = owner_and_deputies(context, request.tenant, context.now());
    if nodes[0] == own {
        return charge(context, request);
    }
    if !nodes.contains(&own) {
        return ChargeOutcome::NotOwner { owner: nodes[0] };
    }
    charge_reserve(context, request)
}

fn charge_reserve(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let settings = &context.config.tenant_rates;
    let now = context.now();
    if lock(&context.tenant_rates.reserves).charge(request.tenant, request.cost, settings, now) {
        ChargeOutcome::Granted
    } else {
        ChargeOutcome::ReserveUsedUp
    }
}

fn respond(context: &Context, request: &ChargeRequest, outcome: ChargeOutcome, from: SocketAddr) {
    log::debug!(number = request.number, from:% = from, outcome:? = outcome; "tenant_rate_answered");
    let response = ChargeResponse {
        number: request.number,
        outcome,
    };
    if let Some(bytes) = TenantRateDatagram::Response(response).encode() {
        context.peers.send(&bytes, from);
    }
}

/// The tenant's rate of the newer configuration: this node's or the asker's.
fn newest_rate(context: &Context, request: &ChargeRequest) -> TenantRate {
    let own = context
        .forwarding()
        .filter(|config| config.version > request.config_version);
    own.and_then(|config| config.tenants.as_ref()?.rate_of(request.tenant))
        .unwrap_or(request.rate)
}
