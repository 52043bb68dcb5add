//! How far an engine's answers fall behind what it reports of itself, and whether it is left alone for a while.

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
const LARGEST_FACTOR: f64 = 50.0;
/// First pause after a connection to the engine broke.
const BROKEN_PAUSE: Duration = Duration::from_millis(500);
/// First pause after the engine said that its queue is full.
const QUEUE_FULL_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a refusal that only a later report can lift.
const STATE_PAUSE: Duration = Duration::from_millis(1_000);
/// Longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(15);
/// Largest number of doublings of a pause.
const MOST_DOUBLINGS: u32 = 5;

/// Observed health of one engine.
#[derive(Clone, Debug, Default)]
pub struct Health {
    log_slowness: f64,
    updated_at: MonotonicTime,
    consecutive_troubles: u32,
    paused_until: MonotonicTime,
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
    pub fn succeeded(&mut self) {
        self.consecutive_troubles = 0;
    }

    /// A connection broke or could not be made.
    pub fn broke(&mut self, now: MonotonicTime) {
        self.pause(BROKEN_PAUSE, now);
    }

    /// The engine refused to run something.
    pub fn refused(&mut self, reason: EngineRefusalReason, now: MonotonicTime) {
        match reason {
            EngineRefusalReason::QueueFull => self.pause(QUEUE_FULL_PAUSE, now),
            EngineRefusalReason::Draining
            | EngineRefusalReason::Changing
            | EngineRefusalReason::NotLoaded
            | EngineRefusalReason::WrongRole => self.paused_until = now + STATE_PAUSE,
            EngineRefusalReason::TransferGone
            | EngineRefusalReason::UnknownRequest
            | EngineRefusalReason::Malformed => {}
        }
    }

    /// A new start of the engine's process wipes what was known of the old one.
    pub fn restarted(&mut self) {
        *self = Self::default();
    }

    /// Whether the engine is left alone now.
    pub fn is_paused(&self, now: MonotonicTime) -> bool {
        now < self.paused_until
    }

    /// Time for which it is still left alone; absent where it isn't.
    pub fn paused_for(&self, now: MonotonicTime) -> Option<Duration> {
        self.is_paused(now).then(|| self.paused_until.since(now))
    }

    fn pause(&mut self, first: Duration, now: MonotonicTime) {
        let doublings = self.consecutive_troubles.min(MOST_DOUBLINGS);
        let pause = first.saturating_mul(1 << doublings).min(LONGEST_PAUSE);
        self.consecutive_troubles = self.consecutive_troubles.saturating_add(1);
        self.paused_until = now + pause;
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
    (observed / expected).clamp(1.0 / LARGEST_FACTOR, LARGEST_FACTOR)
}
