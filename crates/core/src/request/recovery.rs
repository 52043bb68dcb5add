//! What follows a broken stream, an ambiguous send or a claim that was met.

use super::event::{Action, Event};
use super::machine::{HeldClaim, LookUp, ReadingKind, RequestMachine, State};
use super::stream_check::StreamCheck;
use crate::engine::RunState;
use crate::identity::EngineId;
use crate::ledger::row::{ClaimRow, Settlement};
use crate::outcome::{Failure, Outcome, Refusal, RefusalReason};
use crate::table::RowVersion;
use crate::time::MonotonicTime;

/// Longest doubling of the pause between two questions.
const MAXIMUM_PAUSE_DOUBLINGS: u32 = 8;

impl RequestMachine {
    /// Whether another engine may be handed the request although one may have run it.
    pub(super) fn may_run_again(&self) -> bool {
        self.specification.repeatable() && !self.rejoined && self.runs < self.limits.runs
    }

    /// Joins the course of another request with the same key and body: its engine is asked, nothing is sent.
    pub(super) fn join(&mut self, row: ClaimRow, version: RowVersion, now: MonotonicTime) -> Vec<Action> {
        let engine = row.engine.clone();
        self.specification.request = row.request.clone();
        self.check = StreamCheck::new(row.request.clone(), self.check.next_offset());
        self.evidence.handed_over();
        self.claim = Some(HeldClaim {
            version,
            row,
            own: false,
        });
        self.rejoined = true;
        self.ask(engine, now)
    }

    pub(super) fn resume(&mut self, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        if self.resumes >= self.limits.resumes {
            return self.reading_failed(engine, now);
        }
        self.resumes += 1;
        self.attempts += 1;
        let attempt = self.attempt();
        self.state = State::Reading {
            attempt: attempt.clone(),
            engine: engine.clone(),
            kind: ReadingKind::Resume,
        };
        vec![Action::Resume {
            engine,
            attempt,
            offset: self.check.next_offset(),
        }]
    }

    /// A stream could not be opened or resumed and the engine may have run the request.
    pub(super) fn reading_failed(&mut self, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        self.evidence.handed_over();
        self.runs += 1;
        self.transfer = None;
        if !self.may_run_again() {
            return self.ask(engine, now);
        }
        let mut actions = vec![Action::Cancel {
            engine: engine.clone(),
        }];
        self.excluded.push(engine);
        actions.extend(self.ask_retry());
        actions
    }

    /// Asks the engine what became of the request, with growing pauses; gives up as unknown.
    pub(super) fn ask(&mut self, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        if self.questions >= self.limits.questions {
            return self.unsettled();
        }
        let pause = match self.questions.checked_sub(1) {
            None => std::time::Duration::ZERO,
            Some(doublings) => {
                let factor = 1u32 << doublings.min(MAXIMUM_PAUSE_DOUBLINGS);
                self.limits.question_pause * factor
            }
        };
        self.questions += 1;
        self.state = State::Asking {
            engine: engine.clone(),
        };
        vec![Action::AskRunState {
            engine,
            not_before: now + pause,
        }]
    }

    pub(super) fn on_asking(&mut self, event: Event, current: EngineId, now: MonotonicTime) -> Vec<Action> {
        match event {
            Event::RunStateKnown { engine, state } if engine == current => {
                self.on_run_state(state, engine, now)
            }
            Event::RunStateUnavailable { engine } if engine == current => self.ask(engine, now),
            _ => Vec::new(),
        }
    }

    fn on_run_state(&mut self, state: RunState, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        match state {
            RunState::Running { .. } | RunState::Finished { .. } => {
                self.evidence.ran();
                self.resume(engine, now)
            }
            RunState::Failed => {
                self.evidence.ran();
                let mut actions = self.settle(Settlement::Failed);
                actions.extend(self.finish(Outcome::Failed(Failure::EngineError)));
                actions
            }
            RunState::NeverSeen { incarnation } => self.on_never_seen(incarnation, engine, now),
        }
    }

    /// An engine that has not seen a request may still read it from a connection that was given up, so "never
    /// seen" proves nothing while the sender's bytes may be on their way; asking again can only find it running.
    fn on_never_seen(&mut self, incarnation: u64, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        let claim = self.claim.as_ref();
        match claim.map(|claim| (claim.row.settlement, claim.row.incarnation)) {
            Some((Some(Settlement::Completed { .. }), _)) => {
                self.finish(Outcome::Failed(Failure::AnswerExpired))
            }
            Some((Some(Settlement::Failed), _)) => self.finish(Outcome::Failed(Failure::EngineError)),
            Some((None, _)) if self.claim_is_anothers() => {
                self.look_up(LookUp::WhereItStands { engine, incarnation })
            }
            Some((None, claimed)) if claimed != incarnation => self.unsettled(),
            Some((None, _)) => self.ask(engine, now),
            None => self.unsettled(),
        }
    }

    fn claim_is_anothers(&self) -> bool {
        self.claim.as_ref().is_some_and(|claim| !claim.own)
    }

    pub(super) fn unsettled(&mut self) -> Vec<Action> {
        let refusal = Refusal {
            reason: RefusalReason::EnginesRefused,
            retry_after: None,
        };
        self.give_up(refusal, Failure::ClaimUnsettled)
    }
}
