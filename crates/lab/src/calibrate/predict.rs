//! The model's course of the calls, as the simulator would run it.

use super::CallTimes;
use super::workload::PlannedCall;
use crate::engine::EngineConfig;
use shelfjunction_core::engine::EngineCall;
use shelfjunction_core::routing::prefix::{PrefixScope, hash_prompt};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::answer::AnswerSeed;
use shelfjunction_engine_model::{
    BatchEvent, BatchEventKind, EngineState, SequenceKey, SequenceWork, WorkTarget,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What the model says of one call so far.
struct Predicted {
    index: usize,
    arrived: MonotonicTime,
    first_token: Option<MonotonicTime>,
    output_tokens: u32,
}

/// The model's course of all calls.
pub struct Prediction {
    /// Times of each call in order; absent where the model refused it.
    pub times: Vec<Option<CallTimes>>,
    /// Real time that the model took, without the hashing of prompts.
    pub took: Duration,
}

/// Runs the calls through the model.
pub fn run(config: &EngineConfig, calls: &[PlannedCall]) -> Prediction {
    let works: Vec<SequenceWork> = calls.iter().map(|planned| work_of(&planned.call)).collect();
    let started = Instant::now();
    let times = run_engine(config, calls, works);
    Prediction {
        times,
        took: started.elapsed(),
    }
}

fn run_engine(
    config: &EngineConfig,
    calls: &[PlannedCall],
    works: Vec<SequenceWork>,
) -> Vec<Option<CallTimes>> {
    let mut engine = EngineState::new(config.name.clone(), 1, config.model.clone(), config.seed);
    let mut times = vec![None; calls.len()];
    let mut running = HashMap::new();
    let mut events = Vec::new();
    for (index, (planned, work)) in calls.iter().zip(works).enumerate() {
        let now = MonotonicTime::default() + planned.at.mul_f64(config.time_scale);
        engine.advance(now, &mut events);
        let target = WorkTarget {
            model: &planned.call.model,
            adapter: planned.call.adapter.as_ref(),
        };
        let output_tokens = work.output_tokens;
        if let Ok(key) = engine.submit(now, target, work) {
            let predicted = Predicted {
                index,
                arrived: now,
                first_token: None,
                output_tokens,
            };
            running.insert(key, predicted);
        }
        settle(&mut events, &mut running, &mut times, config.time_scale);
    }
    while let Some(next) = engine.next_event_at() {
        engine.advance(next, &mut events);
        settle(&mut events, &mut running, &mut times, config.time_scale);
    }
    times
}

fn settle(
    events: &mut Vec<BatchEvent>,
    running: &mut HashMap<SequenceKey, Predicted>,
    times: &mut [Option<CallTimes>],
    time_scale: f64,
) {
    for event in events.drain(..) {
        match event.kind {
            BatchEventKind::FirstToken => {
                if let Some(predicted) = running.get_mut(&event.key) {
                    predicted.first_token = Some(event.at);
                }
            }
            BatchEventKind::Finished { .. } => {
                if let Some(predicted) = running.remove(&event.key) {
                    times[predicted.index] = Some(predicted.times(event.at, time_scale));
                }
            }
            BatchEventKind::Prefilled => {}
        }
    }
}

impl Predicted {
    fn times(&self, finished: MonotonicTime, time_scale: f64) -> CallTimes {
        let first = self.first_token.unwrap_or(finished);
        let between = finished.since(first) / self.output_tokens.saturating_sub(1).max(1);
        CallTimes {
            first_token: real(first.since(self.arrived), time_scale),
            between_tokens: real(between, time_scale),
        }
    }
}

fn real(model_time: Duration, time_scale: f64) -> Duration {
    model_time.div_f64(time_scale)
}

fn work_of(call: &EngineCall) -> SequenceWork {
    let scope = PrefixScope {
        salt: &call.cache_salt,
        model: &call.model,
        adapter: call.adapter.as_ref(),
    };
    let blocks = hash_prompt(&scope, &call.prompt);
    let seed = AnswerSeed::new(&call.model, call.adapter.as_ref(), &call.prompt);
    SequenceWork {
        prompt_tokens: blocks.tokens,
        prompt_blocks: blocks.hashes.into(),
        output_tokens: seed.length(call.max_tokens),
        class: call.class,
        phase: call.phase,
        imported: false,
    }
}
