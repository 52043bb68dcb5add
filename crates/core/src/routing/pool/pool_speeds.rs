//! Measured durations of the stages of requests in one pool.

use super::expectation::{EstimateError, PrefillPauses, RejectionRate};
use super::pauses::EventInterval;
use super::speed::{MAX_OUTLIER_RATIO, PrefillSpeed};
use std::time::Duration;

/// Weight of a new observation in the moving averages of durations.
const DURATION_OBSERVATION_WEIGHT: f64 = 0.1;

/// Initial estimate of the handoff duration, in seconds.
const INITIAL_HANDOFF_SECONDS: f64 = 0.020;

/// Minimum average to which `MAX_OUTLIER_RATIO` is applied, in seconds.
const MIN_OUTLIER_REFERENCE_SECONDS: f64 = 0.010;

/// Updates a moving average with an observation, clamped to a maximum ratio to the average.
fn update_average(mean: &mut f64, observed: f64) {
    let max_observed = mean.max(MIN_OUTLIER_REFERENCE_SECONDS) * MAX_OUTLIER_RATIO;
    *mean += DURATION_OBSERVATION_WEIGHT * (observed.min(max_observed) - *mean);
}

/// Initial estimate of the queueing time at a full engine, in seconds.
const INITIAL_QUEUE_WAIT_SECONDS: f64 = 0.100;

/// Initial prefill speed of requests of the lowest rank, relative to other requests.
const INITIAL_LATE_PREFILL_SPEED_RATIO: f64 = 0.5;

/// Measured durations and statistics of one pool, which the estimates of new requests use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolSpeeds {
    /// Prefill at prefill engines, until it is done.
    pub prefill: PrefillSpeed,
    /// Prefill at decode engines, until the first output event.
    pub decode: PrefillSpeed,
    /// Prefill of requests of the lowest rank, which run after all requests that can still meet their deadline.
    pub late: PrefillSpeed,
    /// Mean time in seconds from a decode dispatch after a prefill at another engine to its first event, if the
    /// engine was not full.
    pub handoff_seconds: f64,
    /// Mean additional time in seconds if the engine was full.
    pub queue_wait_seconds: f64,
    /// Ratio of actual to estimated time until the first event.
    pub estimate_error: EstimateError,
    /// Gaps between output events at engines with concurrent prefill.
    pub pauses: PrefillPauses,
    /// Time between two events of an output at an engine of average speed without concurrent prefill.
    pub event_interval: EventInterval,
    /// Share of requests that could not meet their deadline.
    pub rejection_rate: RejectionRate,
}

impl PoolSpeeds {
    /// Creates the initial estimates from the speed of a prefill engine in tokens per second and the relative prefill
    /// speed of a decode engine.
    pub fn with_initial_speed(tokens_per_second: f64, decode_speed_ratio: f64) -> Self {
        Self {
            prefill: PrefillSpeed::with_initial_speed(tokens_per_second),
            decode: PrefillSpeed::with_initial_speed(tokens_per_second * decode_speed_ratio),
            late: PrefillSpeed::with_initial_speed(tokens_per_second * INITIAL_LATE_PREFILL_SPEED_RATIO),
            handoff_seconds: INITIAL_HANDOFF_SECONDS,
            queue_wait_seconds: INITIAL_QUEUE_WAIT_SECONDS,
            estimate_error: EstimateError::default(),
            pauses: PrefillPauses::default(),
            event_interval: EventInterval::default(),
            rejection_rate: RejectionRate::default(),
        }
    }

    /// Records the duration of a handoff, and whether the engine had a free slot for it.
    pub fn observe_handoff(&mut self, took: Duration, had_free_slot: bool) {
        if had_free_slot {
            update_average(&mut self.handoff_seconds, took.as_secs_f64());
        } else {
            let wait = (took.as_secs_f64() - self.handoff_seconds).max(0.0);
            update_average(&mut self.queue_wait_seconds, wait);
        }
    }

    /// Estimated queueing time of an output, in seconds.
    pub fn queue_wait(&self, has_free_slot: bool) -> f64 {
        if has_free_slot {
            0.0
        } else {
            self.queue_wait_seconds
        }
    }
}
