//! How a request ends: what may truthfully be said, and what happens to its claim.

use super::claiming::is_definite;
use super::event::{Action, Event};
use super::machine::{LookUp, RequestMachine, State};
use crate::ledger::release::{ClaimStanding, Release};
use crate::ledger::row::{ClaimRow, Settlement, claim_key};
use crate::outcome::{Failure, Outcome, Refusal, RefusalReason};

/// What is known about whether engines ran the request.
///
/// Running only the prompt has no effect outside and is kept apart: it forbids "not run" but no later dispatch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    prompt: Progress,
    output: Progress,
}

/// How far a phase has come, as far as anybody can tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// No engine was handed it without refusing it.
    #[default]
    Untouched,
    /// An engine was handed it and may run it.
    HandedOver,
    /// An engine showed that it runs it.
    Running,
}

impl Evidence {
    /// An engine was handed the request and did not refuse it.
    pub(super) fn handed_over(&mut self) {
        self.output = self.output.max(Progress::HandedOver);
    }

    /// What was taken for handed over under another's claim turned out never to have been.
    pub(super) fn handed_over_nowhere(&mut self) {
        self.output = Progress::Untouched;
    }

    /// An engine showed that it runs the request.
    pub(super) fn ran(&mut self) {
        self.output = Progress::Running;
    }

    /// An engine was handed the prompt alone and did not refuse it.
    pub(super) fn prompt_handed_over(&mut self) {
        self.prompt = self.prompt.max(Progress::HandedOver);
    }

    /// An engine showed that it runs the prompt alone.
    pub(super) fn prompt_ran(&mut self) {
        self.prompt = Progress::Running;
    }

    /// Whether the output may have been begun.
    pub(super) fn was_handed_over(self) -> bool {
        self.output != Progress::Untouched
    }

    /// Whether the output is known to have been begun.
    pub(super) fn output_ran(self) -> bool {
        self.output == Progress::Running
    }

    fn furthest(self) -> Progress {
        self.prompt.max(self.output)
    }
}

impl RequestMachine {
    /// Ends the course with the strongest statement that the evidence allows; "not run" is said of a key only after a
    /// look at its claim.
    pub(super) fn give_up(&mut self, refusal: Refusal, failure: Failure) -> Vec<Action> {
        if self.progress() == Progress::Untouched && !self.key_is_free() {
            return self.look_up(LookUp::BeforeRefusal(refusal));
        }
        self.give_up_at_once(refusal, failure)
    }

    /// Ends the course like [`Self::give_up`], with no time for a look at the claim.
    pub(super) fn give_up_at_once(&mut self, refusal: Refusal, failure: Failure) -> Vec<Action> {
        let outcome = match self.progress() {
            Progress::Untouched if !self.key_is_free() => Outcome::Unknown(failure),
            Progress::Untouched => Outcome::NotRun(refusal),
            Progress::HandedOver => Outcome::Unknown(failure),
            // A request that is never sent again may still run to its end where it was seen running.
            Progress::Running if self.evidence.was_handed_over() && !self.may_run_again() => {
                Outcome::Unknown(failure)
            }
            Progress::Running => Outcome::Failed(failure),
        };
        let mut actions = Vec::new();
        if !self.evidence.was_handed_over() {
            actions.extend(self.release());
        }
        actions.extend(self.finish(outcome));
        actions
    }

    /// How far the request has come; an engine that reads an opaque request's prompt does not run it.
    fn progress(&self) -> Progress {
        if self.specification.is_opaque() {
            self.evidence.output
        } else {
            self.evidence.furthest()
        }
    }

    /// Whether no earlier call with the key can have run.
    fn key_is_free(&self) -> bool {
        self.specification.key.is_none() || self.key_was_free
    }

    pub(super) fn finish(&mut self, outcome: Outcome) -> Vec<Action> {
        self.state = State::Over;
        vec![Action::Finish(outcome)]
    }

    /// Frees the key after a course in which no output was begun and nothing will be sent any more.
    fn release(&mut self) -> Vec<Action> {
        let own = self.claim.take().filter(|claim| claim.own);
        if self.claim_in_doubt {
            return self.release_from(ClaimStanding::InDoubt {
                checked: self.claim_checked,
            });
        }
        own.map_or_else(Vec::new, |claim| {
            self.release_from(ClaimStanding::Written {
                version: claim.version,
            })
        })
    }

    fn release_from(&self, standing: ClaimStanding) -> Vec<Action> {
        let Some(key) = &self.specification.key else {
            return Vec::new();
        };
        vec![Action::Release(Release {
            key: claim_key(&self.specification.tenant, key),
            request: self.specification.request.clone(),
            claimed_unix_seconds: self.specification.admitted_unix_seconds,
            standing,
        })]
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
        actions.extend(self.give_up_at_once(refusal, Failure::DeadlinePassed));
        actions
    }

    pub(super) fn on_node_stopping(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        let mut actions = self.cancel_if_useless();
        let refusal = Refusal {
            reason: RefusalReason::Stopping,
            retry_after: None,
        };
        actions.extend(self.give_up_at_once(refusal, Failure::NodeStopped));
        actions
    }

    pub(super) fn on_cancelled(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        let mut actions = self.cancel_at_engine();
        let refusal = Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: None,
        };
        actions.extend(self.give_up_at_once(refusal, Failure::Cancelled));
        actions
    }

    /// The engine goes on, so that the answer can be fetched again; what was not yet sent is not sent.
    pub(super) fn on_caller_gone(&mut self) -> Vec<Action> {
        self.note_call_on_its_way();
        if self.specification.is_opaque() {
            return self.abandon_opaque();
        }
        if self.evidence.was_handed_over() {
            self.state = State::Over;
            return vec![Action::Detach];
        }
        let refusal = Refusal {
            reason: RefusalReason::Cancelled,
            retry_after: None,
        };
        self.give_up_at_once(refusal, Failure::Cancelled)
    }

    /// The answer to a claim that came after the course was over: nothing was sent under it, so it goes.
    pub(super) fn on_late_claim(&mut self, event: &Event) -> Vec<Action> {
        if !std::mem::take(&mut self.claim_awaited) {
            return Vec::new();
        }
        let standing = match event {
            Event::ClaimCommitted { version } => ClaimStanding::Written { version: *version },
            Event::ClaimFailed(error) if !is_definite(error) => ClaimStanding::InDoubt {
                checked: self.claim_checked,
            },
            Event::ClaimFailed(_) | Event::ClaimExists(_) | Event::ClaimAbsent => return Vec::new(),
            _ => {
                self.claim_awaited = true;
                return Vec::new();
            }
        };
        self.release_from(standing)
    }

    /// A call that was not answered yet may be running, and a claim that was asked for may be written.
    fn note_call_on_its_way(&mut self) {
        match self.state {
            State::Reading { .. } => self.evidence.handed_over(),
            State::Prefilling { .. } => self.evidence.prompt_handed_over(),
            State::Claiming { .. } => self.claim_awaited = true,
            _ => {}
        }
    }

    /// A request that may not be repeated goes on after its deadline: its effect can't be undone by stopping it
    /// halfway, and its answer can be fetched by its key.
    fn cancel_if_useless(&mut self) -> Vec<Action> {
        let useless = self.specification.repeatable() && !self.rejoined;
        if useless || self.specification.is_opaque() {
            self.cancel_at_engine()
        } else {
            Vec::new()
        }
    }

    pub(super) fn cancel_at_engine(&mut self) -> Vec<Action> {
        match &self.state {
            State::Reading { engine, .. }
            | State::Asking { engine }
            | State::LookingUp(LookUp::WhereItStands { engine, .. }) => {
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
