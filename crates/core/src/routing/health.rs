//! Observed health of one engine: how much slower it is than its own reports suggest, and whether it is in backoff.

use super::slow_start::SlowStart;
use crate::engine::EngineRefusalReason;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Weight of a new observation in the moving average of the slowness.
const SLOWNESS_OBSERVATION_WEIGHT: f64 = 0.2;
/// Half-life of the observed slowness, so that a recovered engine receives load again.
const SLOWNESS_HALF_LIFE_SECONDS: f64 = 20.0;
/// Added to the observed and the expected delay before they are compared, so that a small difference between short delays
/// has little effect.
const DELAY_OFFSET_SECONDS: f64 = 0.05;
/// Maximum slowness factor of one observation; its reciprocal is the minimum.
const MAX_DELAY_FACTOR: f64 = 50.0;
/// Initial backoff after a connection failure or a missing response.
const INITIAL_CONNECTION_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Initial backoff after the engine reported a full queue.
const INITIAL_QUEUE_FULL_BACKOFF: Duration = Duration::from_millis(100);
/// Backoff after a refusal that stems from the engine's state, such as draining.
const ENGINE_STATE_BACKOFF: Duration = Duration::from_millis(1_000);
/// Maximum backoff after any failure.
const MAX_BACKOFF: Duration = Duration::from_secs(15);
/// Maximum backoff after missing responses. Only another request can detect that an unreachable machine has recovered.
const MAX_UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);
/// Number of consecutive failures after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Observed health of one engine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    log_slowness: f64,
    updated_at: MonotonicTime,
    consecutive_failures: u32,
    backoff_until: MonotonicTime,
    /// Slow start after the backoff; `None` unless the backoff was caused by missing responses.
    slow_start: Option<SlowStart>,
}

impl Health {
    /// Updates the slowness from an observed delay and the delay expected from the engine's own report.
    pub fn observe(&mut self, observed: Duration, expected: Duration, now: MonotonicTime) {
        let factor = delay_factor(observed, expected);
        let current = self.log_slowness_at(now);
        self.log_slowness = current + SLOWNESS_OBSERVATION_WEIGHT * (factor.ln() - current);
        self.updated_at = now;
    }

    /// Factor by which the engine is slower than its reports suggest; below one if it is faster.
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        self.log_slowness_at(now).exp()
    }

    /// Resets the count of consecutive failures.
    pub fn on_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Starts a backoff after a connection to the engine broke or could not be established.
    pub fn on_connection_failure(&mut self, now: MonotonicTime) {
        self.start_backoff(INITIAL_CONNECTION_FAILURE_BACKOFF, now);
    }

    /// Starts a backoff followed by a slow start after the engine did not respond in time to this node or a peer. Returns the
    /// length of the backoff, or `None` if the engine is in backoff already.
    pub fn on_unresponsive(&mut self, now: MonotonicTime) -> Option<Duration> {
        if self.is_backing_off(now) {
            return None;
        }
        self.start_backoff(INITIAL_CONNECTION_FAILURE_BACKOFF, now);
        self.backoff_until = self.backoff_until.min(now + MAX_UNRESPONSIVE_BACKOFF);
        self.slow_start = Some(SlowStart::begin(self.backoff_until));
        Some(self.backoff_until.since(now))
    }

    /// Ends a backoff caused by missing responses after the engine has responded to a peer, and begins the slow start. Returns
    /// whether there was such a backoff.
    pub fn on_peer_success(&mut self, now: MonotonicTime) -> bool {
        let ends_backoff = self.slow_start.is_some() && self.is_backing_off(now);
        if ends_backoff {
            self.consecutive_failures = 0;
            self.backoff_until = now;
            self.slow_start = Some(SlowStart::begin(now));
        }
        ends_backoff
    }

    /// Whether the slow start admits a request; `selection_key` is specific to the request and the engine.
    pub fn admits(&self, selection_key: u64, now: MonotonicTime) -> bool {
        self.slow_start
            .is_none_or(|slow_start| slow_start.admits(selection_key, now))
    }

    /// Starts a backoff if the reason for the refusal calls for one.
    pub fn on_refusal(&mut self, reason: EngineRefusalReason, now: MonotonicTime) {
        match reason {
            EngineRefusalReason::QueueFull => self.start_backoff(INITIAL_QUEUE_FULL_BACKOFF, now),
            EngineRefusalReason::Draining
            | EngineRefusalReason::Changing
            | EngineRefusalReason::NotLoaded
            | EngineRefusalReason::WrongRole => {
                self.backoff_until = now + ENGINE_STATE_BACKOFF;
                self.slow_start = None;
            }
            EngineRefusalReason::TransferGone
            | EngineRefusalReason::UnknownRequest
            | EngineRefusalReason::Malformed => {}
        }
    }

    /// Resets all state after a restart of the engine's process.
    pub fn on_restart(&mut self) {
        *self = Self::default();
    }

    /// Whether the engine is in backoff.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.backoff_until
    }

    /// Time until the backoff ends; `None` if the engine is not in backoff.
    pub fn remaining_backoff(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_backing_off(now).then(|| self.backoff_until.since(now))
    }

    fn start_backoff(&mut self, initial_backoff: Duration, now: MonotonicTime) {
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = initial_backoff.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.backoff_until = now + backoff;
        self.slow_start = None;
    }

    fn log_slowness_at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.log_slowness * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_SECONDS)
    }
}

/// Ratio of the observed to the expected delay, clamped to a fixed range.
pub fn delay_factor(observed: Duration, expected: Duration) -> f64 {
    let observed = observed.as_secs_f64() + DELAY_OFFSET_SECONDS;
    let expected = expected.as_secs_f64() + DELAY_OFFSET_SECONDS;
    (observed / expected).clamp(1.0 / MAX_DELAY_FACTOR, MAX_DELAY_FACTOR)
}
