//! Whether a request is taken, and in which order of urgency.
//!
//! With the times of [`super::pool_speeds`] learned from what was seen, and the work at engines counted over every node:
//!
//! ```text
//! expected = time until the first event at the engines that the router would choose now
//! in time  if expected * error <= target - allowance
//! late     otherwise, if the first event is expected before the caller stops waiting: behind all that can be in time
//! refused  otherwise, at once, with the time until there should be room
//! ```
//!
//! `error` is what first events took over what was expected of them, at a quantile that rises with the share of the
//! requests turned away of late: while nearly all can be in time, one is turned away only if it is all but sure to be
//! late; when a queue stands at the limit, everything that is taken to the limit is late by half.
//!
//! Where callers compete for the pool ([`crate::sharing`]), the part of `expected` that is a queue counts for more than
//! it is for a tenant or a kind that had more than its share, so that it is turned away while others still find room.
//!
//! A caller that has come back after a refusal is not refused again: it goes the late way.

use super::choice::PoolRoute;
use super::engine::PoolEngine;
use super::prefill_speed::PrefillSpeed;
use super::query::{PoolQuery, PromptShape};
use super::router::PoolRouter;
use crate::membership::subject::mix;
use crate::setting::FieldError;
use crate::sharing::{Charge, SharingSettings, Standing, TenantRequest};
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings of the admission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolAdmission {
    /// Whether requests are looked at before they are taken; otherwise each is taken as it comes.
    pub enabled: bool,
    /// Whether a request that can't be in time may be served late, behind those that can.
    pub late: bool,
    /// Part of the target that the way to the caller and back takes, in milliseconds.
    pub allowance_millis: u64,
    /// Part of the time left within which the first event of a late request must be expected.
    pub late_share: f64,
    /// Share of the requests turned away of late from which a request is turned away unless it is likely to be in time;
    /// with fewer, only if it is likely to be late.
    pub full_care_share: f64,
    /// Shortest time after which a refused caller is asked to come back, in milliseconds.
    pub least_return_millis: u64,
    /// Longest time after which a refused caller is asked to come back, in milliseconds.
    pub most_return_millis: u64,
    /// How tenants and kinds share a pool that has no room for all.
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
    /// Every wrong setting.
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

/// What of a request decides beside the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTiming {
    /// Time within which the first event is worth most.
    pub target: Duration,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Whether the caller has come back after a refusal.
    pub is_retry: bool,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// It is served in its rank.
    InTime,
    /// It is served behind everything that can be in time.
    Late,
    /// It is refused.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// A decision with what it was made from.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// The decision.
    pub admission: Admission,
    /// Where the request goes now; nowhere when it is refused.
    pub route: PoolRoute,
    /// Expected time until the first event; zero where nothing is known of it.
    pub expected: Duration,
    /// Factor by which expectations are exceeded.
    pub error: f64,
    /// Share of the requests that were turned away of late: served behind others or refused.
    pub late_or_refused_share: f64,
    /// Whether it can't be in time by what was expected, whoever asks.
    pub misses_target: bool,
    /// The queue that it met, as part of the longest with which it could be in time; absent where none would do.
    pub queue_share: Option<f64>,
    /// Tokens that it takes to read and to write.
    pub tokens: f64,
    /// How its tenant and its kind stand.
    pub standing: Standing,
}

/// Expected time until a first event, in seconds.
#[derive(Clone, Copy, Debug)]
struct Expected {
    /// In all.
    seconds: f64,
    /// The part for which the request waits for others.
    queue: f64,
    /// Tokens of its own that are to be read.
    tokens: f64,
}

/// Rank below every route's, for what can't be in time.
pub const LATE_RANK: usize = super::peer_reports::RANK_COUNT - 1;

/// Whether a prompt that could not be in time without a queue either is one of those that go ahead all the same, so that
/// such prompts are not starved: drawn with the same part of them at every placer.
fn goes_ahead(decision: &AdmissionDecision, query: &PoolQuery<'_>, settings: &SharingSettings) -> bool {
    let is_large = decision.queue_share.is_none() && decision.standing.contended;
    let due = settings.large_prompts * (1.0 - decision.late_or_refused_share);
    is_large && fraction(mix(query.draw)) < due
}

/// A drawn number as a fraction of one.
fn fraction(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1u64 << 53) as f64
}

impl PoolRouter {
    /// Chooses where a request goes and decides whether it is taken.
    pub fn admit(
        &self,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let (route, expected) = self.choose_expecting(query, now);
        let speeds = self.speeds(query.pool);
        let care = speeds.rejection_rate.share() / settings.full_care_share;
        let mut decision = AdmissionDecision {
            admission: Admission::InTime,
            route,
            expected: Duration::ZERO,
            error: speeds.error.factor(care),
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
        decision.tokens = expected.tokens + f64::from(output);
        let allowance = Duration::from_millis(settings.allowance_millis);
        let allowed = timing.target.saturating_sub(allowance).as_secs_f64();
        let bearable = allowed - (expected.seconds - expected.queue) * decision.error;
        decision.queue_share = (bearable > 0.0).then(|| expected.queue * decision.error / bearable);
        decision.misses_target = expected.seconds * decision.error > allowed;
        decision.standing = self.standing(query, settings, now);
        let longer = f64::from(decision.standing.shortened) - 1.0;
        let counted = (expected.seconds + expected.queue * longer) * decision.error;
        if counted > allowed && !goes_ahead(&decision, query, &settings.sharing) {
            self.turn_away(&mut decision, counted - allowed, query, timing, settings, now);
        }
        decision
    }

    fn standing(&self, query: &PoolQuery<'_>, settings: &PoolAdmission, now: MonotonicTime) -> Standing {
        let kind = usize::from(query.constraints.kind_rank);
        self.sharing
            .standing(query.pool, query.constraints.tenant, kind, &settings.sharing, now)
    }

    /// Decides what becomes of a request that is not taken to be in time.
    fn turn_away(
        &self,
        decision: &mut AdmissionDecision,
        excess: f64,
        query: &PoolQuery<'_>,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) {
        if timing.is_retry && !settings.late {
            return;
        }
        // Where it could not be in time without a queue either, no time to come back is any better.
        let may_refuse = settings.sharing.refuses && decision.queue_share.is_some();
        let refuses_now = may_refuse && decision.standing.is_beyond() && !timing.is_retry;
        if settings.late && !refuses_now {
            let late_query = PoolQuery {
                rank: LATE_RANK,
                ..query.clone()
            };
            let (late_route, late_expected) = self.choose_expecting(&late_query, now);
            let expected = decision.expected.as_secs_f64();
            let late_expected = late_expected.map_or(expected, |late| late.seconds);
            let most = timing.remaining.as_secs_f64() * settings.late_share;
            if timing.is_retry || late_expected <= most {
                decision.admission = Admission::Late;
                decision.route = late_route;
                decision.expected = Duration::from_secs_f64(late_expected);
                return;
            }
        }
        let spread = 1.0 + fraction(query.draw);
        let until_room = excess.max(decision.standing.seconds_beyond(&settings.sharing));
        let retry_after = Duration::from_secs_f64(until_room * spread).clamp(
            Duration::from_millis(settings.least_return_millis),
            Duration::from_millis(settings.most_return_millis),
        );
        decision.admission = Admission::Refused { retry_after };
        decision.route = PoolRoute::Nowhere;
    }

    /// Like [`Self::choose`], with the time until the first event; absent where no prompt is read.
    fn choose_expecting(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> (PoolRoute, Option<Expected>) {
        let route = self.choose(query, now);
        let context = self.context(query, now);
        let speeds = &context.speeds;
        let tokens_until_prefilled = |engine: &PoolEngine, usual: &PrefillSpeed| {
            let line = if query.rank == LATE_RANK {
                &speeds.late
            } else {
                usual
            };
            let state = self.engines.get(&engine.id)?;
            let ahead = state.load(now).prompt_tokens_ahead(query.rank);
            let tokens = context.prefill_work(state, query).computed;
            let slot_wait = state.slot_wait(now).as_secs_f64();
            let seconds = slot_wait + state.prefill_seconds(line, ahead + tokens, now);
            let alone = state.prefill_seconds(line, tokens, now);
            Some(Expected {
                seconds,
                queue: seconds - alone,
                tokens,
            })
        };
        let with_place = |expected: Expected, engine: &PoolEngine, hand_over: f64| {
            let state = self.engines.get(&engine.id);
            let queue_wait = speeds.queue_wait(state.is_some_and(|state| state.has_free_slot(now)));
            Expected {
                seconds: expected.seconds + hand_over + queue_wait,
                queue: expected.queue + queue_wait,
                ..expected
            }
        };
        let expected = match &route {
            PoolRoute::Split { prefill, decode } => tokens_until_prefilled(prefill, &speeds.prefill)
                .map(|read| with_place(read, decode, speeds.handoff_seconds)),
            PoolRoute::Whole(engine) if query.prompt.is_some() => {
                tokens_until_prefilled(engine, &speeds.decode).map(|read| with_place(read, engine, 0.0))
            }
            PoolRoute::Whole(_) | PoolRoute::Nowhere => None,
        };
        (route, expected)
    }

    /// Takes a decision that was carried out; the charge of the request's tenant, where it has one.
    pub fn on_admission(
        &mut self,
        query: &PoolQuery<'_>,
        decision: &AdmissionDecision,
        timing: RequestTiming,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> Option<Charge> {
        let assumed = self.assumed_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(assumed);
        let is_turned_away = decision.admission != Admission::InTime;
        speeds
            .rejection_rate
            .observe(is_turned_away && decision.misses_target);
        if matches!(decision.admission, Admission::Refused { .. }) {
            // What it would have had to have read is wanted all the same.
            let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
            let held = self.context(query, now).max_held_tokens.min(tokens);
            self.demand.on_sent(f64::from(tokens - held), now);
        }
        let sharing = &settings.sharing;
        let tenant = query.constraints.tenant.filter(|_| sharing.tenants);
        if tenant.is_none() && !sharing.kinds {
            return None;
        }
        if let Some(part) = decision.queue_share {
            self.sharing.on_queue(query.pool, part, sharing, now);
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

    /// Takes how long the first event of a request that was to be in time took beside what was expected.
    pub fn on_first_event(&mut self, query: &PoolQuery<'_>, expected: Duration, took: Duration) {
        let assumed = self.assumed_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(assumed);
        speeds.error.observe(expected, took);
    }
}
