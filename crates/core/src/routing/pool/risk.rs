//! How likely an engine ends under a request, for requests that may run on one engine only.
//!
//! What breaks once tends to break again: a process that loses answers, a host in trouble, a network card that resets
//! connections. For what may be repeated the pause after a break is enough; what may not is lost with its engine.

use super::engine::EngineState;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Share of a break in the share of dispatches that broke: two in a row make it more likely than not.
const FAILURE_WEIGHT: f64 = 0.3;

/// Share of an answer in it: as many answers as an engine gives in a second outweigh one break.
const SUCCESS_WEIGHT: f64 = 0.1;

/// Time after which half of a share is forgotten, so that an engine that nobody uses for it is tried again.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Risk of a spot engine whose zone takes spot engines back, though it is not listed as leaving: the platform has taken
/// some of a zone's and may take the rest.
const RECLAIM_RISK: f64 = 0.2;

/// Time for which it is one.
const RECLAIM_RISK_DURATION: Duration = Duration::from_secs(10);

/// Share of an engine's dispatches that broke of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FailureRate {
    share: f64,
    broke_at: MonotonicTime,
}

impl FailureRate {
    /// A connection broke or fell silent.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        let share = self.at(now);
        self.share = share + FAILURE_WEIGHT * (1.0 - share);
        self.broke_at = now;
    }

    /// A dispatch was answered.
    pub fn record_success(&mut self) {
        self.share -= SUCCESS_WEIGHT * self.share;
    }

    /// The share, from zero to one.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.broke_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share * 0.5_f64.powf(age)
    }
}

impl EngineState {
    /// How likely the engine ends under a request, from zero to one.
    pub fn risk(&self, now: MonotonicTime) -> f64 {
        let taken_back = self
            .reclaim_seen_at
            .is_some_and(|at| now.since(at) < RECLAIM_RISK_DURATION);
        let listed = if taken_back && self.engine.spot {
            RECLAIM_RISK
        } else {
            0.0
        };
        self.breaks.at(now).max(listed)
    }
}
