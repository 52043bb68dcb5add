//! Workloads: streams of requests whose rates swing, drawn from a seed.
//!
//! A stream's rate is its base times a shape over the run, times the level of its side of the mix. The two sides,
//! long prompts and short replies, swing against each other: a phase of one to several minutes favours one side,
//! with a burst at its start, then the other. Requests on one document share its prompt's blocks.

use super::deployment::Deployment;
use super::trace::{Disturbance, DisturbanceKind, Trace, TraceRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use shelfjunction_core::routing::prefix::BLOCK_TOKENS;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// Documents of a stream that later requests may come back to.
const REMEMBERED_DOCUMENTS: usize = 64;
/// Length of the step in which rates are constant, in seconds.
const RATE_STEP_SECONDS: f64 = 1.0;

/// Side of the mix that a stream belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MixSide {
    /// Long prompts.
    Prompts,
    /// Short replies.
    Replies,
    /// Neither: the level stays.
    Steady,
}

/// One stream of alike requests.
#[derive(Clone, Debug)]
pub struct StreamShape {
    /// Class.
    pub class: ServiceClass,
    /// Side of the mix.
    pub side: MixSide,
    /// Requests a second over all tenants, on average.
    pub rate: f64,
    /// Median of the prompt's tokens, and the spread of its logarithm.
    pub prompt: (f64, f64),
    /// Median of the output's tokens, and the spread of its logarithm.
    pub output: (f64, f64),
    /// Chance that a request comes back to a recent document.
    pub reuse: f64,
}

/// How the mix swings.
#[derive(Clone, Copy, Debug)]
pub struct Swing {
    /// Shortest and longest phase, in seconds.
    pub phase_seconds: (f64, f64),
    /// Level of the favoured side, relative to its average.
    pub high: f64,
    /// Level of the other side.
    pub low: f64,
    /// Level of the favoured side in the first seconds of its phase.
    pub burst: f64,
    /// Length of that burst, in seconds.
    pub burst_seconds: f64,
}

/// One workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Its name.
    pub name: &'static str,
    /// The deployment it runs on.
    pub deployment: Deployment,
    /// Its streams.
    pub streams: Vec<StreamShape>,
    /// Its swings.
    pub swing: Swing,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Depth of the day's wave over the run, from zero (flat) to one.
    pub day_depth: f64,
    /// Tenant whose rate is multiplied in the middle third of the run, with the factor.
    pub greedy_tenant: Option<(usize, f64)>,
    /// Delay of load reports beyond the usual, in milliseconds.
    pub extra_report_lag_millis: u64,
    /// Disturbances, at parts of the run.
    pub disturbances: Vec<(f64, DisturbanceKind)>,
    /// Whether it is kept for the final figure and never tuned on.
    pub held_out: bool,
}

impl Workload {
    /// Draws the trace of one seed.
    pub fn trace(&self, seed: u64) -> Trace {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let levels = self.levels(&mut random);
        let mut requests = Vec::new();
        for stream in &self.streams {
            self.draw_stream(stream, &levels, &mut random, &mut requests);
        }
        requests.sort_by_key(|request| request.at);
        Trace {
            requests,
            disturbances: self.place_disturbances(),
            end: seconds(self.seconds),
        }
    }

    /// Level of (prompts, replies) in each second.
    fn levels(&self, random: &mut ChaCha8Rng) -> Vec<(f64, f64)> {
        let mut levels = Vec::new();
        let mut prompts_favoured = random.random_bool(0.5);
        while (levels.len() as f64) < self.seconds {
            let (shortest, longest) = self.swing.phase_seconds;
            let length = random.random_range(shortest..=longest) as usize;
            for second in 0..length.max(1) {
                let burst = (second as f64) < self.swing.burst_seconds;
                let high = if burst { self.swing.burst } else { self.swing.high };
                let level = if prompts_favoured {
                    (high, self.swing.low)
                } else {
                    (self.swing.low, high)
                };
                levels.push(level);
            }
            prompts_favoured = !prompts_favoured;
        }
        levels
    }

    fn draw_stream(
        &self,
        stream: &StreamShape,
        levels: &[(f64, f64)],
        random: &mut ChaCha8Rng,
        requests: &mut Vec<TraceRequest>,
    ) {
        let mut documents = Documents::default();
        let steps = (self.seconds / RATE_STEP_SECONDS) as usize;
        for step in 0..steps {
            let rate = stream.rate * self.level(stream.side, step, levels);
            let start = step as f64 * RATE_STEP_SECONDS;
            let mut offset = waiting_time(rate, random);
            while offset < RATE_STEP_SECONDS {
                let at = seconds(start + offset);
                requests.push(self.draw_request(stream, at, &mut documents, random));
                offset += waiting_time(rate, random);
            }
        }
        let Some((greedy, factor)) = self.greedy_tenant else {
            return;
        };
        self.add_greedy(greedy, factor, stream, random, requests);
    }

    /// Further requests of one tenant in the middle third of the run.
    fn add_greedy(
        &self,
        tenant: usize,
        factor: f64,
        stream: &StreamShape,
        random: &mut ChaCha8Rng,
        requests: &mut Vec<TraceRequest>,
    ) {
        let mut documents = Documents::default();
        let rate = stream.rate * factor / self.deployment.tenants.len() as f64;
        let mut at = self.seconds / 3.0 + waiting_time(rate, random);
        while at < self.seconds * 2.0 / 3.0 {
            let mut request = self.draw_request(stream, seconds(at), &mut documents, random);
            request.tenant = tenant;
            requests.push(request);
            at += waiting_time(rate, random);
        }
    }

    fn level(&self, side: MixSide, step: usize, levels: &[(f64, f64)]) -> f64 {
        let (prompts, replies) = levels.get(step).copied().unwrap_or((1.0, 1.0));
        let side_level = match side {
            MixSide::Prompts => prompts,
            MixSide::Replies => replies,
            MixSide::Steady => 1.0,
        };
        let part = step as f64 / self.seconds;
        let day = 1.0 - self.day_depth * (std::f64::consts::TAU * part).cos();
        side_level * day
    }

    fn draw_request(
        &self,
        stream: &StreamShape,
        at: MonotonicTime,
        documents: &mut Documents,
        random: &mut ChaCha8Rng,
    ) -> TraceRequest {
        let tenants = self.deployment.tenants.len();
        let document = if random.random_bool(stream.reuse) {
            documents.recent(random)
        } else {
            None
        };
        let document = document.unwrap_or_else(|| {
            let tokens = draw_length(stream.prompt, random);
            documents.add(random.random_range(0..tenants), tokens, random)
        });
        TraceRequest {
            at,
            tenant: document.tenant,
            home_zone: random.random_range(0..self.deployment.zones.len()),
            class: stream.class,
            prompt_tokens: document.tokens,
            prompt_blocks: document.blocks,
            output_tokens: draw_length(stream.output, random),
        }
    }

    fn place_disturbances(&self) -> Vec<Disturbance> {
        let placed = self.disturbances.iter().map(|(part, kind)| Disturbance {
            at: seconds(part * self.seconds),
            kind: *kind,
        });
        placed.collect()
    }
}

#[derive(Clone, Debug)]
struct Document {
    tenant: usize,
    tokens: u32,
    blocks: Arc<[u64]>,
}

/// Recent documents of one stream.
#[derive(Debug, Default)]
struct Documents {
    recent: VecDeque<Document>,
}

impl Documents {
    fn recent(&self, random: &mut ChaCha8Rng) -> Option<Document> {
        if self.recent.is_empty() {
            return None;
        }
        let index = random.random_range(0..self.recent.len());
        self.recent.get(index).cloned()
    }

    fn add(&mut self, tenant: usize, tokens: u32, random: &mut ChaCha8Rng) -> Document {
        let blocks = tokens as usize / BLOCK_TOKENS;
        let document = Document {
            tenant,
            tokens,
            blocks: (0..blocks).map(|_| random.random()).collect(),
        };
        if self.recent.len() == REMEMBERED_DOCUMENTS {
            self.recent.pop_front();
        }
        self.recent.push_back(document.clone());
        document
    }
}

fn draw_length((median, spread): (f64, f64), random: &mut ChaCha8Rng) -> u32 {
    let Ok(distribution) = LogNormal::new(median.ln(), spread) else {
        return median as u32;
    };
    let most = median * 4.0;
    distribution.sample(random).clamp(1.0, most) as u32
}

/// Seconds to the next arrival of a Poisson stream; infinite when nothing arrives.
fn waiting_time(rate: f64, random: &mut ChaCha8Rng) -> f64 {
    match Exp::new(rate) {
        Ok(distribution) if rate > 0.0 => distribution.sample(random),
        _ => f64::INFINITY,
    }
}

fn seconds(value: f64) -> MonotonicTime {
    MonotonicTime::default() + Duration::from_secs_f64(value)
}
