//! Charges a request at the node that owns its tenant's bucket.

use super::owning::{self, MAX_ASKED};
use crate::context::Context;
use crate::ports::Call;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_protocol::tenant_rate_messages::{
    ChargeOutcome, ChargeRefund, ChargeRequest, TenantRateDatagram,
};
use std::collections::VecDeque;
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

/// A request that was charged; given back when it is dropped unless it has reached an engine.
pub(crate) struct ChargedRequest<'a> {
    context: &'a Context,
    owner: SubjectHandle,
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
        if self.owner == self.context.peers.own_handle() {
            return owning::refund(self.context, &self.refund);
        }
        let bytes = TenantRateDatagram::Refund(self.refund).encode();
        let address = self.context.peers.address_of(self.owner);
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
    let (owner, outcome) = ask_owner(context, request);
    context.metrics.tenant_rates.charged(outcome.as_ref());
    let refusal = match outcome {
        Some(ChargeOutcome::Granted) => {
            return Ok(ChargedRequest {
                context,
                owner,
                refund: ChargeRefund {
                    tenant: handle,
                    rate,
                    cost,
                },
                has_reached_engine: false,
            });
        }
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
    let now = context.now();
    let mut nodes: VecDeque<SubjectHandle> = owning::owner_and_deputies(context, request.tenant, now).into();
    let owner = nodes[0];
    let mut asked = owner;
    let mut questions = 0;
    while let Some(next) = nodes.pop_front().filter(|_| questions < MAX_ASKED) {
        if context.placements.is_passed_over(next, now) {
            continue;
        }
        questions += 1;
        asked = next;
        match ask_one(context, request, next, next != owner) {
            Some(ChargeOutcome::NotOwner { owner: other }) => nodes.push_front(other),
            Some(outcome) => return (next, Some(outcome)),
            None => context.placements.pass_over(next, context.now()),
        }
    }
    (asked, None)
}

fn ask_one(
    context: &Context,
    request: ChargeRequest,
    node: SubjectHandle,
    as_deputy: bool,
) -> Option<ChargeOutcome> {
    if node == context.peers.own_handle() {
        return Some(owning::charge_as_deputy(context, &request));
    }
    let address = context.peers.address_of(node)?;
    let question = ChargeRequest {
        number: rand::random(),
        ..request
    };
    let datagram = if as_deputy {
        TenantRateDatagram::ReserveRequest(question)
    } else {
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
