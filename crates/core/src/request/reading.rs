//! Handing the request to engines and reading what they answer.

use super::event::{Action, Event};
use super::machine::{CANCELLED_REASON, ENGINES_RETRY_AFTER, ReadingKind, RequestMachine, State};
use super::specification::{Placement, Target};
use super::stream_check::Verdict;
use crate::engine::{AnswerPart, EngineCall, EngineRefusal, EngineRefusalReason, KvTransfer, Phase};
use crate::identity::{AttemptId, EngineId};
use crate::ledger::row::Settlement;
use crate::outcome::{Failure, Outcome, Refusal, RefusalReason};
use crate::time::MonotonicTime;
use std::time::Duration;

impl RequestMachine {
    pub(super) fn start(&mut self, placement: Placement, now: MonotonicTime) -> Vec<Action> {
        if now > self.dispatch_not_after {
            return self.on_too_late();
        }
        match placement {
            Placement::Whole(target) => self.dispatch(target, Phase::Whole, None),
            Placement::Split { prefill, decode } => {
                let attempt = self.attempt();
                let call = self
                    .specification
                    .call(attempt.clone(), Phase::PrefillOnly, None, 0);
                self.state = State::Prefilling {
                    attempt,
                    prefill: prefill.clone(),
                    decode,
                };
                vec![self.dispatch_action(prefill, call)]
            }
        }
    }

    pub(super) fn dispatch(
        &mut self,
        target: Target,
        phase: Phase,
        import: Option<KvTransfer>,
    ) -> Vec<Action> {
        let attempt = self.attempt();
        let offset = self.check.next_offset();
        let call = self.specification.call(attempt.clone(), phase, import, offset);
        self.state = State::Reading {
            attempt,
            engine: target.engine.clone(),
            kind: ReadingKind::Dispatch,
        };
        vec![self.dispatch_action(target, call)]
    }

    fn dispatch_action(&self, target: Target, call: EngineCall) -> Action {
        Action::Dispatch {
            target,
            call: Box::new(call),
            not_after: self.dispatch_not_after,
        }
    }

    pub(super) fn on_prefilling(
        &mut self,
        event: Event,
        current: &AttemptId,
        prefill: Target,
        decode: Target,
    ) -> Vec<Action> {
        match event {
            Event::Part { attempt, part } if &attempt == current => {
                self.evidence.prompt_ran();
                match self.check.judge(&part) {
                    Verdict::Prefilled { handle } => {
                        self.attempts += 1;
                        let import = KvTransfer {
                            source: prefill.address,
                            handle,
                        };
                        if self.specification.is_opaque() {
                            return self.choose_output(prefill.engine, import);
                        }
                        self.dispatch(decode, Phase::Whole, Some(import))
                    }
                    _ => self.prefill_failed(prefill.engine),
                }
            }
            Event::Opened { attempt } if &attempt == current => {
                self.evidence.prompt_handed_over();
                Vec::new()
            }
            Event::Refused { attempt, refusal } if &attempt == current => {
                self.on_refused_before_running(prefill.engine, &refusal)
            }
            Event::NotSent { attempt } if &attempt == current => self.prefill_failed(prefill.engine),
            Event::DispatchTooLate { attempt } if &attempt == current => self.on_too_late(),
            Event::DispatchWithheld { attempt, retry_after } if &attempt == current => {
                self.on_withheld(retry_after)
            }
            Event::Ambiguous { attempt } | Event::Disconnected { attempt } if &attempt == current => {
                self.evidence.prompt_handed_over();
                let mut actions = vec![Action::Cancel {
                    engine: prefill.engine.clone(),
                }];
                actions.extend(self.prefill_failed(prefill.engine));
                actions
            }
            _ => Vec::new(),
        }
    }

    /// Running a prompt has no effect outside, so it may be tried elsewhere.
    fn prefill_failed(&mut self, engine: EngineId) -> Vec<Action> {
        self.excluded.push(engine);
        self.whole_only = !self.specification.is_opaque();
        self.ask_retry()
    }

    pub(super) fn on_reading(
        &mut self,
        event: Event,
        current: &AttemptId,
        engine: EngineId,
        kind: ReadingKind,
        now: MonotonicTime,
    ) -> Vec<Action> {
        match event {
            Event::Opened { attempt } if &attempt == current => {
                self.evidence.handed_over();
                self.transfer = None;
                Vec::new()
            }
            Event::Part { attempt, part } if &attempt == current => {
                self.evidence.ran();
                self.on_part(part, engine, now)
            }
            Event::Forwarded { attempt, part } if &attempt == current => {
                self.evidence.ran();
                self.on_forwarded(part, engine)
            }
            Event::Disconnected { attempt } if &attempt == current => {
                self.evidence.handed_over();
                self.resume(engine, now)
            }
            Event::Refused { attempt, refusal } if &attempt == current => match kind {
                ReadingKind::Dispatch => {
                    self.note_output_refused(refusal.reason);
                    self.on_refused_before_running(engine, &refusal)
                }
                ReadingKind::Resume => self.reading_failed(engine, now),
            },
            Event::NotSent { attempt } if &attempt == current => match kind {
                ReadingKind::Dispatch => {
                    self.excluded.push(engine);
                    self.ask_retry()
                }
                ReadingKind::Resume => self.reading_failed(engine, now),
            },
            Event::DispatchTooLate { attempt } if &attempt == current => self.on_too_late(),
            Event::DispatchWithheld { attempt, retry_after } if &attempt == current => {
                self.on_withheld(retry_after)
            }
            Event::Ambiguous { attempt } if &attempt == current => {
                self.evidence.handed_over();
                self.reading_failed(engine, now)
            }
            _ => Vec::new(),
        }
    }

    fn on_part(&mut self, part: AnswerPart, engine: EngineId, now: MonotonicTime) -> Vec<Action> {
        match self.check.judge(&part) {
            Verdict::Deliver => {
                self.resumes = 0;
                vec![Action::Emit(part)]
            }
            Verdict::Repeat => Vec::new(),
            Verdict::Whole => {
                let settlement = Settlement::Completed {
                    tokens: self.check.next_offset(),
                };
                let mut actions = vec![Action::Emit(part)];
                actions.extend(self.settle(settlement));
                actions.extend(self.finish(Outcome::Completed));
                actions
            }
            Verdict::EngineFailed { reason } => self.on_engine_failed(&reason, engine),
            Verdict::Prefilled { .. } | Verdict::Broken => self.resume(engine, now),
        }
    }

    pub(super) fn on_engine_failed(&mut self, reason: &str, engine: EngineId) -> Vec<Action> {
        self.runs += 1;
        if reason == CANCELLED_REASON {
            let mut actions = self.settle(Settlement::Failed);
            actions.extend(self.finish(Outcome::Failed(Failure::Cancelled)));
            return actions;
        }
        if self.may_run_again() {
            self.excluded.push(engine);
            return self.ask_retry();
        }
        let mut actions = self.settle(Settlement::Failed);
        actions.extend(self.finish(Outcome::Failed(Failure::EngineError)));
        actions
    }

    pub(super) fn on_refused_before_running(
        &mut self,
        engine: EngineId,
        refusal: &EngineRefusal,
    ) -> Vec<Action> {
        let retry_after = Duration::from_millis(refusal.retry_after_millis);
        let malformed = refusal.reason == EngineRefusalReason::Malformed;
        self.last_refusal = Some(Refusal {
            reason: refusal.reason.into(),
            retry_after: (!malformed).then_some(retry_after.max(ENGINES_RETRY_AFTER)),
        });
        if malformed {
            return self.give_up_as_refused();
        }
        if refusal.reason == EngineRefusalReason::TransferGone && !self.specification.is_opaque() {
            self.whole_only = true;
        } else {
            self.excluded.push(engine);
        }
        self.ask_retry()
    }

    pub(super) fn on_too_late(&mut self) -> Vec<Action> {
        self.give_up(
            Refusal {
                reason: RefusalReason::DeadlineUnreachable,
                retry_after: Some(ENGINES_RETRY_AFTER),
            },
            Failure::DeadlinePassed,
        )
    }

    fn on_withheld(&mut self, retry_after: Duration) -> Vec<Action> {
        self.give_up(
            Refusal {
                reason: RefusalReason::Quarantined,
                retry_after: Some(retry_after),
            },
            Failure::EngineError,
        )
    }

    pub(super) fn give_up_as_refused(&mut self) -> Vec<Action> {
        let refusal = self.last_refusal.take().unwrap_or(Refusal {
            reason: RefusalReason::EnginesRefused,
            retry_after: Some(ENGINES_RETRY_AFTER),
        });
        self.give_up(refusal, Failure::ConnectionLost)
    }
}
