//! Predicted goodput of a split of engines into roles.
//!
//! Engines form two paths: prefill engines that hand over to decode engines, and mixed engines. With `b` and `s` the
//! fixed and growing part of a decode step, `x` output tokens a second per engine and `u` the part of a mixed
//! engine's time that prompts take, a batch settles at `n = x b / (1 - u - x s)` sequences and a token takes
//! `(b + s n) / (1 - u)`. Prompts queue by class; the chance to start in time follows the exponential tail of a
//! queue at the load of the class and those above it. The part of the traffic on each path is the one that serves
//! most, as the router's cost steers it.

use super::input::RoleCounts;
use super::profile::EngineProfile;
use crate::bundle::content::ClassRule;
use crate::demand::DemandEntry;
use crate::service_class::{ClassTarget, ServiceClass};

/// Parts of the traffic on the split path that are tried.
const SPLIT_PARTS: [f64; 9] = [0.0, 0.125, 0.25, 0.375, 0.5, 0.625, 0.75, 0.875, 1.0];
/// Highest load at which a queue's tail is evaluated; beyond it, what does not fit is refused early.
const HIGHEST_LOAD: f64 = 0.97;
/// Prompts arrive in clumps; a queue behaves as if each prompt were this many times longer.
const CLUMPING: f64 = 2.0;
/// Relative width of the transition around a limit on time between tokens.
const TOKEN_TIME_SPREAD: f64 = 0.08;

/// Demand of one class on one model, per second, with the limits that make a request count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassDemand {
    /// The class.
    pub class: ServiceClass,
    /// Requests.
    pub requests: f64,
    /// Prompt tokens to compute.
    pub prefill_tokens: f64,
    /// Output tokens.
    pub output_tokens: f64,
    /// Limits.
    pub target: ClassTarget,
}

impl ClassDemand {
    /// Demand of an entry; absent when the class has no limits or nothing arrives.
    pub fn from_entry(entry: &DemandEntry, classes: &[ClassRule]) -> Option<Self> {
        let rule = classes.iter().find(|rule| rule.class == entry.class)?;
        if entry.requests <= 0.0 {
            return None;
        }
        Some(Self {
            class: entry.class,
            requests: entry.requests,
            prefill_tokens: entry.uncached_prompt_tokens,
            output_tokens: entry.output_tokens,
            target: rule.target,
        })
    }
}

/// Requests within their limits per second when the engines are split so; `demand` is sorted by class.
pub fn predicted_goodput(counts: RoleCounts, demand: &[ClassDemand], profile: &EngineProfile) -> f64 {
    let can_split = counts.prefill > 0 && counts.decode > 0;
    let can_mix = counts.mixed > 0;
    SPLIT_PARTS
        .into_iter()
        .filter(|part| (can_split || *part == 0.0) && (can_mix || *part == 1.0))
        .map(|part| {
            split_path(part, counts, demand, profile) + mixed_path(1.0 - part, counts.mixed, demand, profile)
        })
        .fold(0.0, f64::max)
}

fn split_path(part: f64, counts: RoleCounts, demand: &[ClassDemand], profile: &EngineProfile) -> f64 {
    if part == 0.0 {
        return 0.0;
    }
    let decode = DecodeState::settle(part, counts.decode, 0.0, demand, profile);
    let speed = profile.prefill_tokens_per_second;
    let starts = start_chances(part, f64::from(counts.prefill), speed, demand);
    let served = demand.iter().zip(starts).map(|(class, start)| {
        let in_time = below_limit(decode.token_seconds, token_limit(class));
        part * class.requests * start.min(decode.served) * in_time
    });
    served.sum()
}

fn mixed_path(part: f64, engines: u32, demand: &[ClassDemand], profile: &EngineProfile) -> f64 {
    if part == 0.0 || engines == 0 {
        return 0.0;
    }
    let token_seconds = profile.prefill_token_seconds();
    let prompt_tokens: f64 = demand.iter().map(|class| class.prefill_tokens).sum();
    let per_engine = part * prompt_tokens / f64::from(engines);
    let prompt_time = (per_engine * token_seconds).min(HIGHEST_LOAD);
    let decode = DecodeState::settle(part, engines, prompt_time, demand, profile);
    let busy_step = profile.decode_step(decode.sequences) + profile.prefill_chunk_tokens * token_seconds;
    let speed = profile.prefill_chunk_tokens / busy_step;
    let busy = (per_engine / speed).min(1.0);
    let starts = start_chances(part, f64::from(engines), speed, demand);
    let served = demand.iter().zip(starts).map(|(class, start)| {
        let limit = token_limit(class);
        let while_busy = below_limit(busy_step, limit);
        let while_idle = below_limit(profile.decode_step(decode.sequences), limit);
        let in_time = busy * while_busy + (1.0 - busy) * while_idle;
        part * class.requests * start.min(decode.served) * in_time
    });
    served.sum()
}

struct DecodeState {
    sequences: f64,
    token_seconds: f64,
    served: f64,
}

impl DecodeState {
    /// Where the batches of some engines settle when prompts take the given part of their time.
    fn settle(
        part: f64,
        engines: u32,
        prompt_time: f64,
        demand: &[ClassDemand],
        profile: &EngineProfile,
    ) -> Self {
        let output_tokens: f64 = demand.iter().map(|class| class.output_tokens).sum();
        let per_engine = part * output_tokens / f64::from(engines.max(1));
        let left = 1.0 - prompt_time;
        let slack = left - per_engine * profile.step_sequence_seconds;
        let wanted = if slack > 0.0 {
            per_engine * profile.step_base_seconds / slack
        } else {
            f64::INFINITY
        };
        let sequences = wanted.min(profile.batch_sequences);
        let token_seconds = profile.decode_step(sequences) / left;
        let most = sequences / token_seconds;
        let served = if per_engine > 0.0 {
            (most / per_engine).min(1.0)
        } else {
            1.0
        };
        Self {
            sequences,
            token_seconds,
            served,
        }
    }
}

/// For each class, the chance that its prompts are computed in time, what is refused early included.
fn start_chances(part: f64, engines: f64, speed: f64, demand: &[ClassDemand]) -> Vec<f64> {
    let capacity = engines * speed;
    let mut load = 0.0_f64;
    let mut chances = Vec::with_capacity(demand.len());
    for class in demand {
        let own = part * class.prefill_tokens / capacity;
        let room = (1.0 - load).max(0.0);
        let fits = if own > 0.0 { (room / own).min(1.0) } else { 1.0 };
        load += own;
        let prompt_seconds = class.prefill_tokens / class.requests / speed;
        chances.push(fits * in_time_chance(load, engines, prompt_seconds, class));
    }
    chances
}

fn in_time_chance(load: f64, engines: f64, prompt_seconds: f64, class: &ClassDemand) -> f64 {
    let load = load.min(HIGHEST_LOAD);
    let limit = class.target.first_token_millis.min(class.target.deadline_millis) as f64 / 1_000.0;
    let slack = limit - prompt_seconds;
    if slack <= 0.0 {
        return 0.0;
    }
    let drain_rate = (1.0 - load) * engines / (CLUMPING * prompt_seconds.max(f64::MIN_POSITIVE));
    1.0 - load * (-drain_rate * slack).exp()
}

fn token_limit(class: &ClassDemand) -> f64 {
    class.target.between_tokens_millis as f64 / 1_000.0
}

/// One well below the limit, zero well above it, one half at it.
fn below_limit(seconds: f64, limit: f64) -> f64 {
    let width = (limit * TOKEN_TIME_SPREAD).max(f64::MIN_POSITIVE);
    1.0 / (1.0 + ((seconds - limit) / width).exp())
}
