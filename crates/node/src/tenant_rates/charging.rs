//! Charges a request at the node that owns its tenant's bucket.

use super::owning;
use crate::context::Context;
use crate::ports::Call;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::tenancy::rate::TenantRate;
use shelfjunction_protocol::tenant_rate_messages::{
    ChargeOutcome, ChargeRefund, ChargeRequest, ChargeResponse, TenantRateDatagram,
};
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Questions that are asked for one request: datagrams get lost, and a node may name another as the owner.
const MAX_QUESTIONS: usize = 3;

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

/// Questions under way.
#[derive(Default)]
pub(crate) struct ChargeQuestions {
    waiting: Mutex<BTreeMap<u64, Option<ChargeOutcome>>>,
    answered: Condvar,
}

impl ChargeQuestions {
    /// Takes an answer; one that nobody waits for any more is dropped.
    pub(super) fn on_answer(&self, answer: ChargeResponse) {
        if let Some(outcome) = lock(&self.waiting).get_mut(&answer.number) {
            *outcome = Some(answer.outcome);
            self.answered.notify_all();
        }
    }

    /// Asks an owner and waits for its answer.
    fn ask(&self, context: &Context, question: ChargeRequest, owner: SocketAddr) -> Option<ChargeOutcome> {
        let bytes = TenantRateDatagram::Request(question).encode()?;
        lock(&self.waiting).insert(question.number, None);
        context.peers.send(&bytes, owner);
        let timeout = context.config.placing.answer_wait();
        let waits = |waiting: &mut BTreeMap<u64, Option<ChargeOutcome>>| {
            waiting.get(&question.number).is_some_and(Option::is_none)
        };
        let waited = self
            .answered
            .wait_timeout_while(lock(&self.waiting), timeout, waits);
        let (mut waiting, _) = waited.unwrap_or_else(PoisonError::into_inner);
        waiting.remove(&question.number).flatten()
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
        Some(ChargeOutcome::NotOwner { .. }) | None => ChargeRefusal::OwnerSilent {
            retry_after: SILENT_OWNER_RETRY_AFTER,
        },
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

/// Asks the owner, and the one that it names where it isn't; who was asked last, and the answer.
fn ask_owner(context: &Context, request: ChargeRequest) -> (SubjectHandle, Option<ChargeOutcome>) {
    let own = context.peers.own_handle();
    let mut owner = owning::owner(context, request.tenant, context.now());
    for _ in 0..MAX_QUESTIONS {
        if owner == own {
            return (own, Some(owning::charge(context, &request)));
        }
        let Some(address) = context.peers.address_of(owner) else {
            break;
        };
        let question = ChargeRequest {
            number: rand::random(),
            ..request
        };
        match context.tenant_rates.questions.ask(context, question, address) {
            Some(ChargeOutcome::NotOwner { owner: other }) => owner = other,
            Some(outcome) => return (owner, Some(outcome)),
            None => {
                log::info!(owner:% = address; "tenant_rate_owner_silent");
                owner = owning::owner(context, request.tenant, context.now());
            }
        }
    }
    (owner, None)
}
