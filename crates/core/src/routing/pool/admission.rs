//! Admission control: whether a request is admitted in its own rank, served late, or refused.
//!
//! The times come from [`super::pool_speeds`]; the load of the engines is counted over all nodes:
//!
//! ```text
//! expected = estimated time until the first event at the engines that the router would choose now
//! in time  if expected * error <= target - allowance
//! late     otherwise, if the first event is expected before the caller times out; ranked below all requests in time
//! refused  otherwise, immediately, with a `retry_after` estimate of when there will be capacity
//! ```
//!
//! `error` is a quantile of the ratio of observed to estimated times until the first event. The quantile rises with the
//! share of requests that were recently served late or refused. While nearly all requests meet their target, a request
//! is rejected only if it will almost certainly be late. Under sustained overload, admitting every request that is
//! estimated to just meet its target would make about half of them late.
//!
//! Where tenants or request kinds compete for the pool ([`crate::sharing`]), the queueing part of `expected` is scaled
//! up for those that exceeded their share, so that they are rejected while others are still admitted.
//!
//! A caller that retries after a refusal is not refused again; its request is served late.

use super::choice::PoolRoute;
use super::engine::PoolEngine;
use super::query::{PoolQuery, PromptShape};
use super::router::PoolRouter;
use super::speed::PrefillSpeed;
use crate::membership::subject::mix;
use crate::setting::FieldError;
use crate::sharing::{Charge, SharingSettings, Standing, TenantRequest};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of admission control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolAdmission {
    /// Whether admission control is on; if off, every request is admitted.
    pub enabled: bool,
    /// Whether a request that can't meet its target may be served late, ranked below those that can.
    pub late: bool,
    /// Part of the target reserved for the network round trip to the caller, in milliseconds.
    pub allowance_millis: u64,
    /// Fraction of the remaining time within which the first event of a late request must be expected, 0 to 1.
    pub late_share: f64,
    /// Share of late or refused requests at which admission is strictest, above 0 and at most 1. From this share on,
    /// only requests that are likely to meet their target are admitted; below it, only requests that will almost
    /// certainly be late are rejected.
    pub full_care_share: f64,
    /// Minimum `retry_after` of a refusal, in milliseconds.
    pub least_return_millis: u64,
    /// Maximum `retry_after` of a refusal, in milliseconds.
    pub most_return_millis: u64,
    /// How tenants and request kinds share an overloaded pool.
    pub sharing: SharingSettings,
}

impl Default for PoolAdmission {
    fn default() -> Self {
        Self {
            enabled: true,
            late: true,
            allowance_millis: 10,
            late_share: 0.8,
            full_care_share: 0.25,
            least_return_millis: 150,
            most_return_millis: 2_000,
            sharing: SharingSettings::default(),
        }
    }
}

impl PoolAdmission {
    /// Returns an error for each invalid setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = self.sharing.validate();
        if !(self.full_care_share > 0.0 && self.full_care_share <= 1.0) {
            errors.push(FieldError {
                field: "admission.full_care_share".to_owned(),
                value: self.full_care_share.to_string(),
                allowed: "above 0, at most 1".to_owned(),
            });
        }
        if !(0.0..=1.0).contains(&self.late_share) {
            errors.push(FieldError {
                field: "admission.late_share".to_owned(),
                value: self.late_share.to_string(),
                allowed: "0 to 1".to_owned(),
            });
        }
        if self.most_return_millis < self.least_return_millis {
            errors.push(FieldError {
                field: "admission.most_return_millis".to_owned(),
                value: self.most_return_millis.to_string(),
                allowed: "at least admission.least_return_millis".to_owned(),
            });
        }
        errors
    }
}

/// Time limits and retry status of a request, as inputs of the admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTiming {
    /// Target time until the first event.
    pub target: Duration,
    /// Time until the caller times out.
    pub remaining: Duration,
    /// Whether the caller retries after a refusal.
    pub is_retry: bool,
}

/// Outcome of the admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// Served in its own rank.
    InTime,
    /// Served in [`LATE_RANK`], below all requests that can meet their target.
    Late,
    /// Not served.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// An admission decision and the estimates that it is based on.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// Whether the request is served in time, late or not at all.
    pub admission: Admission,
    /// Engines chosen for the request; [`PoolRoute::Nowhere`] if it is refused.
    pub route: PoolRoute,
    /// Estimated time until the first event; zero if there is no estimate.
    pub expected: Duration,
    /// Factor applied to estimates to cover their usual error.
    pub error_factor: f64,
    /// Recent share of requests that could not meet their target and were served late or refused.
    pub late_or_refused_share: f64,
    /// Whether the estimate exceeds the target without the penalty for the usage of the tenant and kind.
    pub misses_target: bool,
    /// Estimated queueing time as a fraction of the maximum that still meets the target; absent if the target would be
    /// missed even with an empty queue.
    pub queue_share: Option<f64>,
    /// Prompt tokens to prefill plus expected output tokens.
    pub tokens: f64,
    /// Usage of its tenant and kind relative to their shares.
    pub standing: Standing,
}

/// Estimate of the time until the first event.
#[derive(Clone, Copy, Debug)]
struct FirstEventEstimate {
    /// Total time, in seconds.
    seconds: f64,
    /// Part of `seconds` spent waiting for other requests.
    queue_seconds: f64,
    /// Prompt tokens of the request that must be prefilled.
    prefill_tokens: f64,
}

/// Rank of late requests, below the rank of every route.
pub const LATE_RANK: usize = super::beliefs::RANK_COUNT - 1;

/// Whether to admit a prompt that would miss its target even with an empty queue. A configured fraction of such prompts
/// is admitted so that they are not starved; the fraction is the same at every placer.
fn is_exempt_large_prompt(
    decision: &AdmissionDecision,
    query: &PoolQuery<'_>,
    settings: &SharingSettings,
) -> bool {
    let is_large = decision.queue_share.is_none() && decision.standing.contended;
    let admitted_fraction = settings.large_prompts * (1.0 - decision.late_or_refused_share);
    is_large && unit_interval(mix(query.draw)) < admitted_fraction
}

/// Maps a random number to the interval from 0 to 1.
fn unit_interval(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1u64 << 53) as f64
}

impl PoolRouter {
    /// Chooses engines for a request and decides whether it is admitted.
    pub fn admit(
        &self,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let (route, expected) = self.choose_with_estimate(query, now);
        let speeds = self.speeds(query.pool);
        let strictness = speeds.rejection_rate.share() / settings.full_care_share;
        let mut decision = AdmissionDecision {
            admission: Admission::InTime,
            route,
            expected: Duration::ZERO,
            error_factor: speeds.estimate_error.factor(strictness),
            late_or_refused_share: speeds.rejection_rate.share(),
            misses_target: false,
            queue_share: None,
            tokens: 0.0,
            standing: Standing::default(),
        };
        let Some(expected) = expected.filter(|_| settings.enabled) else {
            return decision;
        };
        let output = query.prompt.map_or(0, PromptShape::expected_output_tokens);
        decision.expected = Duration::from_secs_f64(expected.seconds);
        decision.tokens = expected.prefill_tokens + f64::from(output);
        let allowance = Duration::from_millis(settings.allowance_millis);
        let max_seconds = timing.target.saturating_sub(allowance).as_secs_f64();
        let max_queue_seconds =
            max_seconds - (expected.seconds - expected.queue_seconds) * decision.error_factor;
        decision.queue_share = (max_queue_seconds > 0.0)
            .then(|| expected.queue_seconds * decision.error_factor / max_queue_seconds);
        decision.misses_target = expected.seconds * decision.error_factor > max_seconds;
        decision.standing = self.standing(query, settings, now);
        let queue_penalty = f64::from(decision.standing.shortened) - 1.0;
        let weighted_seconds =
            (expected.seconds + expected.queue_seconds * queue_penalty) * decision.error_factor;
        if weighted_seconds > max_seconds && !is_exempt_large_prompt(&decision, query, &settings.sharing) {
            self.defer_or_refuse(
                &mut decision,
                weighted_seconds - max_seconds,
                query,
                timing,
                settings,
                now,
            );
        }
        decision
    }

    fn standing(&self, query: &PoolQuery<'_>, settings: &PoolAdmission, now: MonotonicTime) -> Standing {
        let kind = usize::from(query.constraints.kind_rank);
        self.sharing
            .standing(query.pool, query.constraints.tenant, kind, &settings.sharing, now)
    }

    /// Decides whether a request that will miss its target is served late or refused.
    fn defer_or_refuse(
        &self,
        decision: &mut AdmissionDecision,
        excess_seconds: f64,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) {
        if timing.is_retry && !settings.late {
            return;
        }
        // A prompt that misses its target even with an empty queue gains nothing from a retry.
        let may_refuse = settings.sharing.refuses && decision.queue_share.is_some();
        let refuse_now = may_refuse && decision.standing.is_beyond() && !timing.is_retry;
        if settings.late && !refuse_now {
            let late_query = PoolQuery {
                rank: LATE_RANK,
                ..query.clone()
            };
            let (late_route, late_expected) = self.choose_with_estimate(&late_query, now);
            let expected = decision.expected.as_secs_f64();
            let late_expected = late_expected.map_or(expected, |late| late.seconds);
            let max_seconds = timing.remaining.as_secs_f64() * settings.late_share;
            if timing.is_retry || late_expected <= max_seconds {
                decision.admission = Admission::Late;
                decision.route = late_route;
                decision.expected = Duration::from_secs_f64(late_expected);
                return;
            }
        }
        let jitter = 1.0 + unit_interval(query.draw);
        let until_capacity = excess_seconds.max(decision.standing.seconds_beyond(&settings.sharing));
        let retry_after = Duration::from_secs_f64(until_capacity * jitter).clamp(
            Duration::from_millis(settings.least_return_millis),
            Duration::from_millis(settings.most_return_millis),
        );
        decision.admission = Admission::Refused { retry_after };
        decision.route = PoolRoute::Nowhere;
    }

    /// Like [`Self::choose`], with an estimate of the time until the first event; absent if nothing is prefilled.
    fn choose_with_estimate(
        &self,
        query: &PoolQuery<'_>,
        now: MonotonicTime,
    ) -> (PoolRoute, Option<FirstEventEstimate>) {
        let route = self.choose(query, now);
        let context = self.context(query, now);
        let speeds = &context.speeds;
        let prefill_estimate = |engine: &PoolEngine, default_speed: &PrefillSpeed| {
            let speed = if query.rank == LATE_RANK {
                &speeds.late
            } else {
                default_speed
            };
            let state = self.engines.get(&engine.id)?;
            let ahead = self.tokens_before(&state.load(now), query.rank);
            let prefill = context.prefill_work(state, query);
            let prefill_tokens = prefill.computed;
            let fetch_seconds = context.distant_fetch_seconds(prefill);
            let slot_wait = state.slot_wait(now).as_secs_f64();
            let seconds =
                slot_wait + fetch_seconds + state.prefill_seconds(speed, ahead + prefill_tokens, now);
            let uncontended = fetch_seconds + state.prefill_seconds(speed, prefill_tokens, now);
            Some(FirstEventEstimate {
                seconds,
                queue_seconds: seconds - uncontended,
                prefill_tokens,
            })
        };
        let with_decode_wait = |expected: FirstEventEstimate, engine: &PoolEngine, handoff_seconds: f64| {
            let state = self.engines.get(&engine.id);
            let queue_wait = speeds.queue_wait(state.is_some_and(|state| state.has_free_slot(now)));
            FirstEventEstimate {
                seconds: expected.seconds + handoff_seconds + queue_wait,
                queue_seconds: expected.queue_seconds + queue_wait,
                ..expected
            }
        };
        let expected = match &route {
            PoolRoute::Split { prefill, decode } => prefill_estimate(prefill, &speeds.prefill)
                .map(|estimate| with_decode_wait(estimate, decode, speeds.handoff_seconds)),
            PoolRoute::Whole(engine) if query.prompt.is_some() => prefill_estimate(engine, &speeds.decode)
                .map(|estimate| with_decode_wait(estimate, engine, 0.0)),
            PoolRoute::Whole(_) | PoolRoute::Nowhere => None,
        };
        (route, expected)
    }

    /// Records a decision that was applied. Returns the charge to the tenant of the request, if it has one.
    pub fn on_admission(
        &mut self,
        query: &PoolQuery<'_>,
        decision: &AdmissionDecision,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> Option<Charge> {
        let default_speeds = self.default_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(default_speeds);
        let is_late_or_refused = decision.admission != Admission::InTime;
        // A prompt that misses its target even with an empty queue, and a tenant beyond its share, say nothing of the capacity.
        if is_late_or_refused && decision.misses_target && decision.queue_share.is_some() {
            self.last_rejection = Some(now);
        }
        speeds
            .rejection_rate
            .observe(is_late_or_refused && decision.misses_target);
        if matches!(decision.admission, Admission::Refused { .. }) {
            // Refused prompts count towards the demand for prefill.
            let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
            let held = self.context(query, now).max_held_tokens.min(tokens);
            self.demand.on_sent(f64::from(tokens - held), now);
        }
        let sharing = &settings.sharing;
        let tenant = query.constraints.tenant.filter(|_| sharing.tenants);
        if tenant.is_none() && !sharing.kinds {
            return None;
        }
        if let Some(queue_share) = decision.queue_share {
            self.sharing.on_queue(query.pool, queue_share, sharing, now);
        }
        let is_admitted = decision.admission == Admission::InTime;
        if sharing.kinds && !is_admitted && !timing.is_retry {
            let kind = usize::from(query.constraints.kind_rank);
            self.sharing
                .on_outcome(query.pool, kind, false, sharing.window(), now);
        }
        let request = TenantRequest {
            tenant: tenant?,
            tokens: decision.tokens,
            is_admitted,
            came_back: timing.is_retry,
        };
        Some(self.sharing.on_request(query.pool, request, sharing, now))
    }

    /// Records the estimated and the actual time until the first event of a request admitted in time.
    pub fn on_first_event(&mut self, query: &PoolQuery<'_>, expected: Duration, actual: Duration) {
        let default_speeds = self.default_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(default_speeds);
        speeds.estimate_error.observe(expected, actual);
    }
}
