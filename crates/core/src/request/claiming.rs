//! The claim of a request that may not be repeated: asked for before the send, met, moved or in doubt.

use super::event::{Action, Event};
use super::machine::{HeldClaim, RequestMachine, State};
use super::specification::Placement;
use crate::ledger::row::{ClaimContent, ClaimRow, StoredClaim, claim_key};
use crate::outcome::{Failure, Outcome, Refusal, RefusalReason};
use crate::table::PlatformError;
use crate::time::MonotonicTime;
use std::time::Duration;

/// When to come back after the table could not be used.
const LEDGER_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestMachine {
    /// Asks for the claim that the send needs; a request without a key is sent at once.
    pub(super) fn ask_for_claim(&mut self, placement: Placement, now: MonotonicTime) -> Vec<Action> {
        let Some(key) = &self.specification.key else {
            return self.start(placement, now);
        };
        let held = self.claim.as_ref().map(|claim| claim.version);
        let expected = held.or(self.released);
        let action = Action::Claim {
            key: claim_key(&self.specification.tenant, key),
            row: Box::new(self.claim_row(&placement)),
            expected,
        };
        self.claim_checked = expected;
        self.state = State::Claiming {
            placement,
            asked: now,
        };
        vec![action]
    }

    pub(super) fn on_claiming(
        &mut self,
        event: Event,
        placement: Placement,
        asked: MonotonicTime,
        now: MonotonicTime,
    ) -> Vec<Action> {
        match event {
            Event::ClaimCommitted { version } => {
                let row = self.claim_row(&placement);
                self.key_was_free = true;
                self.claim = Some(HeldClaim {
                    version,
                    row,
                    own: true,
                });
                let window_end = asked + self.limits.dispatch_window;
                self.dispatch_not_after = window_end.min(self.specification.deadline);
                self.start(placement, now)
            }
            Event::ClaimExists(stored) if stored.is_released() => self.claim_over(&stored, placement, now),
            Event::ClaimExists(stored) => self.on_claim_exists(stored, now),
            Event::ClaimFailed(error) => {
                self.claim_in_doubt = !is_definite(&error);
                self.give_up_on_ledger(ledger_retry_after(&error))
            }
            _ => Vec::new(),
        }
    }

    /// Nothing ran under a released row and nothing will, so the key is claimed over it like a fresh one.
    fn claim_over(&mut self, stored: &StoredClaim, placement: Placement, now: MonotonicTime) -> Vec<Action> {
        self.claim = None;
        self.released = Some(stored.version);
        self.releases_met += 1;
        if self.releases_met > self.limits.placements {
            self.key_was_free = true;
            return self.give_up_on_ledger(LEDGER_RETRY_AFTER);
        }
        self.ask_for_claim(placement, now)
    }

    fn give_up_on_ledger(&mut self, retry_after: Duration) -> Vec<Action> {
        let refusal = Refusal {
            reason: RefusalReason::LedgerUnavailable,
            retry_after: Some(retry_after),
        };
        self.give_up_at_once(refusal, Failure::LedgerUnavailable)
    }

    pub(super) fn on_claim_exists(&mut self, stored: StoredClaim, now: MonotonicTime) -> Vec<Action> {
        let ClaimContent::Held(row) = stored.content else {
            return self.finish(Outcome::Unknown(Failure::ClaimUnsettled));
        };
        if row.body_digest != self.body_digest() {
            return self.finish(Outcome::NotRun(Refusal {
                reason: RefusalReason::KeyConflict,
                retry_after: None,
            }));
        }
        self.join(*row, stored.version, now)
    }

    pub(super) fn claim_row(&self, placement: &Placement) -> ClaimRow {
        let target = placement.answering();
        ClaimRow {
            tenant: self.specification.tenant.clone(),
            body_digest: self.body_digest(),
            request: self.specification.request.clone(),
            attempt: self.attempt(),
            engine: target.engine.clone(),
            incarnation: target.incarnation,
            claimed_unix_seconds: self.specification.admitted_unix_seconds,
            settlement: None,
        }
    }
}

/// Whether the table certainly did nothing.
pub(super) fn is_definite(error: &PlatformError) -> bool {
    matches!(
        error,
        PlatformError::Unavailable | PlatformError::Throttled { .. }
    )
}

fn ledger_retry_after(error: &PlatformError) -> Duration {
    match error {
        PlatformError::Throttled { retry_after_millis } => {
            Duration::from_millis(*retry_after_millis).max(LEDGER_RETRY_AFTER)
        }
        _ => LEDGER_RETRY_AFTER,
    }
}
