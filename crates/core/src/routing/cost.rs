//! The routing cost, in seconds; the candidate with the lowest cost is chosen.
//!
//! With `w` the [`RoutingWeights`], and all speeds divided by the engine's slowness beyond its peers' median:
//!
//! ```text
//! wait     = queued prompt tokens that go before this class / prefill speed
//! compute  = (prompt tokens - w.prefix_overlap * cached tokens) / prefill speed
//! token    = mean sequences / decode speed * (1 + w.sequence_slowdown * (sequences now - mean sequences))
//! missing  = requests there beyond w.batch_places, smoothed by the spread of that estimate
//! place    = missing / w.batch_places * mean output left * token
//! own      = min(queued prompt tokens / prefill speed, expected output tokens * token)  (mixed engines only)
//! decode   = expected output tokens * token + place + w.own_stall * own
//! stall    = compute * decoding sequences           (mixed engines only: prefill delays their tokens)
//! zone     = w.other_zone_seconds when the engine is not in the gateway's zone
//! prompt   = waiting(class) * (w.prefill_wait * wait + w.prefill_compute * compute)
//!
//! whole    = prompt + w.decode_queue * decode + w.stall * stall + zone
//! split    = prompt at the prefill engine + zone
//!          + w.transfer * (setup + prompt tokens / transfer speed + zone when the two engines are apart)
//!          + w.decode_queue * decode at the decode engine
//! ```
//!
//! Queues come from the last report, less what was worked off since, plus what this gateway sent since, once for
//! itself and `w.alike_choices` times for each other gateway, unless it went there for a cached prefix. A report
//! loses half of its say every `w.report_half_life_seconds`; the mean of comparable candidates takes the rest.

use super::query::RouteQuery;
use super::view::{EngineView, QueueEstimate};
use super::weights::RoutingWeights;
use crate::engine::Role;
use crate::identity::EngineId;
use crate::time::MonotonicTime;

/// Bound on a time between tokens told from a report, in seconds.
const LONGEST_TOKEN_SECONDS: f64 = 1.0;

/// Least factor by which a smaller batch than the measured one shortens a step.
const LEAST_CHANGE: f64 = 0.5;

/// Spread of the estimated number of requests at an engine.
const REQUESTS_SPREAD: f64 = 4.0;
/// Bound on an exponent, so that it stays finite.
const LARGEST_EXPONENT: f64 = 50.0;

/// One engine that may take a request, with what its cost depends on.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// The engine.
    pub engine: &'a EngineId,
    /// The router's view of it.
    pub view: &'a EngineView,
    /// Prompt tokens it must compute.
    pub uncached_tokens: f64,
    /// Queues, with a stale report drawn to the mean of the others.
    pub queues: QueueEstimate,
    /// Prefill speed, in tokens per second.
    pub prefill_speed: f64,
    /// Decode speed over the whole batch, in tokens per second.
    pub decode_speed: f64,
    /// How far the engine is behind its own report.
    pub slowness: f64,
}

impl<'a> Candidate<'a> {
    /// Gathers what is known of one engine; slowness and staleness are settled by [`compare_with_peers`].
    pub fn new(
        engine: &'a EngineId,
        view: &'a EngineView,
        query: &RouteQuery,
        weights: &RoutingWeights,
        others: f64,
        now: MonotonicTime,
    ) -> Self {
        let load = view.load();
        Self {
            engine,
            view,
            uncached_tokens: uncached_tokens(view, query, weights),
            queues: view.queues(query.class, weights, others, now),
            prefill_speed: speed(
                load.prefill_tokens_per_second,
                weights.assumed_prefill_tokens_per_second,
            ),
            decode_speed: speed(
                load.decode_tokens_per_second,
                weights.assumed_decode_tokens_per_second,
            ),
            slowness: view.slowness(now),
        }
    }

    /// Seconds until the prompt's computation begins.
    pub fn wait(&self) -> f64 {
        self.queues.prefill_tokens_ahead / self.prefill_speed
    }

    /// Seconds that computing the prompt takes.
    pub fn compute(&self) -> f64 {
        self.uncached_tokens / self.prefill_speed
    }

    /// Seconds between two tokens of a sequence when one more joins.
    pub fn token_seconds(&self, weights: &RoutingWeights) -> f64 {
        let measured = self.view.mean_sequences();
        let beyond = self.queues.sequences + 1.0 - measured;
        let change = (1.0 + weights.sequence_slowdown * beyond).max(LEAST_CHANGE);
        (measured / self.decode_speed).min(LONGEST_TOKEN_SECONDS) * change
    }

    /// Seconds that the output takes, with the wait for a place in the batch and the delays by prompts beside it.
    pub fn decode(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let own = f64::from(query.expected_output_tokens) * self.token_seconds(weights);
        own + self.place_wait(weights) + weights.own_stall * self.own_stall(own)
    }

    /// Seconds for which prompts of others slow the request's own tokens.
    fn own_stall(&self, output_seconds: f64) -> f64 {
        if self.view.role() != Role::Mixed {
            return 0.0;
        }
        let backlog = self.queues.prefill_tokens / self.prefill_speed;
        backlog.min(output_seconds)
    }

    /// Seconds until the batch has a place. The estimate of the requests there is off by several, so the wait grows
    /// smoothly as they come near the places.
    fn place_wait(&self, weights: &RoutingWeights) -> f64 {
        let beyond = (self.queues.requests + 1.0 - weights.batch_places) / REQUESTS_SPREAD;
        let missing = REQUESTS_SPREAD * beyond.min(LARGEST_EXPONENT).exp().ln_1p().max(beyond);
        let mean_left = self.queues.decode_tokens / self.queues.requests.max(1.0);
        missing / weights.batch_places * mean_left * self.token_seconds(weights)
    }

    /// Cost of running prompt and output here.
    pub fn whole_cost(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let stall = self.compute() * self.queues.sequences;
        self.prompt_cost(query, weights)
            + weights.decode_queue * self.decode(query, weights)
            + weights.stall * stall
    }

    /// Cost of running the prompt here.
    pub fn prompt_cost(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let prompt = weights.prefill_wait * self.wait() + weights.prefill_compute * self.compute();
        weights.waiting(query.class) * prompt + self.zone_cost(query, weights)
    }

    /// Cost of running the output here after the prompt ran at `source`.
    pub fn decode_cost(&self, source: &Candidate<'_>, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        weights.transfer * self.transfer(source, query, weights)
            + weights.decode_queue * self.decode(query, weights)
    }

    /// Seconds that moving the KV cache here takes.
    pub fn transfer(&self, source: &Candidate<'_>, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let apart = self.view.record.zone != source.view.record.zone;
        let zone = if apart { weights.other_zone_seconds } else { 0.0 };
        let tokens = f64::from(query.prompt_tokens);
        weights.transfer_setup_seconds + tokens / weights.transfer_tokens_per_second + zone
    }

    /// Whether the engine runs prompts.
    pub fn runs_prompts(&self) -> bool {
        self.view.role() != Role::Decode
    }

    /// Whether the engine runs outputs.
    pub fn runs_outputs(&self) -> bool {
        self.view.role() != Role::Prefill
    }

    fn zone_cost(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        if self.view.record.zone == query.home_zone {
            0.0
        } else {
            weights.other_zone_seconds
        }
    }
}

/// Corrects speeds by each engine's slowness beyond the median, and draws stale queues to the mean.
pub fn compare_with_peers(candidates: &mut [Candidate<'_>], weights: &RoutingWeights, now: MonotonicTime) {
    if weights.correct_speeds {
        correct_speeds(candidates);
    }
    let mean = mean_queues(candidates);
    for candidate in candidates {
        let age = now.since(candidate.view.observed_at).as_secs_f64();
        let say = 0.5_f64.powf(age / weights.report_half_life_seconds);
        let index = role_index(candidate.view.role());
        candidate.queues = blend(candidate.queues, mean[index], say);
    }
}

fn correct_speeds(candidates: &mut [Candidate<'_>]) {
    let median = median_slowness(candidates);
    for candidate in candidates {
        let behind = (candidate.slowness / median).max(1.0);
        candidate.prefill_speed /= behind;
        candidate.decode_speed /= behind;
    }
}

fn median_slowness(candidates: &[Candidate<'_>]) -> f64 {
    let mut values: Vec<f64> = candidates.iter().map(|candidate| candidate.slowness).collect();
    values.sort_by(f64::total_cmp);
    let lower_middle = values.len().saturating_sub(1) / 2;
    values.get(lower_middle).copied().unwrap_or(1.0)
}

fn mean_queues(candidates: &[Candidate<'_>]) -> [QueueEstimate; 3] {
    let mut sums = [QueueEstimate::default(); 3];
    let mut counts = [0.0_f64; 3];
    for candidate in candidates {
        let index = role_index(candidate.view.role());
        counts[index] += 1.0;
        sums[index].prefill_tokens += candidate.queues.prefill_tokens;
        sums[index].decode_tokens += candidate.queues.decode_tokens;
        sums[index].prefill_tokens_ahead += candidate.queues.prefill_tokens_ahead;
        sums[index].sequences += candidate.queues.sequences;
        sums[index].requests += candidate.queues.requests;
    }
    for (sum, count) in sums.iter_mut().zip(counts) {
        let divisor = count.max(1.0);
        sum.prefill_tokens /= divisor;
        sum.decode_tokens /= divisor;
        sum.prefill_tokens_ahead /= divisor;
        sum.sequences /= divisor;
        sum.requests /= divisor;
    }
    sums
}

fn blend(own: QueueEstimate, mean: QueueEstimate, say: f64) -> QueueEstimate {
    QueueEstimate {
        prefill_tokens: say * own.prefill_tokens + (1.0 - say) * mean.prefill_tokens,
        decode_tokens: say * own.decode_tokens + (1.0 - say) * mean.decode_tokens,
        prefill_tokens_ahead: say * own.prefill_tokens_ahead + (1.0 - say) * mean.prefill_tokens_ahead,
        sequences: say * own.sequences + (1.0 - say) * mean.sequences,
        requests: say * own.requests + (1.0 - say) * mean.requests,
    }
}

fn role_index(role: Role) -> usize {
    match role {
        Role::Prefill => 0,
        Role::Decode => 1,
        Role::Mixed => 2,
    }
}

fn uncached_tokens(view: &EngineView, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
    let tokens = f64::from(query.prompt_tokens);
    if query.prompt_blocks.is_empty() || weights.prefix_overlap == 0.0 {
        return tokens;
    }
    let overlap = view.cache.overlap(&query.prompt_blocks) as f64;
    let share = overlap / query.prompt_blocks.len() as f64;
    tokens * (1.0 - weights.prefix_overlap * share)
}

fn speed(reported: u64, assumed: f64) -> f64 {
    if reported == 0 { assumed } else { reported as f64 }
}
