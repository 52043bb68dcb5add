//! What a pool's engines were seen to take, by what they do.

use super::pauses::EventInterval;
use super::prefill_speed::{LARGEST_FACTOR, PrefillSpeed};
use super::running_stats::{EstimateError, PrefillPauses, RejectionRate};
use std::time::Duration;

/// Share of a new observation in the running mean of hand-overs.
const HAND_OVER_SHARE: f64 = 0.1;

/// Hand-over that is assumed at the start, in seconds.
const ASSUMED_HAND_OVER_SECONDS: f64 = 0.020;

/// Least value that the running means are limited from, in seconds.
const LEAST_FOLLOWED_SECONDS: f64 = 0.010;

/// Moves a running mean towards an observation that counts for no more than a bounded factor of it.
fn follow(mean: &mut f64, observed: f64) {
    let most = mean.max(LEAST_FOLLOWED_SECONDS) * LARGEST_FACTOR;
    *mean += HAND_OVER_SHARE * (observed.min(most) - *mean);
}

/// Wait for a place at a full engine that is assumed at the start, in seconds.
const ASSUMED_PLACE_WAIT_SECONDS: f64 = 0.100;

/// Part of the speed that is assumed to be left for what goes behind everything else.
const ASSUMED_LATE_PACE: f64 = 0.5;

/// What a pool's engines were seen to take, by what they do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSpeeds {
    /// Reading at an engine that reads prompts, until it was done.
    pub prefill: PrefillSpeed,
    /// Reading at an engine that runs outputs, until the first event.
    pub decode: PrefillSpeed,
    /// Reading behind everything that can be in time, until it was done.
    pub late: PrefillSpeed,
    /// From the dispatch of an output whose prompt another engine has read to its first event, in seconds, where a
    /// place was free.
    pub handoff_seconds: f64,
    /// The same on top where none was free.
    pub queue_wait_seconds: f64,
    /// By how much first events exceed what was expected.
    pub error: EstimateError,
    /// What outputs suffer from reading beside them.
    pub pauses: PrefillPauses,
    /// Time between two events of an output where nothing is read beside it, at a usual engine.
    pub pace: EventInterval,
    /// How many requests could not be in time.
    pub rejection_rate: RejectionRate,
}

impl PoolSpeeds {
    /// Begins with the assumed speed of an engine that reads prompts, in tokens per second, and the assumed pace of
    /// one that runs outputs, relative to it.
    pub fn assumed(tokens_per_second: f64, decode_pace: f64) -> Self {
        Self {
            prefill: PrefillSpeed::assumed(tokens_per_second),
            decode: PrefillSpeed::assumed(tokens_per_second * decode_pace),
            late: PrefillSpeed::assumed(tokens_per_second * ASSUMED_LATE_PACE),
            handoff_seconds: ASSUMED_HAND_OVER_SECONDS,
            queue_wait_seconds: ASSUMED_PLACE_WAIT_SECONDS,
            error: EstimateError::default(),
            pauses: PrefillPauses::default(),
            pace: EventInterval::default(),
            rejection_rate: RejectionRate::default(),
        }
    }

    /// Takes how long a hand-over took, and whether a place was free for it.
    pub fn observe_handoff(&mut self, took: Duration, had_free_slot: bool) {
        if had_free_slot {
            follow(&mut self.handoff_seconds, took.as_secs_f64());
        } else {
            let wait = (took.as_secs_f64() - self.handoff_seconds).max(0.0);
            follow(&mut self.queue_wait_seconds, wait);
        }
    }

    /// Seconds that an output waits before it begins, at an engine with or without a free place.
    pub fn queue_wait(&self, has_free_slot: bool) -> f64 {
        if has_free_slot {
            0.0
        } else {
            self.queue_wait_seconds
        }
    }
}
