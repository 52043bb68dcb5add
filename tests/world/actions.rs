//! How the actions of request machines are carried out.

use super::callers::CallerEnd;
use super::fleet::Fleet;
use super::gateway::GatewayWork;
use super::planted::PlantedFault;
use super::serving::Serving;
use super::streams::EngineQuestion;
use shelfjunction_core::engine::{AnswerPart, EngineCall, Role};
use shelfjunction_core::identity::{EngineId, RequestId};
use shelfjunction_core::ledger::batcher::ClaimWrite;
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::outcome::{Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::request::specification::{Placement, Target};
use shelfjunction_core::routing::Route;
use shelfjunction_core::table::RowVersion;
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

impl Fleet {
    pub(super) fn carry_out_action(&mut self, gateway: usize, caller: usize, action: Action) {
        let process = &self.gateways[gateway];
        let local = process.clock.read(self.now);
        let start = process.start;
        match action {
            Action::Choose { not_before, .. } | Action::AskRunState { not_before, .. }
                if not_before > local =>
            {
                let due = self.now + not_before.since(local);
                let work = GatewayWork::Later(caller, action);
                self.later(due, Serving::Work { gateway, start, work });
            }
            Action::Choose {
                excluded, whole_only, ..
            } => self.choose(gateway, caller, excluded, whole_only),
            Action::Claim { key, row, expected } => {
                let write = ClaimWrite {
                    key,
                    expected,
                    value: Some(row.text()),
                };
                self.claim(gateway, caller, write);
            }
            Action::LookUpClaim { key } => {
                self.submit_write(gateway, Some(caller), ClaimWrite::look_up(key));
            }
            Action::Dispatch {
                target,
                call,
                not_after,
            } => {
                self.dispatch(gateway, caller, target, call, not_after);
            }
            Action::Resume {
                engine,
                attempt,
                offset,
            } => {
                let request = self.request_of(gateway, caller);
                let question = EngineQuestion::Resume(request, attempt.clone(), offset);
                self.question(gateway, caller, &engine, question, Some(attempt));
            }
            Action::AskRunState { engine, .. } => self.ask_run_state(gateway, caller, &engine),
            Action::AskRetry { tried } => self.ask_retry(gateway, caller, tried),
            Action::Emit(part) => self.emit(gateway, caller, part),
            Action::Cancel { engine } => {
                let question = EngineQuestion::Cancel(self.request_of(gateway, caller));
                self.question(gateway, caller, &engine, question, None);
            }
            Action::Settle { key, row, expected } => {
                let write = ClaimWrite {
                    key,
                    expected: Some(expected),
                    value: Some(row.text()),
                };
                self.submit_write(gateway, None, write);
            }
            Action::Release(release) => self.release_claim(gateway, release),
            Action::Forward(action) => panic!("a text request asked for {action:?}"),
            Action::Finish(outcome) => self.finish(gateway, caller, outcome),
            Action::Detach => self.end_caller(caller, CallerEnd::Left),
        }
    }

    fn claim(&mut self, gateway: usize, caller: usize, write: ClaimWrite) {
        let early = self.gateways[gateway].has(PlantedFault::DispatchBeforeClaim);
        self.submit_write(gateway, Some(caller), write);
        if early {
            let version = RowVersion(0);
            self.take_event(gateway, caller, Event::ClaimCommitted { version });
        }
    }

    fn dispatch(
        &mut self,
        gateway: usize,
        caller: usize,
        target: Target,
        call: Box<EngineCall>,
        not_after: MonotonicTime,
    ) {
        let process = &mut self.gateways[gateway];
        if process.clock.read(self.now) > not_after {
            let attempt = call.attempt;
            return self.take_event(gateway, caller, Event::DispatchTooLate { attempt });
        }
        if let Some(course) = process.courses.get_mut(&caller) {
            course.last_call = Some((target.clone(), call.clone()));
        }
        let start = process.start;
        let leaves_at = self.now + self.network.step();
        let work = GatewayWork::Depart { caller, target, call };
        self.later(leaves_at, Serving::Work { gateway, start, work });
    }

    fn ask_run_state(&mut self, gateway: usize, caller: usize, engine: &EngineId) {
        let request = self.request_of(gateway, caller);
        let process = &mut self.gateways[gateway];
        process.questions += 1;
        let number = process.questions;
        process.asking.insert((caller, number));
        let question = EngineQuestion::RunState(request, number);
        self.question(gateway, caller, engine, question, None);
    }

    fn ask_retry(&mut self, gateway: usize, caller: usize, tried: u32) {
        let process = &mut self.gateways[gateway];
        let event = match process.budget.withdraw() {
            true => {
                let pause = process.backoff.pause(tried, &mut process.random);
                Event::RetryGranted {
                    not_before: process.clock.read(self.now) + pause,
                }
            }
            false => Event::RetryDenied,
        };
        self.take_event(gateway, caller, event);
    }

    fn emit(&mut self, gateway: usize, caller: usize, part: AnswerPart) {
        let unchecked = self.gateways[gateway].has(PlantedFault::PassGaps);
        if !(unchecked && matches!(part, AnswerPart::Token { .. })) {
            self.give_part(caller, part);
        }
    }

    fn release_claim(&mut self, gateway: usize, release: Release) {
        match release.write_unread() {
            Some(write) => self.submit_write(gateway, None, write),
            None => self.read_for_release(gateway, release),
        }
    }

    fn finish(&mut self, gateway: usize, caller: usize, outcome: Outcome) {
        let lies = self.gateways[gateway].has(PlantedFault::NotRunAfterSend);
        let outcome = match outcome {
            Outcome::Unknown(_) if lies => Outcome::NotRun(Refusal {
                reason: RefusalReason::EnginesRefused,
                retry_after: None,
            }),
            outcome => outcome,
        };
        self.end_caller(caller, CallerEnd::Outcome(outcome));
    }

    fn request_of(&self, gateway: usize, caller: usize) -> RequestId {
        let course = self.gateways[gateway].courses.get(&caller);
        course.map_or_else(
            || RequestId::new(""),
            |course| course.machine.specification().request.clone(),
        )
    }

    fn choose(&mut self, gateway: usize, caller: usize, excluded: Vec<EngineId>, whole_only: bool) {
        let process = &mut self.gateways[gateway];
        let local = process.clock.read(self.now);
        let Some(course) = process.courses.get(&caller) else {
            return;
        };
        let mut query = course.query.clone();
        query.excluded = excluded;
        if whole_only {
            let one_phase = process
                .router
                .engines()
                .filter(|(_, view)| view.role() != Role::Mixed);
            query.excluded.extend(one_phase.map(|(engine, _)| engine.clone()));
        }
        let route = process.router.choose(&query, local, &mut process.random);
        let target = |engine: EngineId, address| Target {
            incarnation: process.incarnations.get(&engine).copied().unwrap_or(0),
            engine,
            address,
        };
        let event = match route {
            Route::Whole { engine, address } => Event::Placed(Placement::Whole(target(engine, address))),
            Route::Split { prefill, decode } => Event::Placed(Placement::Split {
                prefill: target(prefill.engine, prefill.address),
                decode: target(decode.engine, decode.address),
            }),
            Route::Nowhere(reason) => Event::Nowhere(Refusal {
                reason,
                retry_after: Some(Duration::from_secs(1)),
            }),
        };
        self.take_event(gateway, caller, event);
    }
}
