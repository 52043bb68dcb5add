//! Estimated probability that an engine fails during a request.
//!
//! Engines that failed recently are more likely to fail again, since causes often persist: a process that loses
//! responses, a faulty host, or a network card that resets connections. Requests that can be retried rely on the
//! backoff after a failure; requests that may run on one engine only are lost with their engine, so they also avoid
//! engines with a high risk.

use super::engine::EngineState;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Weight of one failure in the moving average of the failure rate; two in a row raise it above one half.
const FAILURE_WEIGHT: f64 = 0.3;

/// Weight of one success in the moving average. The successes of an engine in about one second outweigh one failure.
const SUCCESS_WEIGHT: f64 = 0.1;

/// Half-life of the failure rate, so that an engine without requests is eventually used again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Risk of a spot engine that is not leaving while the platform reclaims other spot engines of its zone.
const RECLAIM_RISK: f64 = 0.2;

/// Time after the last observed reclaim in the zone for which [`RECLAIM_RISK`] applies.
const RECLAIM_RISK_DURATION: Duration = Duration::from_secs(10);

/// Moving average of the share of an engine's dispatches that failed recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    rate: f64,
    last_failure_at: MonotonicTime,
}

impl FailureRate {
    /// Records a dispatch whose connection failed or became unresponsive.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        let rate = self.at(now);
        self.rate = rate + FAILURE_WEIGHT * (1.0 - rate);
        self.last_failure_at = now;
    }

    /// Records an answered dispatch.
    pub fn record_success(&mut self) {
        self.rate -= SUCCESS_WEIGHT * self.rate;
    }

    /// The failure rate at a time, from zero to one.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.last_failure_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.rate * 0.5_f64.powf(age)
    }
}

impl EngineState {
    /// Estimated probability that the engine fails during a request, from zero to one.
    pub fn risk(&self, now: MonotonicTime) -> f64 {
        let is_reclaim_recent = self
            .reclaim_seen_at
            .is_some_and(|at| now.since(at) < RECLAIM_RISK_DURATION);
        let reclaim_risk = if is_reclaim_recent && self.engine.spot {
            RECLAIM_RISK
        } else {
            0.0
        };
        self.failure_rate.at(now).max(reclaim_risk)
    }
}
