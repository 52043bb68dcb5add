//! Predicted goodput of a split of engines into roles.
//!
//! Prompts run on prefill and mixed engines, outputs on decode and mixed ones; the parts that go to the mixed ones
//! are those that serve most, as the router's cost steers them. With `b` and `s` the fixed and growing part of a
//! decode step, `x` output tokens a second per engine and `u` the part of a mixed engine's time that prompts take, a
//! batch settles at `n = x b / (1 - u - x s)` sequences. A token takes `b + s n` while no prompt is computed and a
//! whole chunk longer while one is; a class is in time when the mean over its output stays below its limit. Prompts
//! queue by class; the chance to start in time follows the exponential tail of a queue at the load of the class
//! and those above it.

use super::input::RoleCounts;
use super::profile::EngineProfile;
use crate::bundle::content::ClassRule;
use crate::demand::DemandEntry;
use crate::service_class::{ClassTarget, ServiceClass};

/// Steps in which the parts that go to mixed engines are tried.
const PART_STEPS: u32 = 6;
/// Highest load at which a queue's tail is evaluated; beyond it, what does not fit is refused early.
const HIGHEST_LOAD: f64 = 0.97;
/// Prompts arrive in clumps; a queue behaves as if each prompt were this many times longer.
const CLUMPING: f64 = 2.0;
/// Relative width of the transition around a limit on time between tokens.
const TOKEN_TIME_SPREAD: f64 = 0.08;

/// Standard deviations of a normal distribution per unit of the logistic curve that stands for it.
const LOGISTIC_WIDTH: f64 = 1.7;

/// Part of a batch's places that can be in use on average before some wait for one.
const USABLE_PLACES: f64 = 0.8;

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

    fn scaled(&self, factor: f64) -> Self {
        Self {
            requests: self.requests * factor,
            prefill_tokens: self.prefill_tokens * factor,
            output_tokens: self.output_tokens * factor,
            ..*self
        }
    }
}

/// Requests within their limits per second when the engines are split so; `demand` is sorted by class.
pub fn predicted_goodput(counts: RoleCounts, demand: &[ClassDemand], profile: &EngineProfile) -> f64 {
    if !counts.serves_whole_requests() {
        return 0.0;
    }
    let model = Model {
        counts,
        demand,
        profile,
    };
    let prompt_parts = parts(counts.prefill, counts.mixed);
    let output_parts = parts(counts.decode, counts.mixed);
    let mut best = Placement {
        prompts_on_mixed: middle(&prompt_parts),
        outputs_on_mixed: middle(&output_parts),
    };
    let mut highest = model.goodput(best);
    let searches = [
        (&prompt_parts, true),
        (&output_parts, false),
        (&prompt_parts, true),
    ];
    for (parts, is_prompts) in searches {
        for part in parts {
            let mut tried = best;
            *tried.part(is_prompts) = *part;
            let goodput = model.goodput(tried);
            if goodput > highest {
                highest = goodput;
                best = tried;
            }
        }
    }
    highest
}

/// Parts of a phase that may go to mixed engines, given how many engines serve it alone and mixed.
fn parts(alone: u32, mixed: u32) -> Vec<f64> {
    match (alone, mixed) {
        (_, 0) => vec![0.0],
        (0, _) => vec![1.0],
        _ => (0..=PART_STEPS)
            .map(|step| f64::from(step) / f64::from(PART_STEPS))
            .collect(),
    }
}

fn middle(parts: &[f64]) -> f64 {
    parts.get(parts.len() / 2).copied().unwrap_or(0.0)
}

/// Parts of prompts and outputs that mixed engines serve.
#[derive(Clone, Copy, Debug)]
struct Placement {
    prompts_on_mixed: f64,
    outputs_on_mixed: f64,
}

impl Placement {
    fn part(&mut self, is_prompts: bool) -> &mut f64 {
        if is_prompts {
            &mut self.prompts_on_mixed
        } else {
            &mut self.outputs_on_mixed
        }
    }
}

struct Model<'a> {
    counts: RoleCounts,
    demand: &'a [ClassDemand],
    profile: &'a EngineProfile,
}

impl Model<'_> {
    fn goodput(&self, placement: Placement) -> f64 {
        let served = self.served_demand(placement);
        let loads = self.loads(placement, &served);
        let profile = self.profile;
        let idle_step = profile.decode_step(loads.shared_sequences);
        let busy_step = idle_step + profile.prefill_chunk_tokens * profile.prefill_token_seconds();
        let shared_speed = profile.prefill_chunk_tokens / busy_step;
        let busy = (loads.prompts_per_mixed / shared_speed).min(1.0);
        let alone_step = profile.decode_step(loads.alone_sequences);
        let starts = self.starts(placement.prompts_on_mixed, shared_speed, &served);
        let run_steps = mean_prompt_steps(&served, profile);
        let good = served.iter().zip(starts).map(|(class, start)| {
            let limit = token_limit(class);
            let steps = class.output_tokens / class.requests;
            let on_shared = mean_below_limit(idle_step, busy_step, busy, steps / run_steps, limit);
            let on_alone = below_limit(alone_step, limit);
            let part = placement.outputs_on_mixed;
            class.requests * start * (part * on_shared + (1.0 - part) * on_alone)
        });
        good.sum()
    }

    /// Demand that fits, the higher classes first: what does not fit waits at the gateways and is refused there.
    fn served_demand(&self, placement: Placement) -> Vec<ClassDemand> {
        let mut room = [1.0_f64; 3];
        let mut served = Vec::with_capacity(self.demand.len());
        for class in self.demand {
            let uses = self.uses(placement, class);
            let fits = room.iter().zip(uses).map(|(room, own)| {
                if own > 0.0 {
                    (room * HIGHEST_LOAD / own).min(1.0)
                } else {
                    1.0
                }
            });
            let fits = fits.fold(1.0, f64::min);
            for (room, own) in room.iter_mut().zip(uses) {
                *room = (*room - fits * own).max(0.0);
            }
            if fits > 0.0 {
                served.push(class.scaled(fits));
            }
        }
        served
    }

    /// Parts of the prefill, decode and mixed engines' time that a class uses.
    fn uses(&self, placement: Placement, class: &ClassDemand) -> [f64; 3] {
        let profile = self.profile;
        let places = profile.batch_sequences * USABLE_PLACES;
        let output_seconds = profile.decode_step(places) / places;
        let prompts = (1.0 - placement.prompts_on_mixed) * class.prefill_tokens;
        let outputs = (1.0 - placement.outputs_on_mixed) * class.output_tokens;
        let mixed = placement.prompts_on_mixed * class.prefill_tokens * profile.prefill_token_seconds()
            + placement.outputs_on_mixed * class.output_tokens * output_seconds;
        [
            per_engine(
                prompts / profile.prefill_tokens_per_second,
                f64::from(self.counts.prefill),
            ),
            per_engine(outputs * output_seconds, f64::from(self.counts.decode)),
            per_engine(mixed, f64::from(self.counts.mixed)),
        ]
    }

    fn loads(&self, placement: Placement, served: &[ClassDemand]) -> Loads {
        let prompt_tokens: f64 = served.iter().map(|class| class.prefill_tokens).sum();
        let output_tokens: f64 = served.iter().map(|class| class.output_tokens).sum();
        let mixed = f64::from(self.counts.mixed);
        let prompts_per_mixed = per_engine(placement.prompts_on_mixed * prompt_tokens, mixed);
        let prompt_time = prompts_per_mixed * self.profile.prefill_token_seconds();
        let shared = per_engine(placement.outputs_on_mixed * output_tokens, mixed);
        let alone_part = 1.0 - placement.outputs_on_mixed;
        let alone = per_engine(alone_part * output_tokens, f64::from(self.counts.decode));
        Loads {
            prompts_per_mixed,
            shared_sequences: settled_sequences(shared, 1.0 - prompt_time, self.profile),
            alone_sequences: settled_sequences(alone, 1.0, self.profile),
        }
    }

    /// For each class, the chance that its prompts are computed in time on either kind of engine.
    fn starts(&self, part_on_mixed: f64, shared_speed: f64, served: &[ClassDemand]) -> Vec<f64> {
        let mixed = f64::from(self.counts.mixed);
        let on_mixed = start_chances(part_on_mixed, mixed, shared_speed, served);
        let prefill = f64::from(self.counts.prefill);
        let speed = self.profile.prefill_tokens_per_second;
        let on_prefill = start_chances(1.0 - part_on_mixed, prefill, speed, served);
        let both = on_mixed.into_iter().zip(on_prefill);
        both.map(|(mixed, prefill)| part_on_mixed * mixed + (1.0 - part_on_mixed) * prefill)
            .collect()
    }
}

/// What engines carry.
struct Loads {
    /// Prompt tokens a second on each mixed engine.
    prompts_per_mixed: f64,
    /// Sequences that decode on each mixed engine.
    shared_sequences: f64,
    /// Sequences that decode on each decode engine.
    alone_sequences: f64,
}

fn per_engine(amount: f64, engines: f64) -> f64 {
    if engines > 0.0 { amount / engines } else { 0.0 }
}

/// Steps that computing one prompt takes, seen from an output token: long prompts take more of the time.
fn mean_prompt_steps(demand: &[ClassDemand], profile: &EngineProfile) -> f64 {
    let (mut weighted, mut tokens) = (0.0, 0.0);
    for class in demand {
        weighted += class.prefill_tokens * class.prefill_tokens / class.requests;
        tokens += class.prefill_tokens;
    }
    if tokens > 0.0 {
        (weighted / tokens / profile.prefill_chunk_tokens).max(1.0)
    } else {
        1.0
    }
}

/// Chance that the mean over some independent stretches, each busy or idle, stays below the limit.
fn mean_below_limit(idle_step: f64, busy_step: f64, busy: f64, stretches: f64, limit: f64) -> f64 {
    let mean = idle_step + busy * (busy_step - idle_step);
    let variance = busy * (1.0 - busy) * (busy_step - idle_step).powi(2) / stretches.max(1.0);
    let least = limit * TOKEN_TIME_SPREAD;
    let width = variance.sqrt().max(least) / LOGISTIC_WIDTH;
    1.0 / (1.0 + ((mean - limit) / width).exp())
}

/// Sequences at which a batch settles under a rate of output tokens; a full batch when it never does.
fn settled_sequences(output_tokens: f64, left: f64, profile: &EngineProfile) -> f64 {
    let most = profile.batch_sequences;
    let slack = left - output_tokens * profile.step_sequence_seconds;
    if slack <= 0.0 {
        return most;
    }
    (output_tokens * profile.step_base_seconds / slack).min(most)
}

/// For each class, the chance that its prompts are computed in time, what is refused early included.
fn start_chances(part: f64, engines: f64, speed: f64, demand: &[ClassDemand]) -> Vec<f64> {
    if engines == 0.0 {
        return vec![0.0; demand.len()];
    }
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
