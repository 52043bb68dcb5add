//! Charges a request at the node that owns its tenant's bucket.

use super::{lending, owning};
use crate::context::Context;
use crate::ports::Call;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::rate_limit::slot_owner::owner_of;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_core::tenancy::rate_succession::{Asked, MAX_ASKED, ask_order};
use shelfjunction_protocol::tenant_rate_messages::{
    ChargeOutcome, ChargeRefund, ChargeRequest, TenantRateDatagram,
};
use std::time::Duration;

/// Time after which a caller comes back whose tenant's owner does not answer: another node owns its bucket then.
const SILENT_OWNER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request is not charged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChargeRefusal {
    /// The tenant is over its rate.
    OverRate {
        /// When to come back.
        retry_after: Duration,
    },
    /// Nobody could say whether it is.
    OwnerSilent {
        /// When to come back.
        retry_after: Duration,
    },
}

/// What a request was charged to.
#[derive(Clone, Copy, Debug)]
enum GrantedBy {
    /// A bucket or reserve of this node or another.
    Node(SubjectHandle),
    /// The loan with this number.
    Loan(u64),
}

/// A request that was charged; given back when it is dropped unless it has reached an engine.
pub(crate) struct ChargedRequest<'a> {
    context: &'a Context,
    granted_by: GrantedBy,
    refund: ChargeRefund,
    has_reached_engine: bool,
}

impl ChargedRequest<'_> {
    /// Notes that the request is sent to an engine.
    pub(crate) fn note_sent(&mut self) {
        self.has_reached_engine = true;
    }
}

impl Drop for ChargedRequest<'_> {
    fn drop(&mut self) {
        if self.has_reached_engine {
            return;
        }
        let owner = match self.granted_by {
            GrantedBy::Loan(number) => return lending::refund(self.context, number, &self.refund),
            GrantedBy::Node(node) => node,
        };
        if owner == self.context.peers.own_handle() {
            return owning::refund(self.context, &self.refund);
        }
        let bytes = TenantRateDatagram::Refund(self.refund).encode();
        let address = self.context.peers.address_of(owner);
        if let (Some(bytes), Some(address)) = (bytes, address) {
            self.context.peers.send(&bytes, address);
        }
    }
}

/// Charges a tenant with a request.
pub(crate) fn charge<'a>(
    context: &'a Context,
    call: &Call,
    tenant: &TenantId,
    rate: TenantRate,
    config_version: u64,
) -> Result<ChargedRequest<'a>, ChargeRefusal> {
    let declared = call.prompt.as_ref();
    let cost = rate.cost(declared.map(|prompt| (prompt.tokens, prompt.output_tokens)));
    let handle = SubjectHandle::of_text("tenant", tenant.as_str());
    let request = ChargeRequest {
        number: 0,
        tenant: handle,
        rate,
        config_version,
        cost,
    };
    let granted = |granted_by| ChargedRequest {
        context,
        granted_by,
        refund: ChargeRefund {
            tenant: handle,
            rate,
            cost,
        },
        has_reached_engine: false,
    };
    if let Some(number) = lending::charge_loan(context, &request) {
        context.metrics.tenant_rates.charged_to_loan();
        return Ok(granted(GrantedBy::Loan(number)));
    }
    let (node, outcome) = ask_owner(context, request);
    context.metrics.tenant_rates.charged(outcome.as_ref());
    let refusal = match outcome {
        Some(ChargeOutcome::Granted) => return Ok(granted(GrantedBy::Node(node))),
        Some(ChargeOutcome::Denied { retry_after_millis }) => ChargeRefusal::OverRate {
            retry_after: Duration::from_millis(u64::from(retry_after_millis)),
        },
        Some(ChargeOutcome::NotOwner { .. } | ChargeOutcome::ReserveUsedUp) | None => {
            ChargeRefusal::OwnerSilent {
                retry_after: SILENT_OWNER_RETRY_AFTER,
            }
        }
    };
    log::info!(
        request = call.request.as_str(),
        tenant = tenant.as_str(),
        cost,
        units_per_second = rate.per_second(),
        config_version,
        refusal:? = refusal;
        "refused_tenant_rate"
    );
    Err(refusal)
}

/// Asks the owner, and deputies where it does not answer; who was asked last, and the answer.
fn ask_owner(context: &Context, request: ChargeRequest) -> (SubjectHandle, Option<ChargeOutcome>) {
    let mut asked: Vec<SubjectHandle> = Vec::new();
    let mut named_owner = None;
    while asked.len() < MAX_ASKED {
        let Some(next) = next_to_ask(context, request.tenant, named_owner.take(), &asked) else {
            break;
        };
        asked.push(next.node);
        match ask_one(context, request, next.node, next.as_deputy) {
            Some(ChargeOutcome::NotOwner { owner }) => named_owner = Some(owner),
            Some(outcome) => return (next.node, Some(outcome)),
            None => note_silent(context, next.node),
        }
    }
    (asked.last().copied().unwrap_or(context.peers.own_handle()), None)
}

/// The next node to ask: the one that another named as the owner, or the next in order; none twice.
fn next_to_ask(
    context: &Context,
    tenant: SubjectHandle,
    named_owner: Option<SubjectHandle>,
    asked: &[SubjectHandle],
) -> Option<Asked> {
    let now = context.now();
    let candidates = owning::candidates(context, now);
    if candidates.heard.is_empty() && asked.is_empty() {
        return Some(Asked {
            node: context.peers.own_handle(),
            as_deputy: false,
        });
    }
    let order = ask_order(tenant, &candidates.heard, |node| candidates.ended.contains(&node));
    let owner = owner_of(tenant, &candidates.heard);
    let named = named_owner.map(|node| Asked {
        node,
        as_deputy: Some(node) != owner,
    });
    let mut nodes = named.into_iter().chain(order);
    nodes.find(|next| {
        !asked.contains(&next.node)
            && !candidates.ended.contains(&next.node)
            && !context.placements.is_passed_over(next.node, now)
    })
}

/// Notes that a node gave no answer, and finds out which of the others have ended, so that none of them is waited for.
fn note_silent(context: &Context, node: SubjectHandle) {
    context.placements.pass_over(node, context.now());
    let own = context.peers.own_handle();
    let mut others = owning::candidates(context, context.now()).heard;
    others.retain(|other| *other != own);
    context.tenant_rates.contacts.probe(context, &others);
}

fn ask_one(
    context: &Context,
    request: ChargeRequest,
    node: SubjectHandle,
    as_deputy: bool,
) -> Option<ChargeOutcome> {
    if node == context.peers.own_handle() {
        return Some(owning::charge_own_request(context, &request));
    }
    let address = context.peers.address_of(node)?;
    let question = ChargeRequest {
        number: rand::random(),
        ..request
    };
    let datagram = if as_deputy {
        TenantRateDatagram::ReserveRequest(question)
    } else {
        lending::ask_for_loan(context, &request, node);
        TenantRateDatagram::Request(question)
    };
    let bytes = datagram.encode()?;
    let outcome = context
        .tenant_rates
        .questions
        .ask(context, question.number, &bytes, node, address);
    if outcome.is_none() {
        log::info!(node:% = address, as_deputy; "tenant_rate_owner_silent");
    }
    outcome
}
