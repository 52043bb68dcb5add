//! Pauses between the events of streams, before they happen: what a choice of an engine brings to the streams there,
//! and what the new stream meets.
//!
//! A route may name the longest pause that is harmless, its bound. An engine that runs outputs reads prompts in pieces
//! between the steps of the outputs, so that all of them wait; a slow engine takes longer for each event by itself.
//!
//! ```text
//! pause at e, t  = work factor of e * (event + (t > 0: fixed part of a reading + t * seconds to read a token here))
//! share late p/b = (p / b)^4 / (1 + (p / b)^4)             (0.06 at half the bound, 0.5 at it, 0.94 at twice of it)
//!
//! made late at e = streams at e * room apart * (share late (pause at e, new prompt read too) - share late (pause at e))
//! room apart     = 1 - share late (shortest wait at an engine that reads prompts)
//! own lateness   = share late (pause at e by the prompts that are read once this request's own has been)
//! cost           = w.pause_seconds * (made late at e + own lateness)
//! ```
//!
//! `t` are prompt tokens to read at the engine, but no fewer than it had to read at once of late, which fades in half a
//! second: a stream lasts longer than a reading, so what matters to it is who reads by and by. So readings come together
//! at few engines, and new streams keep away from these. `event` is the time between events that was seen where nothing was
//! read. Streams are the outputs that have kept to their bound so far; the shortest bound of any of them counts.
//!
//! The share grows steeply where a pause nears the bound and ends at one, so a request always finds a place: where every
//! engine breaks a bound, the reading goes where it breaks the fewest. Who is displaced: a stream that has paused too
//! long is late for good and is not spared any more, at the cost of those that still keep their pace. Streams count alike
//! whatever their route and rank: a rank says who goes first, and an engine that reads makes all outputs wait.
//!
//! A reading apart, at an engine without outputs, costs no pause, but makes others wait for their first event. So pauses
//! count by the room there: where prompts wait for long to be read apart, sparing streams only makes other requests late
//! (in virtual time, 460 requests a second before 31 engines that read and 59 that run outputs: 0.146 of the streams come
//! late by either with regard to the room, 0.152 without, 0.199 with pauses left alone; `docs/design/stream-pauses.md`).

use super::engine::EngineLoad;
use super::prefill_speed::{LARGEST_FACTOR, PrefillSpeed};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Share of a new observation in the time between events.
const PACE_SHARE: f64 = 0.05;

/// Shortest time that the running mean is limited from, in seconds: a millisecond is what a clock and a network blur.
const LEAST_PACE_SECONDS: f64 = 0.001;

/// Time between two events of an output where nothing is read beside it, at an engine of usual speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EventInterval {
    seconds: Option<f64>,
}

impl EventInterval {
    /// The time, in seconds; zero until one was seen.
    pub fn seconds(&self) -> f64 {
        self.seconds.unwrap_or_default()
    }

    /// Takes one pause, in seconds at an engine of usual speed.
    pub fn observe(&mut self, seconds: f64) {
        let Some(mean) = self.seconds else {
            self.seconds = Some(seconds);
            return;
        };
        let most = mean.max(LEAST_PACE_SECONDS) * LARGEST_FACTOR;
        self.seconds = Some(mean + PACE_SHARE * (seconds.min(most) - mean));
    }
}

/// Time in which what was read of late fades to a third; a stream of some ten events lasts about as long.
const RECENT: Duration = Duration::from_millis(500);

/// Most prompt tokens that an engine had to read at once of late: what is read there by and by.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentPrefill {
    tokens: f64,
    at: Option<MonotonicTime>,
}

impl RecentPrefill {
    /// The tokens, as far as they have not faded.
    pub fn tokens(&self, now: MonotonicTime) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        self.tokens * (-now.since(at).as_secs_f64() / RECENT.as_secs_f64()).exp()
    }

    /// Takes what is to be read now.
    pub fn observe(&mut self, tokens: f64, now: MonotonicTime) {
        if tokens >= self.tokens(now) {
            *self = Self {
                tokens,
                at: Some(now),
            };
        }
    }
}

/// What decides the pauses at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseForecast {
    /// Time between two events where nothing is read, at an engine of usual speed, in seconds.
    pub event_interval_seconds: f64,
    /// Reading at an engine that runs outputs.
    pub prefill: PrefillSpeed,
    /// Factor by which work takes longer at the engine.
    pub work_factor: f64,
    /// Prompt tokens that it had to read at once of late.
    pub recent_prefill: f64,
}

impl PauseForecast {
    /// Longest pause to expect where so many prompt tokens are to be read now, in seconds.
    pub fn pause(&self, prompt_tokens: f64) -> f64 {
        let tokens = prompt_tokens.max(self.recent_prefill);
        let reading = if tokens > 0.0 {
            self.prefill.seconds(tokens)
        } else {
            0.0
        };
        self.work_factor * (self.event_interval_seconds + reading)
    }

    /// How many streams at the engine come late by a pause because it reads so many tokens more, as far as the reading
    /// could be done apart: `min_prefill_wait` is the shortest time until it would begin there, in seconds.
    pub fn added_late_streams(
        &self,
        work: &EngineLoad,
        prompt_tokens: f64,
        min_prefill_wait: Option<f64>,
    ) -> f64 {
        let Some(bound) = work.min_event_gap_limit.filter(|_| prompt_tokens > 0.0) else {
            return 0.0;
        };
        let now = work.all_prompt_tokens();
        let before = late_probability(self.pause(now), bound);
        let after = late_probability(self.pause(now + prompt_tokens), bound);
        let room = min_prefill_wait.map_or(1.0, |wait| 1.0 - late_probability(wait, bound));
        work.streams * room * (after - before)
    }

    /// How sure a new stream is to come late by a pause, from zero to one.
    ///
    /// `prompt_tokens` are those that are read beside it.
    pub fn own_late_probability(&self, prompt_tokens: f64, bound: Option<Duration>) -> f64 {
        bound.map_or(0.0, |bound| late_probability(self.pause(prompt_tokens), bound))
    }
}

/// Share of the streams that are late by a pause, given the one that is expected, in seconds, and the bound.
pub fn late_probability(pause: f64, bound: Duration) -> f64 {
    let part = pause / bound.as_secs_f64().max(f64::MIN_POSITIVE);
    let steep = part.powi(4);
    if steep.is_finite() {
        steep / (1.0 + steep)
    } else {
        1.0
    }
}
