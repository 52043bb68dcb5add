//! Engines that run whatever they are handed, as often as they are handed it.

use shelfjunction_core::engine::{EngineCall, Phase, RunState};
use shelfjunction_core::identity::{EngineId, RequestId};
use shelfjunction_core::request::specification::Target;
use std::collections::BTreeMap;

/// Output tokens of every answer.
pub const TOKENS: u32 = 3;

const ENGINES: u8 = 3;

/// Text of a token of the answer to a body.
pub fn text(body: u8, offset: u32) -> String {
    format!("answer {body} word {offset}")
}

/// One run that an engine began.
#[derive(Clone, Debug)]
pub struct RunLog {
    pub request: RequestId,
    pub phase: Phase,
}

#[derive(Clone, Debug, Default)]
pub struct Run {
    pub done: u32,
    pub failed: bool,
    pub body: u8,
}

#[derive(Debug, Default)]
struct Engine {
    incarnation: u64,
    runs: BTreeMap<RequestId, Run>,
}

/// All engines, and what they ever ran.
#[derive(Debug, Default)]
pub struct Engines {
    engines: BTreeMap<EngineId, Engine>,
    pub log: Vec<RunLog>,
}

impl Engines {
    pub fn new() -> Self {
        let engine = |number| (EngineId::new(format!("engine-{number}")), Engine::default());
        Self {
            engines: (0..ENGINES).map(engine).collect(),
            log: Vec::new(),
        }
    }

    pub fn name(number: u8) -> EngineId {
        EngineId::new(format!("engine-{}", number % ENGINES))
    }

    /// An engine that is not excluded.
    pub fn target(&self, fate: u8, excluded: &[EngineId]) -> Option<Target> {
        let candidates = (0..ENGINES).map(|number| Self::name(fate.wrapping_add(number)));
        let engine = candidates.into_iter().find(|engine| !excluded.contains(engine))?;
        Some(Target {
            incarnation: self.engines[&engine].incarnation,
            address: "127.0.0.1:1".parse().unwrap(),
            engine,
        })
    }

    pub fn accept(&mut self, engine: &EngineId, call: &EngineCall) {
        self.log.push(RunLog {
            request: call.request.clone(),
            phase: call.phase,
        });
        if call.phase == Phase::Whole {
            let run = Run {
                done: call.offset,
                failed: false,
                body: call.prompt.parse().unwrap(),
            };
            self.engine(engine).runs.insert(call.request.clone(), run);
        }
    }

    pub fn run(&mut self, engine: &EngineId, request: &RequestId) -> Option<&mut Run> {
        self.engine(engine).runs.get_mut(request)
    }

    pub fn cancel(&mut self, engine: &EngineId, request: &RequestId) {
        if let Some(run) = self.run(engine, request).filter(|run| run.done < TOKENS) {
            run.failed = true;
        }
    }

    pub fn finish_all(&mut self, engine: &EngineId) {
        for run in self.engine(engine).runs.values_mut().filter(|run| !run.failed) {
            run.done = TOKENS;
        }
    }

    pub fn crash(&mut self, engine: &EngineId) {
        let engine = self.engine(engine);
        engine.incarnation += 1;
        engine.runs.clear();
    }

    pub fn run_state(&mut self, engine: &EngineId, request: &RequestId) -> RunState {
        let engine = self.engine(engine);
        match engine.runs.get(request) {
            None => RunState::NeverSeen {
                incarnation: engine.incarnation,
            },
            Some(run) if run.failed => RunState::Failed,
            Some(run) if run.done >= TOKENS => RunState::Finished { tokens: TOKENS },
            Some(run) => RunState::Running { tokens: run.done },
        }
    }

    fn engine(&mut self, engine: &EngineId) -> &mut Engine {
        self.engines.get_mut(engine).unwrap()
    }
}
