//! Calls of a calibration run: drawn from a seed, with planned arrival times.

use crate::engine::EngineConfig;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use shelfjunction_core::engine::{EngineCall, Phase};
use shelfjunction_core::identity::{AttemptId, ModelId, RequestId};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_engine_model::config::EngineKind;
use std::time::Duration;

/// Words of a prompt.
const PROMPT_WORDS: std::ops::Range<usize> = 40..1_600;

/// Output tokens at most.
const MAXIMUM_TOKENS: std::ops::Range<u32> = 8..160;

/// Words of the prefix that some prompts share.
const SHARED_WORDS: usize = 320;

/// Part of all prompts that begin with a shared prefix.
const SHARED_PART: f64 = 0.3;

/// Shared prefixes.
const FAMILIES: u32 = 4;

/// One call and when it arrives, from the start of the run.
#[derive(Clone, Debug)]
pub struct PlannedCall {
    pub at: Duration,
    pub call: EngineCall,
}

/// Draws calls that arrive at random with a mean rate per second.
pub fn draw(config: &EngineConfig, calls: usize, rate: f64, seed: u64) -> Vec<PlannedCall> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let Ok(gaps) = Exp::new(rate) else {
        return Vec::new();
    };
    let model = model_of(config);
    let mut at = Duration::ZERO;
    let mut planned = Vec::with_capacity(calls);
    for number in 0..calls {
        at += Duration::from_secs_f64(gaps.sample(&mut random));
        let request = RequestId::new(format!("calibrate-{seed}-{rate}-{number}"));
        planned.push(PlannedCall {
            at,
            call: draw_call(&model, request, seed, &mut random),
        });
    }
    planned
}

fn draw_call(model: &ModelId, request: RequestId, seed: u64, random: &mut ChaCha8Rng) -> EngineCall {
    let class = match random.random_range(0..3) {
        0 => ServiceClass::Interactive,
        1 => ServiceClass::Standard,
        _ => ServiceClass::Batch,
    };
    EngineCall {
        prompt: draw_prompt(request.as_str(), random),
        request,
        attempt: AttemptId::new("1"),
        model: model.clone(),
        adapter: None,
        max_tokens: random.random_range(MAXIMUM_TOKENS),
        class,
        // A salt of its own, so that nothing is cached from an earlier run.
        cache_salt: format!("calibrate-{seed}"),
        phase: Phase::Whole,
        import: None,
        offset: 0,
    }
}

fn draw_prompt(own: &str, random: &mut ChaCha8Rng) -> String {
    let words = random.random_range(PROMPT_WORDS);
    let shared = random.random_bool(SHARED_PART);
    let family = random.random_range(0..FAMILIES);
    let mut prompt = String::new();
    for position in 0..words {
        if shared && position < SHARED_WORDS {
            prompt.push_str(&format!("f{family}w{position} "));
        } else {
            prompt.push_str(&format!("{own}w{position} "));
        }
    }
    prompt
}

fn model_of(config: &EngineConfig) -> ModelId {
    match &config.model.kind {
        EngineKind::Model { weights, .. } => weights
            .first()
            .map_or_else(|| ModelId::new("none"), |weights| weights.model.clone()),
        EngineKind::Application { application } => application.clone(),
    }
}
