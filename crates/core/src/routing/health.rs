//! How far an engine's answers fall behind what it reports of itself, and whether it is left alone for a while.

use super::slow_start::SlowStart;
use crate::engine::EngineRefusalReason;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Share of a new observation in the running mean.
const OBSERVATION_SHARE: f64 = 0.2;
/// Time after which half of an observed slowness is forgotten, so that a recovered engine is tried again.
const FORGET_HALF_LIFE_SECONDS: f64 = 20.0;
/// Added to both delays before they are compared, so that tiny ones do not count as slowness.
const DELAY_FLOOR_SECONDS: f64 = 0.05;
/// Largest factor by which one observation may count.
const MAX_OUTLIER_RATIO: f64 = 50.0;
/// First pause after a connection to the engine broke.
const BROKEN_PAUSE: Duration = Duration::from_millis(500);
/// First pause after the engine said that its queue is full.
const QUEUE_FULL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a refusal that only a later report can lift.
const STATE_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);
/// Longest pause after the engine said nothing for too long. A machine that was cut off or dark is back without a word, so
/// one request of the fleet tries it so often.
const LONGEST_SILENT_PAUSE: Duration = Duration::from_secs(2);
/// Largest number of doublings of a pause.
const MOST_DOUBLINGS: u32 = 5;

/// Observed health of one engine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    log_slowness: f64,
    updated_at: MonotonicTime,
    consecutive_troubles: u32,
    paused_until: MonotonicTime,
    /// How load returns after the pause, where the engine is paused because it said nothing.
    returning: Option<SlowStart>,
}

impl Health {
    /// Records how long something took beside how long the engine's own report promised.
    pub fn observe(&mut self, observed: Duration, expected: Duration, now: MonotonicTime) {
        let factor = delay_factor(observed, expected);
        let current = self.log_slowness_at(now);
        self.log_slowness = current + OBSERVATION_SHARE * (factor.ln() - current);
        self.updated_at = now;
    }

    /// Factor by which the engine is slower than it says; below one when it is faster.
    pub fn slowness(&self, now: MonotonicTime) -> f64 {
        self.log_slowness_at(now).exp()
    }

    /// An answer came: the engine works.
    pub fn on_success(&mut self) {
        self.consecutive_troubles = 0;
    }

    /// A connection broke or could not be made.
    pub fn on_connection_failure(&mut self, now: MonotonicTime) {
        self.pause(BROKEN_PAUSE, now);
    }

    /// The engine said nothing for too long, to this node or another: after a pause load returns step by step. The pause
    /// that begins, if one does.
    pub fn on_unresponsive(&mut self, now: MonotonicTime) -> Option<Duration> {
        if self.is_backing_off(now) {
            return None;
        }
        self.pause(BROKEN_PAUSE, now);
        self.paused_until = self.paused_until.min(now + LONGEST_SILENT_PAUSE);
        self.returning = Some(SlowStart::begin(self.paused_until));
        Some(self.paused_until.since(now))
    }

    /// The engine has answered another node: if it was left alone because it said nothing, load returns now. True where
    /// that was so.
    pub fn on_peer_success(&mut self, now: MonotonicTime) -> bool {
        let returns = self.returning.is_some() && self.is_backing_off(now);
        if returns {
            self.consecutive_troubles = 0;
            self.paused_until = now;
            self.returning = Some(SlowStart::begin(now));
        }
        returns
    }

    /// Whether a request may go there as far as silence is concerned, by a number drawn for both.
    pub fn admits(&self, drawn: u64, now: MonotonicTime) -> bool {
        self.returning
            .is_none_or(|returning| returning.admits(drawn, now))
    }

    /// The engine refused to run something.
    pub fn on_refusal(&mut self, reason: EngineRefusalReason, now: MonotonicTime) {
        match reason {
            EngineRefusalReason::QueueFull => self.pause(QUEUE_FULL_PAUSE, now),
            EngineRefusalReason::Draining
            | EngineRefusalReason::Changing
            | EngineRefusalReason::NotLoaded
            | EngineRefusalReason::WrongRole => {
                self.paused_until = now + STATE_PAUSE;
                self.returning = None;
            }
            EngineRefusalReason::TransferGone
            | EngineRefusalReason::UnknownRequest
            | EngineRefusalReason::Malformed => {}
        }
    }

    /// A new start of the engine's process wipes what was known of the old one.
    pub fn on_restart(&mut self) {
        *self = Self::default();
    }

    /// Whether the engine is left alone now.
    pub fn is_backing_off(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Time for which it is still left alone; absent where it isn't.
    pub fn remaining_backoff(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_backing_off(now).then(|| self.paused_until.since(now))
    }

    fn pause(&mut self, first: Duration, now: MonotonicTime) {
        let doublings = self.consecutive_troubles.min(MOST_DOUBLINGS);
        let pause = first.saturating_mul(1 << doublings).min(LONGEST_PAUSE);
        self.consecutive_troubles = self.consecutive_troubles.saturating_add(1);
        self.paused_until = now + pause;
        self.returning = None;
    }

    fn log_slowness_at(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.log_slowness * 0.5_f64.powf(age / FORGET_HALF_LIFE_SECONDS)
    }
}

/// Observed delay over expected delay, within bounds.
pub fn delay_factor(observed: Duration, expected: Duration) -> f64 {
    let observed = observed.as_secs_f64() + DELAY_FLOOR_SECONDS;
    let expected = expected.as_secs_f64() + DELAY_FLOOR_SECONDS;
    (observed / expected).clamp(1.0 / MAX_OUTLIER_RATIO, MAX_OUTLIER_RATIO)
}
