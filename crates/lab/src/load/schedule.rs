//! The calls of a run, made before it starts.

use super::plan::{LengthDistribution, LoadPlan, Mix};
use rand::distr::{Distribution, weighted::WeightedIndex};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Exp, LogNormal};
use std::time::Duration;

/// Longest prompt or output that is drawn, in tokens.
const MAXIMUM_TOKENS: f64 = 100_000.0;

/// Words a prompt is made of.
const WORDS: [&str; 8] = [
    "repeat", "renewal", "history", "dose", "line", "speaker", "timing", "glossary",
];

/// One call to come.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedCall {
    /// Position in the schedule.
    pub index: usize,
    /// Intended start, from the start of the run.
    pub at: Duration,
    /// Position of the mix in the plan.
    pub mix: usize,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Output tokens asked for.
    pub output_tokens: u32,
    /// Whether the call goes to an engine without a gateway.
    pub direct: bool,
    /// Seed of the prompt's words.
    pub prompt_seed: u64,
}

/// Why no schedule can be made.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduleError {
    /// The rate is not a positive number.
    Rate(f64),
    /// The shares are not numbers of which at least one is positive.
    Shares,
    /// A mix's lengths are not positive numbers with a spread of zero or more.
    Lengths {
        /// The mix.
        mix: String,
    },
}

/// Draws every call of the run: Poisson arrivals, mixes by share, log-normal lengths.
pub fn generate(plan: &LoadPlan) -> Result<Vec<PlannedCall>, ScheduleError> {
    let gaps =
        Exp::new(plan.requests_per_second).map_err(|_| ScheduleError::Rate(plan.requests_per_second))?;
    if plan.requests_per_second <= 0.0 {
        return Err(ScheduleError::Rate(plan.requests_per_second));
    }
    let mixes =
        WeightedIndex::new(plan.mixes.iter().map(|mix| mix.share)).map_err(|_| ScheduleError::Shares)?;
    let lengths: Vec<MixLengths> = plan.mixes.iter().map(MixLengths::new).collect::<Result<_, _>>()?;
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let mut calls = Vec::new();
    let mut at = gaps.sample(&mut random);
    while at < plan.duration.as_secs_f64() {
        let index = calls.len();
        let mix = mixes.sample(&mut random);
        calls.push(PlannedCall {
            index,
            at: Duration::from_secs_f64(at),
            mix,
            prompt_tokens: lengths[mix].prompt(&mut random),
            output_tokens: lengths[mix].output(&mut random),
            direct: !plan.direct.is_empty() && index % 2 == 1,
            prompt_seed: random.random(),
        });
        at += gaps.sample(&mut random);
    }
    Ok(calls)
}

/// The prompt of a call: words drawn from the call's own seed, so that no two calls share a prefix by chance.
pub fn prompt(call: &PlannedCall) -> String {
    let mut random = ChaCha8Rng::seed_from_u64(call.prompt_seed);
    let words = (1..call.prompt_tokens).map(|_| WORDS[random.random_range(0..WORDS.len())]);
    let mut text = format!("{:016x}", call.prompt_seed);
    for word in words {
        text.push(' ');
        text.push_str(word);
    }
    text
}

struct MixLengths {
    prompt: LogNormal<f64>,
    output: LogNormal<f64>,
}

impl MixLengths {
    fn new(mix: &Mix) -> Result<Self, ScheduleError> {
        let distribution = |length: LengthDistribution| {
            let valid = length.median.is_finite() && length.median >= 1.0;
            let lognormal = LogNormal::new(length.median.ln(), length.spread).ok();
            let valid_distribution = lognormal.filter(|_| valid);
            valid_distribution.ok_or_else(|| ScheduleError::Lengths {
                mix: mix.name.clone(),
            })
        };
        Ok(Self {
            prompt: distribution(mix.prompt_tokens)?,
            output: distribution(mix.output_tokens)?,
        })
    }

    fn prompt(&self, random: &mut ChaCha8Rng) -> u32 {
        whole_tokens(self.prompt.sample(random))
    }

    fn output(&self, random: &mut ChaCha8Rng) -> u32 {
        whole_tokens(self.output.sample(random))
    }
}

fn whole_tokens(length: f64) -> u32 {
    length.round().clamp(1.0, MAXIMUM_TOKENS) as u32
}
