//! Routing cost in seconds. The router chooses the candidate with the lowest cost.
//!
//! `w` stands for the [`RoutingWeights`]. Reported speeds are divided by the ratio of the engine's slowness to the median
//! slowness, where this ratio exceeds one.
//!
//! ```text
//! wait     = queued prompt tokens ahead of this class / prefill speed
//! compute  = (prompt tokens - w.prefix_overlap * cached tokens) / prefill speed
//! token    = mean sequences / decode speed * (1 + w.sequence_slowdown * (sequences now - mean sequences))
//! excess   = requests at the engine in excess of w.batch_places, smoothed
//! slot     = excess / w.batch_places * mean remaining output tokens * token
//! backlog  = min(queued prompt tokens / prefill speed, expected output tokens * token)  (mixed engines only)
//! decode   = expected output tokens * token + slot + w.own_stall * backlog
//! stall    = compute * decoding sequences           (mixed engines only)
//! zone     = w.other_zone_seconds if the engine is outside the gateway's zone
//! prompt   = delay_cost(class) * (w.prefill_wait * wait + w.prefill_compute * compute)
//!
//! single   = prompt + w.decode_queue * decode + w.stall * stall + zone
//! split    = prompt at the prefill engine + zone
//!          + w.transfer * (setup + prompt tokens / transfer speed + zone if the two engines are in different zones)
//!          + w.decode_queue * decode at the decode engine
//! ```
//!
//! Queue lengths are those of the last load report, minus the work that the engine has completed since then, plus the
//! work that this gateway has sent since then. Work that was not routed for a cached prefix is also counted
//! `w.alike_choices` times for each other gateway. The weight of a report halves every `w.report_half_life_seconds`; the
//! remaining weight goes to the mean over candidates of the same role.

use super::query::RouteQuery;
use super::view::{EngineView, QueueEstimate};
use super::weights::RoutingWeights;
use crate::engine::Role;
use crate::identity::EngineId;
use crate::time::MonotonicTime;

/// Maximum time between tokens that is derived from a report, in seconds.
const MAX_TOKEN_SECONDS: f64 = 1.0;

/// Minimum factor that scales the step time when the batch is smaller than during measurement.
const MIN_STEP_FACTOR: f64 = 0.5;

/// Uncertainty of the estimated number of requests at an engine, in requests.
const REQUEST_COUNT_UNCERTAINTY: f64 = 4.0;

/// Maximum argument of `exp`, which keeps the result finite.
const MAX_EXP_ARGUMENT: f64 = 50.0;

/// An engine that may receive a request, with the inputs of its cost.
#[derive(Clone, Debug)]
pub struct Candidate<'a> {
    /// Identifier of the engine.
    pub engine: &'a EngineId,
    /// Last record, prefix cache estimate and health of the engine.
    pub view: &'a EngineView,
    /// Prompt tokens that the engine must prefill.
    pub uncached_tokens: f64,
    /// Estimated queues; [`correct_candidates`] blends stale reports with the mean of the same role.
    pub queues: QueueEstimate,
    /// Prefill speed, in tokens per second.
    pub prefill_speed: f64,
    /// Decode speed of the whole batch, in tokens per second.
    pub decode_speed: f64,
    /// Ratio of the observed delays to those expected from the engine's own report.
    pub slowness: f64,
}

impl<'a> Candidate<'a> {
    /// Collects the cost inputs of one engine, before the corrections by [`correct_candidates`].
    pub fn new(
        engine: &'a EngineId,
        view: &'a EngineView,
        query: &RouteQuery,
        weights: &RoutingWeights,
        peer_work_factor: f64,
        now: MonotonicTime,
    ) -> Self {
        let load = view.load();
        Self {
            engine,
            view,
            uncached_tokens: uncached_tokens(view, query, weights),
            queues: view.queues(query.class, weights, peer_work_factor, now),
            prefill_speed: speed_or_default(
                load.prefill_tokens_per_second,
                weights.assumed_prefill_tokens_per_second,
            ),
            decode_speed: speed_or_default(
                load.decode_tokens_per_second,
                weights.assumed_decode_tokens_per_second,
            ),
            slowness: view.slowness(now),
        }
    }

    /// Seconds until prefill of the prompt starts.
    pub fn prefill_wait_seconds(&self) -> f64 {
        self.queues.prefill_tokens_ahead / self.prefill_speed
    }

    /// Seconds that prefill of the prompt takes.
    pub fn prefill_seconds(&self) -> f64 {
        self.uncached_tokens / self.prefill_speed
    }

    /// Seconds between two tokens of a sequence after one more sequence has joined the batch.
    pub fn token_seconds(&self, weights: &RoutingWeights) -> f64 {
        let measured = self.view.mean_sequences();
        let excess = self.queues.sequences + 1.0 - measured;
        let step_factor = (1.0 + weights.sequence_slowdown * excess).max(MIN_STEP_FACTOR);
        (measured / self.decode_speed).min(MAX_TOKEN_SECONDS) * step_factor
    }

    /// Seconds that decoding takes, including the wait for a batch slot and the stalls caused by concurrent prefill.
    pub fn decode_seconds(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let output_seconds = f64::from(query.expected_output_tokens) * self.token_seconds(weights);
        output_seconds
            + self.batch_slot_wait(weights)
            + weights.own_stall * self.concurrent_prefill_stall(output_seconds)
    }

    /// Seconds during which prefill of other requests delays this request's decoding.
    fn concurrent_prefill_stall(&self, output_seconds: f64) -> f64 {
        if self.view.role() != Role::Mixed {
            return 0.0;
        }
        let backlog = self.queues.prefill_tokens / self.prefill_speed;
        backlog.min(output_seconds)
    }

    /// Seconds until a batch slot is free. The number of requests is only an estimate, so the wait grows smoothly while
    /// that number approaches the batch size.
    fn batch_slot_wait(&self, weights: &RoutingWeights) -> f64 {
        let excess = (self.queues.requests + 1.0 - weights.batch_places) / REQUEST_COUNT_UNCERTAINTY;
        let smoothed_excess =
            REQUEST_COUNT_UNCERTAINTY * excess.min(MAX_EXP_ARGUMENT).exp().ln_1p().max(excess);
        let mean_remaining = self.queues.decode_tokens / self.queues.requests.max(1.0);
        smoothed_excess / weights.batch_places * mean_remaining * self.token_seconds(weights)
    }

    /// Cost of running both prefill and decode on this engine.
    pub fn single_engine_cost(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let stall = self.prefill_seconds() * self.queues.sequences;
        self.prefill_cost(query, weights)
            + weights.decode_queue * self.decode_seconds(query, weights)
            + weights.stall * stall
    }

    /// Cost of running prefill on this engine.
    pub fn prefill_cost(&self, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        let prompt = weights.prefill_wait * self.prefill_wait_seconds()
            + weights.prefill_compute * self.prefill_seconds();
        weights.delay_cost(query.class) * prompt + self.zone_cost(query, weights)
    }

    /// Cost of running decode on this engine after prefill on `source`.
    pub fn decode_cost(&self, source: &Candidate<'_>, query: &RouteQuery, weights: &RoutingWeights) -> f64 {
        weights.transfer * self.transfer_seconds(source, query, weights)
            + weights.decode_queue * self.decode_seconds(query, weights)
    }

    /// Seconds that the transfer of the KV cache from `source` to this engine takes.
    pub fn transfer_seconds(
        &self,
        source: &Candidate<'_>,
        query: &RouteQuery,
        weights: &RoutingWeights,
    ) -> f64 {
        let crosses_zones = self.view.record.zone != source.view.record.zone;
        let zone = if crosses_zones {
            weights.other_zone_seconds
        } else {
            0.0
        };
        let tokens = f64::from(query.prompt_tokens);
        weights.transfer_setup_seconds + tokens / weights.transfer_tokens_per_second + zone
    }

    /// Whether the engine's role includes prefill.
    pub fn runs_prefill(&self) -> bool {
        self.view.role() != Role::Decode
    }

    /// Whether the engine's role includes decode.
    pub fn runs_decode(&self) -> bool {
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

/// Divides speeds by each engine's slowness relative to the median, and blends queues of stale reports with the mean of
/// the same role.
pub fn correct_candidates(candidates: &mut [Candidate<'_>], weights: &RoutingWeights, now: MonotonicTime) {
    if weights.correct_speeds {
        correct_speeds(candidates);
    }
    let mean = mean_queues(candidates);
    for candidate in candidates {
        let age = now.since(candidate.view.observed_at).as_secs_f64();
        let report_weight = 0.5_f64.powf(age / weights.report_half_life_seconds);
        let index = role_index(candidate.view.role());
        candidate.queues = blend_queues(candidate.queues, mean[index], report_weight);
    }
}

fn correct_speeds(candidates: &mut [Candidate<'_>]) {
    let median = median_slowness(candidates);
    for candidate in candidates {
        let relative_slowness = (candidate.slowness / median).max(1.0);
        candidate.prefill_speed /= relative_slowness;
        candidate.decode_speed /= relative_slowness;
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

fn blend_queues(own: QueueEstimate, mean: QueueEstimate, report_weight: f64) -> QueueEstimate {
    QueueEstimate {
        prefill_tokens: report_weight * own.prefill_tokens + (1.0 - report_weight) * mean.prefill_tokens,
        decode_tokens: report_weight * own.decode_tokens + (1.0 - report_weight) * mean.decode_tokens,
        prefill_tokens_ahead: report_weight * own.prefill_tokens_ahead
            + (1.0 - report_weight) * mean.prefill_tokens_ahead,
        sequences: report_weight * own.sequences + (1.0 - report_weight) * mean.sequences,
        requests: report_weight * own.requests + (1.0 - report_weight) * mean.requests,
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
    let cached_share = overlap / query.prompt_blocks.len() as f64;
    tokens * (1.0 - weights.prefix_overlap * cached_share)
}

fn speed_or_default(reported: u64, default: f64) -> f64 {
    if reported == 0 { default } else { reported as f64 }
}
