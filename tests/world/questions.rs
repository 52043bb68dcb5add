//! Calls and questions of gateways to engines.

use super::callers::{DispatchEntry, RunEntry};
use super::fleet::Fleet;
use super::gateway::GatewayWork;
use super::network::{Fate, Place};
use super::serving::Serving;
use super::streams::{Asker, EngineQuestion};
use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason, RunState};
use shelfjunction_core::identity::{AttemptId, EngineId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::request::specification::Target;
use std::time::Duration;

/// How long a gateway waits for an engine to begin its answer.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

impl Fleet {
    pub(super) fn depart_call(
        &mut self,
        gateway: usize,
        caller: usize,
        target: &Target,
        call: Box<EngineCall>,
    ) {
        let start = self.gateways[gateway].start;
        let engine = self
            .engines
            .iter()
            .position(|process| process.engine == target.engine);
        if let Some(engine) = engine {
            let known = self.known_leaving.get(&(gateway, start, target.engine.clone()));
            self.callers.dispatches.push(DispatchEntry {
                at: self.now,
                engine,
                caller,
                known_leaving: known.copied(),
            });
        }
        let attempt = call.attempt.clone();
        self.question(
            gateway,
            caller,
            &target.engine,
            EngineQuestion::Call(call),
            Some(attempt),
        );
    }

    /// Opens a connection to an engine and asks; an attempt whose answer does not begin in time is ambiguous.
    pub(super) fn question(
        &mut self,
        gateway: usize,
        caller: usize,
        engine: &EngineId,
        question: EngineQuestion,
        attempt: Option<AttemptId>,
    ) {
        let process = &mut self.gateways[gateway];
        let asker = Asker {
            gateway,
            start: process.start,
            caller,
        };
        let zone = process.zone;
        let Some(index) = self.engines.iter().position(|process| process.engine == *engine) else {
            return;
        };
        if let Some(attempt) = &attempt {
            process.opening.insert((caller, attempt.clone()));
        }
        let given_up = self.now + OPEN_TIMEOUT;
        self.later(
            given_up,
            Serving::QuestionGivenUp {
                asker,
                question: question.clone(),
                engine: index,
            },
        );
        match self
            .network
            .request(Place::Zone(zone), Place::Zone(self.engines[index].zone))
        {
            Fate::Arrives(delay) => {
                let bound = (delay > OPEN_TIMEOUT).then(|| self.engines[index].incarnation());
                let arrival = Serving::QuestionAtEngine {
                    asker,
                    engine: index,
                    bound,
                    question,
                };
                self.later(self.now + delay, arrival);
            }
            Fate::Refused(delay) => {
                let refused = Serving::QuestionRefused {
                    asker,
                    question,
                    engine: index,
                };
                self.later(self.now + delay, refused);
            }
            Fate::Vanishes => {}
        }
    }

    /// The engine could not be reached, or did not answer in time.
    pub(super) fn question_ended(
        &mut self,
        asker: Asker,
        question: &EngineQuestion,
        engine: usize,
        sent: bool,
    ) {
        let process = &mut self.gateways[asker.gateway];
        if process.start != asker.start {
            return;
        }
        let engine = self.engines[engine].engine.clone();
        let event = match question {
            EngineQuestion::Call(call) => process
                .opening
                .remove(&(asker.caller, call.attempt.clone()))
                .then(|| unanswered(call.attempt.clone(), sent)),
            EngineQuestion::Resume(_, attempt, _) => process
                .opening
                .remove(&(asker.caller, attempt.clone()))
                .then(|| unanswered(attempt.clone(), sent)),
            EngineQuestion::RunState(_, number) => process
                .asking
                .remove(&(asker.caller, *number))
                .then_some(Event::RunStateUnavailable { engine }),
            EngineQuestion::Cancel(_) => None,
        };
        if let Some(event) = event {
            self.gateway_work(
                asker.gateway,
                asker.start,
                GatewayWork::Event(asker.caller, event),
            );
        }
    }

    pub(super) fn question_at_engine(
        &mut self,
        asker: Asker,
        engine: usize,
        bound: Option<u64>,
        question: EngineQuestion,
    ) {
        let process = &mut self.engines[engine];
        if bound.is_some_and(|incarnation| incarnation != process.incarnation()) {
            return;
        }
        if !process.up {
            let at = self.now + self.network.step();
            self.later(
                at,
                Serving::QuestionRefused {
                    asker,
                    question,
                    engine,
                },
            );
            return;
        }
        process.model.advance(self.now);
        match question {
            EngineQuestion::Call(call) => self.call_at_engine(asker, engine, &call),
            EngineQuestion::Resume(request, attempt, offset) => match process.model.find_run(&request) {
                Some(run) => self.open_stream(asker, engine, attempt, run, offset),
                None => {
                    let refusal = EngineRefusal {
                        reason: EngineRefusalReason::Malformed,
                        retry_after_millis: 0,
                    };
                    self.answer_question(asker, engine, Event::Refused { attempt, refusal });
                }
            },
            EngineQuestion::RunState(request, number) => {
                let state = process.model.run_state(&request);
                self.answer_run_state(asker, engine, number, state);
            }
            EngineQuestion::Cancel(request) => {
                process.model.cancel(self.now, &request);
                self.pump(engine);
            }
        }
    }

    fn call_at_engine(&mut self, asker: Asker, engine: usize, call: &EngineCall) {
        let import = call.import.as_ref().map(|transfer| {
            let source = self
                .engines
                .iter()
                .position(|process| process.address == transfer.source);
            let source = source.filter(|source| self.engines[*source].up);
            source.and_then(|source| {
                self.engines[source]
                    .model
                    .fetch_export(self.now, &transfer.handle)
            })
        });
        let attempt = call.attempt.clone();
        if import == Some(None) {
            let refusal = EngineRefusal {
                reason: EngineRefusalReason::TransferGone,
                retry_after_millis: 0,
            };
            self.answer_question(asker, engine, Event::Refused { attempt, refusal });
            return;
        }
        let process = &mut self.engines[engine];
        match process.call(call, import.flatten().as_ref(), self.now) {
            Ok(run) => {
                self.callers.runs.push(RunEntry {
                    at: self.now,
                    engine,
                    incarnation: process.incarnation(),
                    call: call.clone(),
                    caller: asker.caller,
                });
                self.open_stream(asker, engine, attempt, run, call.offset);
            }
            Err(refusal) => self.answer_question(asker, engine, Event::Refused { attempt, refusal }),
        }
    }

    fn answer_question(&mut self, asker: Asker, engine: usize, event: Event) {
        let from = Place::Zone(self.engines[engine].zone);
        let to = Place::Zone(self.gateways[asker.gateway].zone);
        if let Fate::Arrives(delay) = self.network.answer(from, to) {
            self.later(self.now + delay, Serving::QuestionAnswered { asker, event });
        }
    }

    fn answer_run_state(&mut self, asker: Asker, engine: usize, number: u64, state: RunState) {
        let from = Place::Zone(self.engines[engine].zone);
        let to = Place::Zone(self.gateways[asker.gateway].zone);
        let engine = self.engines[engine].engine.clone();
        if let Fate::Arrives(delay) = self.network.answer(from, to) {
            let event = Event::RunStateKnown { engine, state };
            self.later(
                self.now + delay,
                Serving::RunStateAnswered { asker, number, event },
            );
        }
    }

    pub(super) fn question_answered(&mut self, asker: Asker, event: Event) {
        let process = &mut self.gateways[asker.gateway];
        if process.start != asker.start {
            return;
        }
        let attempt = match &event {
            Event::Opened { attempt } | Event::Refused { attempt, .. } => attempt.clone(),
            _ => return,
        };
        if process.opening.remove(&(asker.caller, attempt)) {
            self.gateway_work(
                asker.gateway,
                asker.start,
                GatewayWork::Event(asker.caller, event),
            );
        }
    }

    pub(super) fn run_state_answered(&mut self, asker: Asker, number: u64, event: Event) {
        let process = &mut self.gateways[asker.gateway];
        if process.start == asker.start && process.asking.remove(&(asker.caller, number)) {
            self.gateway_work(
                asker.gateway,
                asker.start,
                GatewayWork::Event(asker.caller, event),
            );
        }
    }
}

fn unanswered(attempt: AttemptId, sent: bool) -> Event {
    match sent {
        true => Event::Ambiguous { attempt },
        false => Event::NotSent { attempt },
    }
}
