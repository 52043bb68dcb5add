//! Running statistics of estimate errors, output pauses and rejected requests.

use std::time::Duration;

/// Step size by which a quantile estimate moves with each observation.
const QUANTILE_STEP_SIZE: f64 = 0.02;

/// Minimum and maximum of a quantile estimate.
const QUANTILE_BOUNDS: (f64, f64) = (0.3, 4.0);

/// Added to the expected and the actual duration before they are compared, in seconds, so that a small absolute error
/// of a short duration does not count as a large relative error.
const DURATION_OFFSET_SECONDS: f64 = 0.020;

/// Quantile that the optimistic estimate tracks: the fraction of first events that arrive within the expected time
/// multiplied by the optimistic factor.
const OPTIMISTIC_QUANTILE: f64 = 0.2;

/// Quantile that the conservative estimate tracks: the same fraction for the conservative factor.
const CONSERVATIVE_QUANTILE: f64 = 0.65;

/// Running estimate of a quantile, updated by a fixed step with each observation.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quantile {
    quantile: f64,
    value: f64,
}

impl Quantile {
    fn new(quantile: f64) -> Self {
        Self { quantile, value: 1.0 }
    }

    fn observe(&mut self, observation: f64) {
        let step = if observation > self.value {
            self.quantile
        } else {
            self.quantile - 1.0
        };
        let (min, max) = QUANTILE_BOUNDS;
        self.value = (self.value + QUANTILE_STEP_SIZE * step).clamp(min, max);
    }
}

/// Ratio of actual to expected time until the first event, estimated at two quantiles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimateError {
    optimistic: Quantile,
    conservative: Quantile,
}

impl Default for EstimateError {
    fn default() -> Self {
        Self {
            optimistic: Quantile::new(OPTIMISTIC_QUANTILE),
            conservative: Quantile::new(CONSERVATIVE_QUANTILE),
        }
    }
}

impl EstimateError {
    /// Error factor for a `caution` from zero (the optimistic estimate) to one (the conservative one), interpolated linearly.
    pub fn factor(&self, caution: f64) -> f64 {
        let conservative = self.conservative.value.max(self.optimistic.value);
        self.optimistic.value + caution.clamp(0.0, 1.0) * (conservative - self.optimistic.value)
    }

    /// Records one first event.
    pub fn observe(&mut self, expected: Duration, took: Duration) {
        let ratio = (took.as_secs_f64() + DURATION_OFFSET_SECONDS)
            / (expected.as_secs_f64() + DURATION_OFFSET_SECONDS);
        self.optimistic.observe(ratio);
        self.conservative.observe(ratio);
    }
}

/// Quantile of the pauses between events that is tracked.
const TRACKED_PAUSE_QUANTILE: f64 = 0.8;

/// Initial estimate of the pause quantile, as a fraction of the maximum tolerated pause.
const INITIAL_PAUSE_FRACTION: f64 = 0.5;

/// Largest pause that counts as harmless, as a fraction of the maximum tolerated pause.
const MAX_HARMLESS_PAUSE_FRACTION: f64 = 0.4;

/// Smallest pause that counts as fully harmful, as a fraction of the maximum tolerated pause.
const MIN_FULL_HARM_PAUSE_FRACTION: f64 = 0.9;

/// Pauses between output events at engines with concurrent prefill, as a fraction of the maximum tolerated pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillPauses {
    fraction: Quantile,
}

impl Default for PrefillPauses {
    fn default() -> Self {
        let mut fraction = Quantile::new(TRACKED_PAUSE_QUANTILE);
        fraction.value = INITIAL_PAUSE_FRACTION;
        Self { fraction }
    }
}

impl PrefillPauses {
    /// Records one pause, as a fraction of the maximum tolerated pause.
    pub fn observe(&mut self, fraction: f64) {
        self.fraction.observe(fraction);
    }

    /// Harm of concurrent prefill to outputs, from zero (pauses well below the maximum) to one (outputs are late).
    pub fn harm(&self) -> f64 {
        ((self.fraction.value - MAX_HARMLESS_PAUSE_FRACTION)
            / (MIN_FULL_HARM_PAUSE_FRACTION - MAX_HARMLESS_PAUSE_FRACTION))
            .clamp(0.0, 1.0)
    }
}

/// Weight of a new request in the moving average of the rejection rate.
const REJECTION_OBSERVATION_WEIGHT: f64 = 0.05;

/// Moving average of the share of requests that could not meet their deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RejectionRate {
    share: f64,
}

impl RejectionRate {
    /// Share from zero to one.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records one request.
    pub fn observe(&mut self, is_rejected: bool) {
        let value = if is_rejected { 1.0 } else { 0.0 };
        self.share += REJECTION_OBSERVATION_WEIGHT * (value - self.share);
    }
}
