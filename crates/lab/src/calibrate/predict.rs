//! The model's course of the calls, as the simulator would run it.

use super::CallTimes;
use super::workload::PlannedCall;
use crate::engine::EngineConfig;
use shelfjunction_core::engine::{EngineCall, Phase, Role};
use shelfjunction_core::routing::prefix::{PrefixScope, hash_prompt};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_engine_model::answer::AnswerSeed;
use shelfjunction_engine_model::config::EngineKind;
use shelfjunction_engine_model::{
    BatchEvent, BatchEventKind, EngineState, SequenceKey, SequenceWork, WorkTarget,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The model's course of all calls.
pub struct Prediction {
    /// Times of each call in order; absent where the model refused it.
    pub times: Vec<Option<CallTimes>>,
    /// Real time that the model took, without the hashing of prompts.
    pub took: Duration,
}

/// One piece of work and when it reaches an engine, in model time.
struct Arrival {
    /// Position of the call among all.
    index: usize,
    at: MonotonicTime,
    work: SequenceWork,
}

/// What became of an arrival, in model time; a prefill has both at its end.
#[derive(Clone, Copy)]
struct Course {
    first_token: MonotonicTime,
    finished: MonotonicTime,
}

/// Runs the calls through one engine of the given role, or through a prefill and a decode engine.
pub fn run(config: &EngineConfig, split: bool, calls: &[PlannedCall]) -> Prediction {
    let works: Vec<SequenceWork> = calls.iter().map(|planned| work_of(&planned.call)).collect();
    let started = Instant::now();
    let courses = if split {
        run_split(config, calls, &works)
    } else {
        run_engine(config, None, calls, arrivals(config, calls, &works))
    };
    let took = started.elapsed();
    let times = courses.into_iter().enumerate().map(|(index, course)| {
        let arrived = arrival_time(config, &calls[index]);
        Some(call_times(
            course?,
            arrived,
            works[index].output_tokens,
            config.time_scale,
        ))
    });
    Prediction {
        times: times.collect(),
        took,
    }
}

/// The prefill engine knows nothing of the decode engine, so one runs after the other.
fn run_split(config: &EngineConfig, calls: &[PlannedCall], works: &[SequenceWork]) -> Vec<Option<Course>> {
    let mut prefills = arrivals(config, calls, works);
    for arrival in &mut prefills {
        arrival.work.phase = Phase::PrefillOnly;
        arrival.work.output_tokens = 0;
    }
    let prefilled = run_engine(config, Some(Role::Prefill), calls, prefills);
    let mut decodes: Vec<Arrival> = prefilled
        .iter()
        .enumerate()
        .filter_map(|(index, course)| {
            let mut work = works[index].clone();
            work.imported = true;
            let at = (*course)?.finished;
            Some(Arrival { index, at, work })
        })
        .collect();
    decodes.sort_by_key(|arrival| arrival.at);
    run_engine(config, Some(Role::Decode), calls, decodes)
}

fn arrivals(config: &EngineConfig, calls: &[PlannedCall], works: &[SequenceWork]) -> Vec<Arrival> {
    let arrival = |(index, work): (usize, &SequenceWork)| Arrival {
        index,
        at: arrival_time(config, &calls[index]),
        work: work.clone(),
    };
    works.iter().enumerate().map(arrival).collect()
}

/// Runs arrivals in order of time through one engine; courses come by position of the call.
fn run_engine(
    config: &EngineConfig,
    role: Option<Role>,
    calls: &[PlannedCall],
    arrivals: Vec<Arrival>,
) -> Vec<Option<Course>> {
    let mut engine = engine(config, role);
    let mut courses = vec![None; calls.len()];
    let mut running = HashMap::new();
    let mut events = Vec::new();
    for Arrival { index, at, work } in arrivals {
        engine.advance(at, &mut events);
        let call = &calls[index].call;
        let target = WorkTarget {
            model: &call.model,
            adapter: call.adapter.as_ref(),
        };
        if let Ok(key) = engine.submit(at, target, work) {
            running.insert(key, (index, None));
        }
        settle(&mut events, &mut running, &mut courses);
    }
    while let Some(next) = engine.next_event_at() {
        engine.advance(next, &mut events);
        settle(&mut events, &mut running, &mut courses);
    }
    courses
}

fn engine(config: &EngineConfig, as_role: Option<Role>) -> EngineState {
    let mut model = config.model.clone();
    if let (EngineKind::Model { role, .. }, Some(as_role)) = (&mut model.kind, as_role) {
        *role = as_role;
    }
    EngineState::new(config.name.clone(), 1, model, config.seed)
}

/// Calls that run: their position, and when their first token came.
type Running = HashMap<SequenceKey, (usize, Option<MonotonicTime>)>;

fn settle(events: &mut Vec<BatchEvent>, running: &mut Running, courses: &mut [Option<Course>]) {
    for event in events.drain(..) {
        if event.kind == BatchEventKind::FirstToken {
            if let Some((_, first)) = running.get_mut(&event.key) {
                *first = Some(event.at);
            }
            continue;
        }
        if let Some((index, first)) = running.remove(&event.key) {
            courses[index] = Some(Course {
                first_token: first.unwrap_or(event.at),
                finished: event.at,
            });
        }
    }
}

fn arrival_time(config: &EngineConfig, planned: &PlannedCall) -> MonotonicTime {
    MonotonicTime::default() + planned.at.mul_f64(config.time_scale)
}

fn call_times(course: Course, arrived: MonotonicTime, tokens: u32, time_scale: f64) -> CallTimes {
    let between = course.finished.since(course.first_token) / tokens.saturating_sub(1).max(1);
    CallTimes {
        first_token: course.first_token.since(arrived).div_f64(time_scale),
        between_tokens: between.div_f64(time_scale),
    }
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
