//! Forecast of the pauses between the events of streams: how the choice of an engine affects the streams that run there
//! and the new stream.
//!
//! A route may set a bound (`max_event_gap`), the maximum time between two events that its clients tolerate. A decode
//! engine prefills prompts in chunks between decode steps, which delays every stream on it; on a slow engine each step
//! takes longer.
//!
//! ```text
//! pause(e, t)          = work factor of e * (event interval + (t > 0: overhead + t * prefill seconds per token))
//! late probability     = (pause / bound)^4 / (1 + (pause / bound)^4)     (0.06 at half the bound, 0.5 at it)
//!
//! added late streams   = streams at e * prefill headroom * (late probability with the new prompt - without it)
//! prefill headroom     = 1 - late probability (shortest wait at a prefill engine)
//! own late probability = late probability (pause caused by prompts that are prefilled after the own prompt)
//! cost                 = w.pause_seconds * (added late streams + own late probability)
//! ```
//!
//! `t` is the number of prompt tokens waiting for prefill at the engine, or its recent peak if that is larger. The peak
//! decays within half a second. A stream outlasts a single prefill, so the recent peak predicts its pauses better than
//! the current queue. As a result, prefill concentrates on few decode engines and new streams avoid these. `event
//! interval` is the time between events without concurrent prefill. Only streams that have kept to their bound count,
//! and the shortest of their bounds applies.
//!
//! The late probability rises steeply near the bound and is at most one, so a request is always placed: if every engine
//! exceeds a bound, the prompt goes where it delays the fewest streams. A stream that has already exceeded its bound is
//! not protected any more. All streams have equal weight, whatever their route and rank, since prefill delays all of
//! them.
//!
//! Prefill on a separate engine delays no stream, but makes other prompts wait for their first event. Pauses therefore
//! weigh less when the prefill engines are busy: protecting streams would then only make other requests late. See
//! `docs/design/stream-pauses.md`.

use super::engine::EngineLoad;
use super::speed::{MAX_OUTLIER_RATIO, PrefillSpeed};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Weight of a new observation in the moving average of the event interval.
const EVENT_INTERVAL_WEIGHT: f64 = 0.05;

/// Minimum event interval from which the outlier limit is computed, in seconds. Shorter intervals are within clock and
/// network jitter.
const MIN_EVENT_INTERVAL_SECONDS: f64 = 0.001;

/// Moving average of the time between two events of a stream without concurrent prefill, normalized to an engine of
/// average speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EventInterval {
    seconds: Option<f64>,
}

impl EventInterval {
    /// The average in seconds; zero before the first observation.
    pub fn seconds(&self) -> f64 {
        self.seconds.unwrap_or_default()
    }

    /// Adds an observed interval, in seconds, normalized to an engine of average speed. Outliers are limited.
    pub fn observe(&mut self, seconds: f64) {
        let Some(mean) = self.seconds else {
            self.seconds = Some(seconds);
            return;
        };
        let max_seconds = mean.max(MIN_EVENT_INTERVAL_SECONDS) * MAX_OUTLIER_RATIO;
        self.seconds = Some(mean + EVENT_INTERVAL_WEIGHT * (seconds.min(max_seconds) - mean));
    }
}

/// Time constant of the exponential decay of [`RecentPrefill`], about the duration of a stream with ten events.
const RECENT_PREFILL_TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Recent peak of the prompt tokens waiting for prefill at an engine, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentPrefill {
    tokens: f64,
    at: Option<MonotonicTime>,
}

impl RecentPrefill {
    /// The decayed peak at `now`.
    pub fn tokens(&self, now: MonotonicTime) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        self.tokens * (-now.since(at).as_secs_f64() / RECENT_PREFILL_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Records the tokens that currently wait for prefill, unless the decayed peak is higher.
    pub fn observe(&mut self, tokens: f64, now: MonotonicTime) {
        if tokens >= self.tokens(now) {
            *self = Self {
                tokens,
                at: Some(now),
            };
        }
    }
}

/// Inputs for the forecast of pauses at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseForecast {
    /// Time between two events without concurrent prefill at an engine of average speed, in seconds.
    pub event_interval_seconds: f64,
    /// Prefill speed of a decode engine.
    pub prefill: PrefillSpeed,
    /// Factor by which work takes longer at this engine than at an average one.
    pub work_factor: f64,
    /// Recent peak of the prompt tokens waiting for prefill, from [`RecentPrefill`].
    pub recent_prefill_tokens: f64,
}

impl PauseForecast {
    /// Longest expected pause, in seconds, while `prompt_tokens` wait for prefill.
    pub fn pause(&self, prompt_tokens: f64) -> f64 {
        let tokens = prompt_tokens.max(self.recent_prefill_tokens);
        let prefill_seconds = if tokens > 0.0 {
            self.prefill.seconds(tokens)
        } else {
            0.0
        };
        self.work_factor * (self.event_interval_seconds + prefill_seconds)
    }

    /// Expected number of additional streams at the engine that exceed their bound if `prompt_tokens` more are
    /// prefilled there. Weighted by the headroom of the prefill engines; `min_prefill_wait` is their shortest queueing
    /// time in seconds, and without it the weight is one.
    pub fn added_late_streams(
        &self,
        load: &EngineLoad,
        prompt_tokens: f64,
        min_prefill_wait: Option<f64>,
    ) -> f64 {
        let Some(max_event_gap) = load.min_event_gap_limit.filter(|_| prompt_tokens > 0.0) else {
            return 0.0;
        };
        let queued_tokens = load.all_prompt_tokens();
        let before = late_probability(self.pause(queued_tokens), max_event_gap);
        let after = late_probability(self.pause(queued_tokens + prompt_tokens), max_event_gap);
        let headroom = min_prefill_wait.map_or(1.0, |wait| 1.0 - late_probability(wait, max_event_gap));
        load.streams * headroom * (after - before)
    }

    /// Probability that a new stream exceeds its bound while `prompt_tokens` of other prompts are prefilled; zero
    /// without a bound.
    pub fn own_late_probability(&self, prompt_tokens: f64, max_event_gap: Option<Duration>) -> f64 {
        max_event_gap.map_or(0.0, |max_event_gap| {
            late_probability(self.pause(prompt_tokens), max_event_gap)
        })
    }
}

/// Probability that a stream exceeds its bound, given the expected pause and the bound.
pub fn late_probability(pause_seconds: f64, max_event_gap: Duration) -> f64 {
    let ratio = pause_seconds / max_event_gap.as_secs_f64().max(f64::MIN_POSITIVE);
    let power = ratio.powi(4);
    if power.is_finite() {
        power / (1.0 + power)
    } else {
        1.0
    }
}
