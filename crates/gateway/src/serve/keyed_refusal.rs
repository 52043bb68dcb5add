//! Refusals of calls whose course does not begin: "not run" is said of a key only after a look at its claim.

use super::refusal::{CallerError, refusal_sentence};
use crate::context::Context;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::ledger::batcher::{ClaimWrite, WriteAnswer};
use shelfjunction_core::ledger::row::{ClaimContent, StoredClaim, claim_key};
use shelfjunction_core::outcome::{Failure, Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::specification::RequestKey;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// Longest wait for the claim's row.
const LOOK_UP_WAIT: Duration = Duration::from_secs(2);

/// What a call is told that is refused for this cause.
pub(super) fn state(
    context: &Context,
    tenant: &TenantId,
    key: Option<&RequestKey>,
    refusal: &Refusal,
) -> CallerError {
    let Some(key) = key else {
        return CallerError::refused(refusal, refusal_sentence(refusal.reason));
    };
    let (sender, receiver) = sync_channel(1);
    let write = ClaimWrite::look_up(claim_key(tenant, key));
    context.claims.write(write, context.now(), move |answer| {
        // Nobody waits any more for an answer that comes too late.
        let _ = sender.send(answer);
    });
    let outcome = match receiver.recv_timeout(LOOK_UP_WAIT) {
        Ok(WriteAnswer::Absent) => Outcome::NotRun(refusal.clone()),
        Ok(WriteAnswer::Exists(stored)) if stored.is_released() => Outcome::NotRun(refusal.clone()),
        Ok(WriteAnswer::Exists(stored)) => of_claim(&stored, key),
        _ => Outcome::Unknown(Failure::LedgerUnavailable),
    };
    CallerError::of_outcome(&outcome, true).unwrap_or_else(|| CallerError::unlooked(refusal))
}

fn of_claim(stored: &StoredClaim, key: &RequestKey) -> Outcome {
    let is_other =
        matches!(&stored.content, ClaimContent::Held(claim) if claim.body_digest != key.body_digest);
    if is_other {
        return Outcome::NotRun(Refusal {
            reason: RefusalReason::KeyConflict,
            retry_after: None,
        });
    }
    Outcome::Unknown(Failure::ClaimUnsettled)
}
