//! Answers as the owner of tenants' buckets.

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
            if is_probed || !contacts.answer_later(request, from) {
                let outcome = charge_as_probed(context, &request);
                respond(context, &request, outcome, from);
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

/// Charges a bucket that this node owns.
pub(super) fn charge(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let now = context.now();
    let contacts = &context.tenant_rates.contacts;
    let share = contacts.read(|known| context.peers.part_of_tenant_rates(known, now));
    if share <= 0.0 {
        // A process that has just started does not know the other nodes yet.
        return charge_reserve(context, request, 1.0);
    }
    let rate = newest_rate(context, request);
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
    let role = candidates(context, context.now()).own_role(context, request.tenant);
    let outcome = match role {
        RateRole::Owner => charge(context, request),
        RateRole::Deputy { owner } | RateRole::Other { owner } => ChargeOutcome::NotOwner { owner },
    };
    respond(context, request, outcome, from);
}

/// Answers a question that waited for probes.
pub(super) fn answer_as_deputy(context: &Context, request: &ChargeRequest, from: SocketAddr) {
    let outcome = charge_as_deputy(context, request);
    respond(context, request, outcome, from);
}

/// Probes the other candidates, then charges the bucket if this node owns it by now, or else the reserve if it would take the bucket
/// over.
pub(super) fn charge_as_deputy(context: &Context, request: &ChargeRequest) -> ChargeOutcome {
    let now = context.now();
    if candidates(context, now).own_role(context, request.tenant) != RateRole::Owner {
        let others = other_candidates(context);
        context.tenant_rates.contacts.probe(context, &others);
    }
    charge_as_probed(context, request)
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
fn newest_rate(context: &Context, request: &ChargeRequest) -> TenantRate {
    let own = context
        .forwarding()
        .filter(|config| config.version > request.config_version);
    own.and_then(|config| config.tenants.as_ref()?.rate_of(request.tenant))
        .unwrap_or(request.rate)
}
