//! Answers as the owner of tenants' buckets.

use super::contacting::{WaitingQuestion, WaitsFor};
use super::lending;
use crate::context::Context;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_core::tenancy::rate_owner::Charge;
use shelfjunction_core::tenancy::rate_succession::{RateRole, role_of};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::tenant_rate_messages::{
    ChargeOutcome, ChargeRefund, ChargeRequest, ChargeResponse, TenantRateDatagram,
};
use shelfjunction_threads::lock;
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an owner waits for recalled loans, as a part of the time that an asker waits for an answer.
const RECALL_WAIT_PART: f64 = 0.4;

/// The nodes that may own buckets, as this node sees them.
pub(super) struct Candidates {
    /// All of them.
    pub(super) heard: Vec<SubjectHandle>,
    /// Those of them that have ended.
    pub(super) ended: Vec<SubjectHandle>,
}

impl Candidates {
    /// Those that have not ended.
    pub(super) fn present(&self) -> Vec<SubjectHandle> {
        let is_present = |node: &&SubjectHandle| !self.ended.contains(node);
        self.heard.iter().filter(is_present).copied().collect()
    }

    /// What this node is for a tenant.
    fn own_role(&self, context: &Context, tenant: SubjectHandle) -> RateRole {
        role_of(context.peers.own_handle(), tenant, &self.present())
    }
}

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
            let contacts = &context.tenant_rates.contacts;
            let others = other_candidates(context);
            let is_probed = contacts.read(|known| known.due(&others, context.now()).is_empty());
            let question = WaitingQuestion {
                request,
                from,
                waits_for: WaitsFor::Probes,
                at: MonotonicTime::default(),
            };
            if is_probed || !contacts.answer_later(question) {
                let outcome = charge_as_probed(context, &request);
                respond_or_wait(context, &request, outcome, from);
            }
        }
    }
}

/// Looks at who may own buckets, so that this node knows for how long it may have owned one before its first request comes.
pub(crate) fn refresh_candidates(context: &Context, now: MonotonicTime) {
    candidates(context, now);
}

/// The nodes that may own buckets, as this node sees them now.
pub(super) fn candidates(context: &Context, now: MonotonicTime) -> Candidates {
    let keepers = context
        .peers
        .slot_keepers_heard(!context.state.is_stopping(), now);
    let contacts = &context.tenant_rates.contacts;
    let ended = contacts.read(|known| {
        let ended = keepers
            .iter()
            .filter(|(node, heard_at)| known.has_ended(*node, *heard_at));
        ended.map(|(node, _)| *node).collect()
    });
    let candidates = Candidates {
        heard: keepers.into_iter().map(|(node, _)| node).collect(),
        ended,
    };
    let own = context.peers.own_handle();
    lock(&context.tenant_rates.owner).note_candidates(own, &candidates.present(), &candidates.ended, now);
    candidates
}

/// The other nodes that may own buckets.
fn other_candidates(context: &Context) -> Vec<SubjectHandle> {
    let own = context.peers.own_handle();
    let mut others = candidates(context, context.now()).heard;
    others.retain(|node| *node != own);
    others
}

/// Whether this node owns a tenant's bucket.
pub(super) fn owns(context: &Context, tenant: SubjectHandle, now: MonotonicTime) -> bool {
    candidates(context, now).own_role(context, tenant) == RateRole::Owner
}

/// Charges a bucket that this node owns.
fn charge(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let now = context.now();
    let contacts = &context.tenant_rates.contacts;
    let share = contacts.read(|known| context.peers.part_of_tenant_rates(known, now));
    if share <= 0.0 {
        // A process that has just started does not know the other nodes yet.
        return charge_reserve(context, request, 1.0);
    }
    let rate = newest_rate(context, request.tenant, request.rate, request.config_version);
    let (charged, is_settling) = {
        let mut owner = lock(&context.tenant_rates.owner);
        let random = &mut rand::rng();
        let charged = owner.charge(request.tenant, &rate, request.cost, share, now, random);
        (charged, owner.is_settling(request.tenant, now))
    };
    match charged {
        Charge::Granted => ChargeOutcome::Granted,
        Charge::Denied(_)
            if is_settling && charge_reserve(context, request, share) == ChargeOutcome::Granted =>
        {
            ChargeOutcome::Granted
        }
        Charge::Denied(wait) => ChargeOutcome::Denied {
            // Rounded up: a caller that comes back at once is refused again.
            retry_after_millis: u32::try_from(wait.as_millis() + 1).unwrap_or(u32::MAX),
        },
    }
}

/// Gives a charge back to a bucket that this node owns.
pub(super) fn refund(context: &Context, refund: &ChargeRefund) {
    lock(&context.tenant_rates.owner).refund(refund.tenant, &refund.rate, refund.cost);
}

fn answer(context: &Context, request: &ChargeRequest, from: SocketAddr) {
    let outcome = charge_as_owner(context, request);
    respond_or_wait(context, request, outcome, from);
}

/// Only a node that takes itself for the owner charges: two that both do would grant the rate twice.
fn charge_as_owner(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    match candidates(context, context.now()).own_role(context, request.tenant) {
        RateRole::Owner => charge(context, request),
        RateRole::Deputy { owner } | RateRole::Other { owner } => ChargeOutcome::NotOwner { owner },
    }
}

/// Responds, unless the bucket may hold the request once loans that are recalled have been given back.
fn respond_or_wait(context: &Context, request: &ChargeRequest, outcome: ChargeOutcome, from: SocketAddr) {
    let now = context.now();
    let is_denied = matches!(outcome, ChargeOutcome::Denied { .. });
    if is_denied && lending::recall(context, request.tenant, now) {
        let question = WaitingQuestion {
            request: *request,
            from,
            waits_for: WaitsFor::Loans,
            at: now + recall_wait(context),
        };
        if context.tenant_rates.contacts.answer_later(question) {
            return;
        }
    }
    respond(context, request, outcome, from);
}

/// Time within which recalled loans are given back; an asker still waits for its answer then.
fn recall_wait(context: &Context) -> Duration {
    context.config.placing.answer_wait().mul_f64(RECALL_WAIT_PART)
}

/// Answers a question that had to wait.
pub(super) fn answer_waiting(context: &Context, question: &WaitingQuestion) {
    let WaitingQuestion { request, from, .. } = question;
    match question.waits_for {
        WaitsFor::Probes => {
            probe_others(context, request.tenant);
            let outcome = charge_as_probed(context, request);
            respond_or_wait(context, request, outcome, *from);
        }
        WaitsFor::Loans => respond(context, request, charge_as_owner(context, request), *from),
    }
}

/// Charges a request of this node, as a remote one would be: the bucket if this node owns it by now, or else the reserve if it would
/// take the bucket over.
pub(super) fn charge_own_request(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    probe_others(context, request.tenant);
    let outcome = charge_as_probed(context, request);
    let is_denied = matches!(outcome, ChargeOutcome::Denied { .. });
    if is_denied && lending::recall(context, request.tenant, context.now()) {
        context.stop.wait(recall_wait(context));
        return charge_as_probed(context, request);
    }
    outcome
}

/// Probes the other candidates unless this node owns the bucket.
fn probe_others(context: &Context, tenant: SubjectHandle) {
    if !owns(context, tenant, context.now()) {
        let others = other_candidates(context);
        context.tenant_rates.contacts.probe(context, &others);
    }
}

fn charge_as_probed(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let now = context.now();
    let candidates = candidates(context, now);
    match candidates.own_role(context, request.tenant) {
        RateRole::Owner => charge(context, request),
        RateRole::Other { owner } => ChargeOutcome::NotOwner { owner },
        RateRole::Deputy { owner } => {
            let own = context.peers.own_handle();
            let mut others = candidates.present();
            others.retain(|node| *node != own);
            let contacts = &context.tenant_rates.contacts;
            let part = contacts.read(|known| known.reserve_part(owner, &others, now));
            charge_reserve(context, request, part)
        }
    }
}

fn charge_reserve(context: &Context, request: &ChargeRequest, part: f64) -> ChargeOutcome {
    let settings = &context.config.tenant_rates;
    let now = context.now();
    let mut reserves = lock(&context.tenant_rates.reserves);
    if reserves.charge(request.tenant, request.cost, part, settings, now) {
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
pub(super) fn newest_rate(
    context: &Context,
    tenant: SubjectHandle,
    rate: TenantRate,
    config_version: u64,
) -> TenantRate {
    let own = context
        .forwarding()
        .filter(|config| config.version > config_version);
    own.and_then(|config| config.tenants.as_ref()?.rate_of(tenant))
        .unwrap_or(rate)
}
