//! A world of callers, two gateways, a table and engines, in which anything may be late, lost or doubled.

pub mod engines;
mod joining;
mod late_claims;
mod oracle;
pub mod step;
mod streams;
mod table;

use engines::Engines;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::{EngineCall, EngineRefusal, EngineRefusalReason};
use shelfjunction_core::identity::{AttemptId, EngineId, ModelId, RequestId, TenantId};
use shelfjunction_core::ledger::batcher::{ClaimWrite, Ticket, WriteAnswer};
use shelfjunction_core::ledger::release::Release;
use shelfjunction_core::outcome::{Outcome, Refusal, RefusalReason};
use shelfjunction_core::request::event::{Action, Event};
use shelfjunction_core::request::machine::RequestMachine;
use shelfjunction_core::request::specification::{
    CourseLimits, Placement, RequestForm, RequestKey, RequestSpecification,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::table::PlatformError;
use shelfjunction_core::time::MonotonicTime;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use step::Step;
use table::Table;

/// Something that a course waits for.
#[derive(Clone, Debug)]
enum Question {
    Asked(Action),
    Stream {
        attempt: AttemptId,
        engine: EngineId,
        next: u32,
    },
}

/// One request on its way.
pub struct Course {
    pub machine: RequestMachine,
    pub request: RequestId,
    pub key: Option<u8>,
    pub body: u8,
    pub received: Vec<String>,
    pub outcome: Option<Outcome>,
    pub detached: bool,
    /// Runs that engines had begun when it started.
    pub runs_before: usize,
    gateway: usize,
    questions: VecDeque<Question>,
}

/// Everything there is.
pub struct World {
    pub courses: Vec<Course>,
    pub engines: Engines,
    table: Table,
    tickets: BTreeMap<(usize, Ticket), usize>,
    late_calls: Vec<(EngineId, EngineCall)>,
    now: MonotonicTime,
}

impl Default for World {
    fn default() -> Self {
        Self {
            courses: Vec::new(),
            engines: Engines::new(),
            table: Table::default(),
            tickets: BTreeMap::new(),
            late_calls: Vec::new(),
            now: MonotonicTime::default(),
        }
    }
}

impl World {
    pub fn apply(&mut self, step: &Step) {
        self.now = self.now + Duration::from_millis(10);
        match step {
            Step::Start { key, body, gateway } => self.start(*key, *body, usize::from(gateway % 2)),
            Step::Answer { course, fate } if !self.courses.is_empty() => {
                self.answer(usize::from(*course) % self.courses.len(), *fate);
            }
            Step::Caller { course, what } if !self.courses.is_empty() => {
                let event = match what % 3 {
                    0 => Event::CallerCancelled,
                    1 => Event::CallerGone,
                    _ => Event::DeadlineReached,
                };
                self.hand_in(usize::from(*course) % self.courses.len(), event);
            }
            Step::Answer { .. } | Step::Caller { .. } => {}
            Step::Table { fate } => self.step_table(*fate),
            Step::LateWrite { which } => self.table.late_write(*which),
            Step::LateCall { which } => self.late_call(*which),
            Step::Finish { engine } => self.engines.finish_all(&Engines::name(*engine)),
            Step::Crash { engine } => {
                let engine = Engines::name(*engine);
                // Bytes that the dead process had not read die with it.
                self.late_calls.retain(|(target, _)| *target != engine);
                self.engines.crash(&engine);
            }
        }
    }

    /// Lets everything end that can, then lets the deadline come and every late call arrive.
    pub fn run_out(&mut self) {
        for round in 0..40 {
            self.now = self.now + Duration::from_millis(10);
            self.step_table(9);
            for course in 0..self.courses.len() {
                self.answer(course, 9 + round);
            }
        }
        for course in 0..self.courses.len() {
            self.hand_in(course, Event::DeadlineReached);
        }
        for _ in 0..4 {
            self.now = self.now + Duration::from_millis(10);
            self.step_table(9);
        }
        self.table.late_writes();
        while !self.late_calls.is_empty() {
            self.late_call(0);
        }
    }

    fn start(&mut self, key: Option<u8>, body: u8, gateway: usize) {
        let request = RequestId::new(format!("request-{}", self.courses.len()));
        let specification = RequestSpecification {
            form: RequestForm::Text,
            request: request.clone(),
            tenant: TenantId::new("tenant"),
            model: ModelId::new("model"),
            adapter: None,
            kind: ModelKind::Model,
            class: ServiceClass::Standard,
            prompt: body.to_string(),
            max_tokens: engines::TOKENS,
            cache_salt: String::new(),
            key: key.map(|key| RequestKey {
                key_digest: format!("key-{key}"),
                body_digest: format!("body-{body}"),
            }),
            deadline: self.now + Duration::from_secs(60),
            admitted_unix_seconds: 0,
        };
        let limits = CourseLimits {
            questions: 3,
            ..CourseLimits::default()
        };
        self.courses.push(Course {
            machine: RequestMachine::new(specification, limits),
            request,
            key,
            body,
            received: Vec::new(),
            outcome: None,
            detached: false,
            runs_before: self.engines.log.len(),
            gateway,
            questions: VecDeque::new(),
        });
        self.hand_in(self.courses.len() - 1, Event::Admitted);
    }

    fn hand_in(&mut self, course: usize, event: Event) {
        let actions = self.courses[course].machine.handle(event, self.now);
        for action in actions {
            self.carry_out(course, action);
        }
    }

    fn carry_out(&mut self, index: usize, action: Action) {
        let course = &mut self.courses[index];
        match action {
            Action::Emit(part) => {
                if let shelfjunction_core::engine::AnswerPart::Token { text, .. } = part {
                    course.received.push(text);
                }
            }
            Action::Finish(outcome) => {
                assert!(course.outcome.is_none() && !course.detached, "two ends");
                course.outcome = Some(outcome);
            }
            Action::Detach => course.detached = true,
            Action::Cancel { engine } => {
                let request = course.machine.specification().request.clone();
                self.engines.cancel(&engine, &request);
            }
            Action::Claim { key, row, expected } => {
                let write = ClaimWrite {
                    key,
                    expected,
                    value: Some(row.text()),
                };
                let ticket = self.table.submit(course.gateway, write, self.now);
                self.tickets.insert((course.gateway, ticket), index);
            }
            Action::LookUpClaim { key } => {
                let write = ClaimWrite::look_up(key);
                let ticket = self.table.submit(course.gateway, write, self.now);
                self.tickets.insert((course.gateway, ticket), index);
            }
            Action::Settle { key, row, expected } => {
                let write = ClaimWrite {
                    key,
                    expected: Some(expected),
                    value: Some(row.text()),
                };
                self.table.submit(course.gateway, write, self.now);
            }
            Action::Release(release) => self.release(&release),
            question => course.questions.push_back(Question::Asked(question)),
        }
    }

    fn release(&mut self, release: &Release) {
        let found = self.table.read(&release.key);
        let write = release.write_unread().or_else(|| release.write_over(found));
        if let Some(write) = write {
            self.table.transact(&write.transaction());
        }
    }

    fn step_table(&mut self, fate: u8) {
        let (gateway, answers) = self.table.step(fate, self.now);
        for (ticket, answer) in answers {
            if let Some(course) = self.tickets.remove(&(gateway, ticket)) {
                let event = match answer {
                    WriteAnswer::Committed { version } => Event::ClaimCommitted { version },
                    WriteAnswer::Absent => Event::ClaimAbsent,
                    WriteAnswer::Exists(claim) => Event::ClaimExists(claim),
                    WriteAnswer::Gone => Event::ClaimFailed(PlatformError::Malformed("gone".to_owned())),
                    WriteAnswer::Failed(error) => Event::ClaimFailed(error),
                };
                self.hand_in(course, event);
            }
        }
    }

    fn late_call(&mut self, which: u8) {
        if !self.late_calls.is_empty() {
            let index = usize::from(which) % self.late_calls.len();
            let (engine, call) = self.late_calls.swap_remove(index);
            self.engines.accept(&engine, &call);
        }
    }

    fn answer(&mut self, index: usize, fate: u8) {
        let Some(question) = self.courses[index].questions.pop_front() else {
            return;
        };
        match question {
            Question::Stream {
                attempt,
                engine,
                next,
            } => self.read_stream(index, attempt, engine, next, fate),
            Question::Asked(action) => self.answer_action(index, action, fate),
        }
    }

    fn answer_action(&mut self, index: usize, action: Action, fate: u8) {
        match action {
            Action::Choose {
                excluded, whole_only, ..
            } => {
                let event = self.choose(&excluded, whole_only, fate);
                self.hand_in(index, event);
            }
            Action::AskRetry { .. } => {
                let event = match fate % 8 {
                    0 => Event::RetryDenied,
                    _ => Event::RetryGranted { not_before: self.now },
                };
                self.hand_in(index, event);
            }
            Action::AskRunState { engine, .. } => {
                let request = self.courses[index].machine.specification().request.clone();
                let event = match fate % 4 {
                    0 => Event::RunStateUnavailable { engine },
                    _ => Event::RunStateKnown {
                        state: self.engines.run_state(&engine, &request),
                        engine,
                    },
                };
                self.hand_in(index, event);
            }
            Action::Dispatch {
                target,
                call,
                not_after,
            } => {
                assert!(self.now <= not_after, "sent after its time");
                self.dispatch(index, &target.engine, &call, fate);
            }
            Action::Resume {
                engine,
                attempt,
                offset,
            } => self.resume(index, engine, attempt, offset, fate),
            other => panic!("nobody asked {other:?}"),
        }
    }

    fn choose(&self, excluded: &[EngineId], whole_only: bool, fate: u8) -> Event {
        let Some(first) = self
            .engines
            .target(fate, excluded)
            .filter(|_| !fate.is_multiple_of(11))
        else {
            return Event::Nowhere(Refusal {
                reason: RefusalReason::EnginesRefused,
                retry_after: None,
            });
        };
        let mut taken = excluded.to_vec();
        taken.push(first.engine.clone());
        match self.engines.target(fate, &taken) {
            Some(decode) if !whole_only && fate.is_multiple_of(3) => Event::Placed(Placement::Split {
                prefill: first,
                decode,
            }),
            _ => Event::Placed(Placement::Whole(first)),
        }
    }

    fn dispatch(&mut self, index: usize, engine: &EngineId, call: &EngineCall, fate: u8) {
        let attempt = call.attempt.clone();
        let event = match fate % 12 {
            0 => Event::NotSent { attempt },
            1 => Event::DispatchTooLate { attempt },
            2 | 3 => Event::Refused {
                attempt,
                refusal: EngineRefusal {
                    reason: [EngineRefusalReason::Draining, EngineRefusalReason::TransferGone]
                        [usize::from(fate % 2)],
                    retry_after_millis: 0,
                },
            },
            4 => Event::Ambiguous { attempt },
            5 => {
                self.late_calls.push((engine.clone(), call.clone()));
                Event::Ambiguous { attempt }
            }
            6 => {
                self.engines.accept(engine, call);
                Event::Ambiguous { attempt }
            }
            _ => {
                self.engines.accept(engine, call);
                self.hand_in(
                    index,
                    Event::Opened {
                        attempt: attempt.clone(),
                    },
                );
                self.open_stream(index, engine.clone(), attempt, call);
                return;
            }
        };
        self.hand_in(index, event);
    }
}
