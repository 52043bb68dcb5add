//! How a request ends: what may truthfully be said, and what happens to its claim.

use super::event::Action;
use super::machine::{RequestMachine, State};
use crate::ledger::row::{ClaimRow, Settlement, claim_key};
use crate::outcome::{Failure, Outcome, Refusal, RefusalReason};

/// What is known about whether engines ran the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    handed_over: bool,
    ran: bool,
}

impl Evidence {
    /// An engine was handed the request and did not refuse it.
    pub(super) fn handed_over(&mut self) {
        self.handed_over = true;
    }

    /// An engine showed that it runs the request.
    pub(super) fn ran(&mut self) {
        self.handed_over = true;
        self.ran = true;
    }

    pub(super) fn was_handed_over(self) -> bool {
        self.handed_over
    }

    pub(super) fn has_run(self) -> bool {
        self.ran
    }
}

impl RequestMachine {
    /// Ends the course with the strongest statement that the evidence allows.
    pub(super) fn give_up(&mut self, refusal: Refusal, failure: Failure) -> Vec<Action> {
        // A request that is never sent again may still run to its end where it was seen running.
        if self.evidence.has_run() && self.may_run_again() {
            return self.finish(Outcome::Failed(failure));
        }
        if self.evidence.was_handed_over() {
            return self.finish(Outcome::Unknown(failure));
        }
        let mut actions = self.release();
        actions.extend(self.finish(Outcome::NotRun(refusal)));
        actions
    }

    pub(super) fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.state = State::Over;
        vec![Action::Finish(outcome)]
    }

    /// Frees the key after a course in which nothing ran and nothing will be sent any more.
    fn release(&mut self) -> Vec<Action> {
        let Some(key) = &self.specification.key else {
            return Vec::new();
        };
        let claim = self.claim.take();
        let own = claim.as_ref().is_some_and(|claim| claim.own);
        if !own && !self.claim_in_doubt {
            return Vec::new();
        }
        let known = claim.filter(|_| !self.claim_in_doubt);
        vec![Action::Release {
            key: claim_key(&self.specification.tenant, key),
            request: self.specification.request.clone(),
            expected: known.map(|claim| claim.version),
        }]
    }

    /// Records how a claimed request ended.
    pub(super) fn settle(&mut self, settlement: Settlement) -> Vec<Action> {
        let (Some(key), Some(claim)) = (&self.specification.key, &self.claim) else {
            return Vec::new();
        };
        if claim.row.settlement.is_some() {
            return Vec::new();
        }
        let row = ClaimRow {
            settlement: Some(settlement),
            ..claim.row.clone()
        };
        vec![Action::Settle {
            key: claim_key(&self.specification.tenant, key),
            row: Box::new(row),
            expected: claim.version,
        }]
    }

    pub(super) fn on_deadline(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        let mut actions = self.cancel_if_useless();
        let refusal = Refusal {
            reason: RefusalReason::DeadlineUnreachable,
            retry_after: None,
        };
        actions.extend(self.give_up(refusal, Failure::DeadlinePassed));
        actions
    }

    pub(super) fn on_cancelled(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        let mut actions = self.cancel_at_engine();
        let refusal = Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: None,
        };
        actions.extend(self.give_up(refusal, Failure::Cancelled));
        actions
    }

    /// The engine goes on, so that the answer can be fetched again; what was not yet sent is not sent.
    pub(super) fn on_caller_gone(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        if self.evidence.was_handed_over() {
            self.state = State::Over;
            return vec![Action::Detach];
        }
        let refusal = Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: None,
        };
        self.give_up(refusal, Failure::Cancelled)
    }

    /// A call that was not answered yet may be running.
    fn note_call_on_its_way(&mut self) {
        if matches!(self.state, State::Reading { .. } | State::Prefilling { .. }) {
            self.evidence.handed_over();
        }
    }

    /// A request that may not be repeated goes on after its deadline: its effect can't be undone by stopping it
    /// halfway, and its answer can be fetched by its key.
    fn cancel_if_useless(&mut self) -> Vec<Action> {
        if self.specification.repeatable() && !self.rejoined {
            self.cancel_at_engine()
        } else {
            Vec::new()
        }
    }

    fn cancel_at_engine(&mut self) -> Vec<Action> {
        match &self.state {
            State::Reading { engine, .. } | State::Asking { engine } => {
                vec![Action::Cancel {
                    engine: engine.clone(),
                }]
            }
            State::Prefilling { prefill, .. } => {
                vec![Action::Cancel {
                    engine: prefill.engine.clone(),
                }]
            }
            _ => Vec::new(),
        }
    }
}
