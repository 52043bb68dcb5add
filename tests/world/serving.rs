//! How gateways' actions are carried out.

use super::callers::CallerEnd;
use super::controller::ProcessState;
use super::fleet::{Fleet, Happening};
use super::gateway::GatewayWork;
use super::planted::PlantedFault;
use super::streams::{Asker, EngineQuestion};
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_core::ledger::batcher::BatchId;
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::table::{PlatformError, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;

/// Something that happens to one start of a gateway, or to the engines that it asks.
#[derive(Clone, Debug)]
pub(super) enum Serving {
    Watches {
        gateway: usize,
        start: u64,
    },
    Work {
        gateway: usize,
        start: u64,
        work: GatewayWork,
    },
    BatchEnded {
        gateway: usize,
        start: u64,
        batch: BatchId,
        outcome: Result<TransactionOutcome, PlatformError>,
    },
    BatchAtStore {
        gateway: usize,
        start: u64,
        batch: BatchId,
        transaction: Transaction,
    },
    ReleaseAtStore {
        gateway: usize,
        start: u64,
        release: Release,
    },
    RecordAsked {
        gateway: usize,
        start: u64,
        engine: usize,
        asked_at: MonotonicTime,
    },
    QuestionAtEngine {
        asker: Asker,
        engine: usize,
        bound: Option<u64>,
        question: EngineQuestion,
    },
    QuestionGivenUp {
        asker: Asker,
        engine: usize,
        question: EngineQuestion,
    },
    QuestionRefused {
        asker: Asker,
        engine: usize,
        question: EngineQuestion,
    },
    QuestionAnswered {
        asker: Asker,
        event: Event,
    },
    RunStateAnswered {
        asker: Asker,
        number: u64,
        event: Event,
    },
    Pump(usize),
}

impl From<Serving> for Happening {
    fn from(serving: Serving) -> Self {
        Self::Serving(serving)
    }
}

impl Fleet {
    pub(super) fn serve(&mut self, happening: Serving) {
        match happening {
            Serving::Watches { gateway, start } => self.gateway_watches(gateway, start),
            Serving::Work { gateway, start, work } => self.gateway_work(gateway, start, work),
            Serving::BatchEnded {
                gateway,
                start,
                batch,
                outcome,
            } => {
                let process = &mut self.gateways[gateway];
                if process.start == start && process.batches.remove(&batch) {
                    self.gateway_work(gateway, start, GatewayWork::BatchEnded(batch, outcome));
                }
            }
            Serving::BatchAtStore {
                gateway,
                start,
                batch,
                transaction,
            } => {
                self.batch_at_store(gateway, start, batch, transaction);
            }
            Serving::ReleaseAtStore {
                gateway,
                start,
                release,
            } => {
                self.release_at_store(gateway, start, release);
            }
            Serving::RecordAsked {
                gateway,
                start,
                engine,
                asked_at,
            } => {
                self.record_asked(gateway, start, engine, asked_at);
            }
            Serving::QuestionAtEngine {
                asker,
                engine,
                bound,
                question,
            } => {
                self.question_at_engine(asker, engine, bound, question);
            }
            Serving::QuestionGivenUp {
                asker,
                engine,
                question,
            } => {
                self.question_ended(asker, &question, engine, true);
            }
            Serving::QuestionRefused {
                asker,
                engine,
                question,
            } => {
                self.question_ended(asker, &question, engine, false);
            }
            Serving::QuestionAnswered { asker, event } => self.question_answered(asker, event),
            Serving::RunStateAnswered { asker, number, event } => {
                self.run_state_answered(asker, number, event);
            }
            Serving::Pump(engine) => self.pump(engine),
        }
    }

    pub(super) fn gateway_work(&mut self, gateway: usize, start: u64, work: GatewayWork) {
        let process = &mut self.gateways[gateway];
        if process.start != start || process.state == ProcessState::Down {
            return;
        }
        if process.state == ProcessState::Paused {
            process.inbox.push(work);
            return;
        }
        match work {
            GatewayWork::Event(caller, event) => self.take_event(gateway, caller, event),
            GatewayWork::Later(caller, action) => self.carry_out_all(gateway, caller, vec![action]),
            GatewayWork::Depart { caller, target, call } => self.depart_call(gateway, caller, &target, call),
            GatewayWork::BatchDue => self.send_batches(gateway),
            GatewayWork::BatchEnded(batch, outcome) => self.batch_ended(gateway, batch, outcome),
            GatewayWork::ReleaseRead { release, row } => {
                if let Some(write) = release.write_over(row.as_ref()) {
                    self.submit_write(gateway, None, write);
                }
            }
            GatewayWork::Record {
                engine,
                record,
                asked_at,
            } => {
                self.gateways[gateway].take_record(*record, &engine, asked_at, self.now);
            }
            GatewayWork::Machines(machines) => {
                for engine in self.gateways[gateway].take_machines(machines, self.now) {
                    self.known_leaving.insert((gateway, start, engine), self.now);
                }
            }
        }
    }

    pub(super) fn take_event(&mut self, gateway: usize, caller: usize, event: Event) {
        let process = &mut self.gateways[gateway];
        let local = process.clock.read(self.now);
        let gaps = process.has(PlantedFault::PassGaps);
        if !process.courses.contains_key(&caller) {
            return;
        }
        if gaps
            && let Event::Part {
                part: part @ AnswerPart::Token { .. },
                ..
            } = &event
        {
            let part = part.clone();
            self.give_part(caller, part);
        }
        let again = matches!(event, Event::Ambiguous { .. })
            && self.gateways[gateway].has(PlantedFault::DispatchTwice);
        if again {
            self.dispatch_again(gateway, caller);
        }
        let Some(course) = self.gateways[gateway].courses.get_mut(&caller) else {
            return;
        };
        let actions = course.machine.handle(event, local);
        self.carry_out_all(gateway, caller, actions);
    }

    fn dispatch_again(&mut self, gateway: usize, caller: usize) {
        let Some(course) = self.gateways[gateway].courses.get(&caller) else {
            return;
        };
        let Some((target, call)) = course.last_call.clone() else {
            return;
        };
        let start = self.gateways[gateway].start;
        let work = GatewayWork::Depart { caller, target, call };
        self.later(self.now, Serving::Work { gateway, start, work });
    }

    pub(super) fn carry_out_all(&mut self, gateway: usize, caller: usize, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_action(gateway, caller, action);
        }
        self.forget_ended(gateway, caller);
    }

    /// Drops a course that is over, unless the answer to its claim is still to come.
    fn forget_ended(&mut self, gateway: usize, caller: usize) {
        let process = &mut self.gateways[gateway];
        let over = process
            .courses
            .get(&caller)
            .is_some_and(|course| course.machine.is_over() && !course.machine.awaits_claim());
        if over {
            process.courses.remove(&caller);
        }
        let ended = process.stopping && process.courses.is_empty() && process.batcher.is_idle();
        if ended && process.state == ProcessState::Up {
            self.kill_gateway(gateway);
        }
    }

    pub(super) fn give_part(&mut self, caller: usize, part: AnswerPart) {
        let caller = &mut self.callers.callers[caller];
        match part {
            AnswerPart::Token { offset, text, .. } => caller.tokens.push((offset, text)),
            AnswerPart::Finished {
                tokens,
                cached_prompt_tokens,
                ..
            } => {
                caller.finished = Some((tokens, cached_prompt_tokens));
            }
            AnswerPart::Prefilled { .. } | AnswerPart::Failed { .. } => {}
        }
    }

    pub(super) fn end_caller(&mut self, caller: usize, end: CallerEnd) {
        let now = self.now;
        let caller = &mut self.callers.callers[caller];
        if caller.end.is_none() {
            caller.end = Some((now, end));
        }
    }
}
