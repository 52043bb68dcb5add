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
//! A caller that has come back after a refusal is not refused again: it goes the late way.

use super::choice::PoolRoute;
use super::engine::PoolEngine;
use super::query::PoolQuery;
use super::router::PoolRouter;
use super::speed::ReadingSpeed;
use crate::setting::FieldError;
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
        }
    }
}

impl PoolAdmission {
    /// Every wrong setting.
    pub fn validate(&self) -> Vec<FieldError> {
        let mut errors = Vec::new();
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
pub struct Timing {
    /// Time within which the first event is worth most.
    pub target: Duration,
    /// Time that the caller still waits.
    pub left: Duration,
    /// Whether the caller has come back after a refusal.
    pub returned: bool,
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
    pub turned_away: f64,
}

/// Rank below every route's, for what can't be in time.
pub const LATE_RANK: usize = super::beliefs::RANKS - 1;

impl PoolRouter {
    /// Chooses where a request goes and decides whether it is taken.
    pub fn admit(
        &self,
        query: &PoolQuery<'_>,
        timing: Timing,
        settings: &PoolAdmission,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let (route, expected) = self.choose_expecting(query, now);
        let speeds = self.speeds(query.pool);
        let care = speeds.turned_away.share() / settings.full_care_share;
        let error = speeds.error.factor(care);
        let decision = |admission, route, expected: f64| AdmissionDecision {
            admission,
            route,
            expected: Duration::from_secs_f64(expected),
            error,
            turned_away: speeds.turned_away.share(),
        };
        let Some(expected) = expected.filter(|_| settings.enabled) else {
            return decision(Admission::InTime, route, 0.0);
        };
        let allowance = Duration::from_millis(settings.allowance_millis);
        let allowed = timing.target.saturating_sub(allowance).as_secs_f64();
        if expected * error <= allowed {
            return decision(Admission::InTime, route, expected);
        }
        if settings.late {
            let late_query = PoolQuery {
                rank: LATE_RANK,
                ..query.clone()
            };
            let (late_route, late_expected) = self.choose_expecting(&late_query, now);
            let late_expected = late_expected.unwrap_or(expected);
            let most = timing.left.as_secs_f64() * settings.late_share;
            if timing.returned || late_expected <= most {
                return decision(Admission::Late, late_route, late_expected);
            }
        } else if timing.returned {
            return decision(Admission::InTime, route, expected);
        }
        let spread = 1.0 + (query.draw >> 11) as f64 / (1u64 << 53) as f64;
        let excess = (expected * error - allowed) * spread;
        let retry_after = Duration::from_secs_f64(excess).clamp(
            Duration::from_millis(settings.least_return_millis),
            Duration::from_millis(settings.most_return_millis),
        );
        decision(Admission::Refused { retry_after }, PoolRoute::Nowhere, expected)
    }

    /// Like [`Self::choose`], with the seconds until the first event; absent where no prompt is read.
    fn choose_expecting(&self, query: &PoolQuery<'_>, now: MonotonicTime) -> (PoolRoute, Option<f64>) {
        let route = self.choose(query, now);
        let context = self.context(query, now);
        let until_read = |engine: &PoolEngine, line: &ReadingSpeed| {
            let state = self.engines.get(&engine.id)?;
            let ahead = state.work(now).prompt_tokens_ahead(query.rank);
            let tokens = ahead + context.reading(state, query).computed;
            Some(state.reading_seconds(line, tokens, now))
        };
        let speeds = &context.speeds;
        let place_wait = |engine: &PoolEngine| {
            let state = self.engines.get(&engine.id);
            speeds.place_wait(state.is_some_and(|state| state.has_place(now)))
        };
        let line = |usual| {
            if query.rank == LATE_RANK {
                &speeds.late
            } else {
                usual
            }
        };
        let expected = match &route {
            PoolRoute::Split { prefill, decode } => until_read(prefill, line(&speeds.prefill))
                .map(|read| read + speeds.hand_over_seconds + place_wait(decode)),
            PoolRoute::Whole(engine) if query.prompt.is_some() => {
                until_read(engine, line(&speeds.decode)).map(|read| read + place_wait(engine))
            }
            PoolRoute::Whole(_) | PoolRoute::Nowhere => None,
        };
        (route, expected)
    }

    /// Takes a decision that was carried out.
    pub fn on_admission(&mut self, query: &PoolQuery<'_>, admission: Admission, now: MonotonicTime) {
        let assumed = self.assumed_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(assumed);
        speeds.turned_away.observe(admission != Admission::InTime);
        if matches!(admission, Admission::Refused { .. }) {
            // What it would have had to have read is wanted all the same.
            let tokens = query.prompt.map_or(0, |prompt| prompt.tokens);
            let held = self.context(query, now).most_held.min(tokens);
            self.demand.on_sent(f64::from(tokens - held), now);
        }
    }

    /// Takes how long the first event of a request that was to be in time took beside what was expected.
    pub fn on_first_event(&mut self, query: &PoolQuery<'_>, expected: Duration, took: Duration) {
        let assumed = self.assumed_speeds();
        let speeds = self.speeds.entry(query.pool.clone()).or_insert(assumed);
        speeds.error.observe(expected, took);
    }
}
