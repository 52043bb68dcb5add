//! A whole engine with request identities and answer texts.

use crate::answer::{AnswerSeed, receipt_length};
use crate::call::{export_binding, work_of};
use crate::config::{EngineKind, EngineModelConfig};
use crate::exports::{ExportTable, KvExport};
use crate::faults::EngineFaults;
use crate::runs::{Run, RunNumber, RunProgress, RunTable};
use crate::sequence::{BatchEvent, BatchEventKind};
use crate::state::{EngineState, WorkTarget};
use shelfjunction_core::engine::{
    AnswerPart, EngineCall, EngineRefusal, EngineStatus, KvEvent, Order, OrderReply, RunRecord, RunState,
};
use shelfjunction_core::identity::{EngineId, OrderId, RequestId};
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// The next part of a run's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextPart {
    /// This part; [`AnswerPart::Token`] is followed by others.
    Part(AnswerPart),
    /// None yet.
    Wait,
    /// The engine does not know the run any more: it restarted or dropped the answer.
    Gone,
}

/// An engine as callers and controllers see it.
#[derive(Debug)]
pub struct EngineModel {
    state: EngineState,
    incarnation: u64,
    runs: RunTable,
    exports: ExportTable,
    next_export: u64,
    log: VecDeque<RunRecord>,
    scratch: Vec<BatchEvent>,
}

impl EngineModel {
    /// An engine at its first start; `seed` decides which cache events are lost.
    pub fn new(engine: EngineId, incarnation: u64, config: EngineModelConfig, seed: u64) -> Self {
        let limits = config.limits;
        Self {
            state: EngineState::new(engine, incarnation, config, seed),
            incarnation,
            runs: RunTable::new(limits.retained_answers, limits.logged_runs, 1),
            exports: ExportTable::default(),
            next_export: 1,
            log: VecDeque::new(),
            scratch: Vec::new(),
        }
    }

    /// The engine below, counted in tokens.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Sets the faults from now on.
    pub fn set_faults(&mut self, faults: EngineFaults) {
        self.state.set_faults(faults);
    }

    /// Begins a call, or refuses it before any of it ran. `import` is the KV cache that the call names, when fetched.
    pub fn call(
        &mut self,
        now: MonotonicTime,
        call: &EngineCall,
        import: Option<&KvExport>,
    ) -> Result<RunNumber, EngineRefusal> {
        self.advance(now);
        let seed = AnswerSeed::new(&call.model, call.adapter.as_ref(), &call.prompt);
        let total = self.answer_length(call, seed);
        let work = work_of(call, total, import)?;
        let prompt_tokens = work.prompt_tokens;
        let target = WorkTarget {
            model: &call.model,
            adapter: call.adapter.as_ref(),
        };
        let key = self.state.submit(now, target, work)?;
        self.record(call);
        Ok(self.runs.begin(Run {
            request: call.request.clone(),
            seed,
            first_offset: call.offset,
            total,
            prompt_tokens,
            binding: export_binding(call),
            progress: RunProgress::Running(key),
        }))
    }

    /// Brings everything up to `now`.
    pub fn advance(&mut self, now: MonotonicTime) {
        let mut events = std::mem::take(&mut self.scratch);
        self.state.advance(now, &mut events);
        if self.state.incarnation() != self.incarnation {
            self.forget_runs();
        }
        for event in events.drain(..) {
            self.apply(&event);
        }
        self.scratch = events;
        self.exports.expire(now);
    }

    /// When the next part may be there.
    pub fn next_step_at(&self) -> Option<MonotonicTime> {
        self.state.next_step_at()
    }

    /// When something other than token counts may change.
    pub fn next_event_at(&self) -> Option<MonotonicTime> {
        self.state.next_event_at()
    }

    /// The part that follows the first `cursor` output tokens.
    pub fn next_part(&self, number: RunNumber, cursor: u32) -> NextPart {
        let Some(run) = self.runs.get(number) else {
            return NextPart::Gone;
        };
        if matches!(
            run.progress,
            RunProgress::Running(_) | RunProgress::Finished { .. }
        ) && cursor < self.ready_tokens(run)
        {
            return NextPart::Part(AnswerPart::Token {
                request: run.request.clone(),
                offset: cursor,
                text: run.seed.token(cursor),
            });
        }
        last_part(run)
    }

    /// The latest run of a request, whose answer can be read again.
    pub fn find_run(&self, request: &RequestId) -> Option<RunNumber> {
        self.runs.latest(request)
    }

    /// What is known of a request.
    pub fn run_state(&self, request: &RequestId) -> RunState {
        let known = self.runs.state(request, |run| self.ready_tokens(run));
        known.unwrap_or(RunState::NeverSeen {
            incarnation: self.incarnation,
        })
    }

    /// Cancels the latest run of a request, unless it has ended, and gives its state after that.
    pub fn cancel(&mut self, now: MonotonicTime, request: &RequestId) -> RunState {
        self.advance(now);
        if let Some(number) = self.runs.latest(request)
            && let Some(RunProgress::Running(key)) = self.runs.get(number).map(|run| run.progress.clone())
        {
            self.state.cancel(now, key);
            self.runs.end(number, RunProgress::Failed { reason: "cancelled" });
        }
        self.run_state(request)
    }

    /// The export under a handle, if it is still held.
    pub fn fetch_export(&mut self, now: MonotonicTime, handle: &str) -> Option<KvExport> {
        self.advance(now);
        self.exports.fetch(handle)
    }

    /// Answers an order; `queue` is the weight store's wait.
    pub fn order(&mut self, now: MonotonicTime, order: &Order, queue: Duration) -> OrderReply {
        self.advance(now);
        let held = self.exports.unfetched();
        self.state.order(order, held, queue, now)
    }

    /// Sets when the load begun by an order is done, as soon as the weight store has told its wait.
    pub fn weights_arrive(&mut self, now: MonotonicTime, order: &OrderId, wait: Duration) {
        self.advance(now);
        self.state.weights_arrive(order, wait, now);
    }

    /// What the engine says of itself.
    pub fn status(&mut self, now: MonotonicTime) -> EngineStatus {
        self.advance(now);
        self.state.status(now)
    }

    /// Cache events after a sequence number, as far as they can be read yet.
    pub fn kv_events(&mut self, now: MonotonicTime, after: u64) -> Vec<KvEvent> {
        self.advance(now);
        self.state.kv_events(after, now)
    }

    /// Ends the engine's process and starts the next one, empty.
    pub fn crash(&mut self) {
        self.state.crash();
        self.forget_runs();
    }

    /// Every call begun, also before crashes, for an oracle.
    pub fn log(&self) -> impl Iterator<Item = &RunRecord> {
        self.log.iter()
    }

    fn answer_length(&self, call: &EngineCall, seed: AnswerSeed) -> u32 {
        match self.state.config().kind {
            EngineKind::Model { .. } => seed.length(call.max_tokens),
            EngineKind::Application { .. } => receipt_length(call.max_tokens),
        }
    }

    fn record(&mut self, call: &EngineCall) {
        if self.log.len() >= self.state.config().limits.logged_runs as usize {
            self.log.pop_front();
        }
        self.log.push_back(RunRecord {
            request: call.request.clone(),
            attempt: call.attempt.clone(),
            tenant: None,
        });
    }

    /// Output tokens from the answer's start that can be read.
    fn ready_tokens(&self, run: &Run) -> u32 {
        match run.progress {
            RunProgress::Running(key) => {
                let produced = self.state.produced(key).unwrap_or(0);
                if produced == 0 {
                    0
                } else {
                    (run.first_offset + produced).min(run.total)
                }
            }
            RunProgress::Finished { .. } => run.total,
            RunProgress::Prefilled { .. } | RunProgress::Failed { .. } => 0,
        }
    }

    fn apply(&mut self, event: &BatchEvent) {
        let Some(number) = self.runs.number_of(event.key) else {
            return;
        };
        match event.kind {
            BatchEventKind::FirstToken => {}
            BatchEventKind::Finished { cached_prompt_tokens } => {
                self.runs
                    .end(number, RunProgress::Finished { cached_prompt_tokens });
            }
            BatchEventKind::Prefilled => self.hold_export(number, event.at),
        }
    }

    fn hold_export(&mut self, number: RunNumber, at: MonotonicTime) {
        let Some(run) = self.runs.get(number) else {
            return;
        };
        let handle = format!(
            "{}-{}-{}",
            self.state.engine(),
            self.incarnation,
            self.next_export
        );
        self.next_export += 1;
        let retention = self.state.config().reports.export_retention_millis;
        let export = KvExport {
            handle: handle.clone(),
            binding: run.binding,
            prompt_tokens: run.prompt_tokens,
        };
        self.exports.hold(export, at + Duration::from_millis(retention));
        self.runs.end(number, RunProgress::Prefilled { handle });
    }

    fn forget_runs(&mut self) {
        let limits = self.state.config().limits;
        let next = self.runs.next_number();
        self.incarnation = self.state.incarnation();
        self.runs = RunTable::new(limits.retained_answers, limits.logged_runs, next);
        self.exports.clear();
    }
}

/// The part that ends a run's answer, when it has ended.
fn last_part(run: &Run) -> NextPart {
    let request = run.request.clone();
    match &run.progress {
        RunProgress::Running(_) => NextPart::Wait,
        RunProgress::Finished { cached_prompt_tokens } => NextPart::Part(AnswerPart::Finished {
            request,
            tokens: run.total,
            cached_prompt_tokens: *cached_prompt_tokens,
        }),
        RunProgress::Prefilled { handle } => NextPart::Part(AnswerPart::Prefilled {
            request,
            handle: handle.clone(),
        }),
        RunProgress::Failed { reason } => NextPart::Part(AnswerPart::Failed {
            request,
            reason: (*reason).to_owned(),
        }),
    }
}
