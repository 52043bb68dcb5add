//! Pace statistics that the engines of a pool share.

use super::momentary::{DecayingMean, PaceTraits};
use super::persistence::{DEFAULT_PERSISTENCE_SECONDS, PacePersistence};
use std::time::Duration;

/// Factor by which the weight of earlier paces in the pool's mean decays with each new one.
const MEAN_WEIGHT_DECAY: f64 = 0.995;

/// Weight of the prior that the mean pace is one.
const MEAN_PACE_PRIOR_WEIGHT: f64 = 10.0;

/// Maximum ratio of a reported pace to the pool's mean; larger paces are clamped, which limits the effect of outliers.
const MAX_PACE_TO_MEAN_RATIO: f64 = 4.0;

/// Minimum factor by which the statistics must change to be applied to the engines of the pool.
const MIN_APPLIED_CHANGE_FACTOR: f64 = 1.02;

/// Smoothing factor of the time per output token.
const TOKEN_TIME_SMOOTHING: f64 = 0.05;

/// Minimum number of observed outputs before the time per token is used.
const MIN_OBSERVED_OUTPUTS: u32 = 20;

/// Maximum factor by which one observation may deviate from the current estimate; larger deviations are clamped.
const MAX_OBSERVATION_DEVIATION: f64 = 2.5;

/// Factor by which the weight of earlier observations in the baseline of their kind decays with each new one.
const BASELINE_WEIGHT_DECAY: f64 = 0.98;

/// Weight of the prior that observed times match the expected ones.
const BASELINE_PRIOR_WEIGHT: f64 = 3.0;

/// The kind of work whose time was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::routing::pool) enum ObservedWork {
    /// Prefill at a prefill engine.
    Prefill,
    /// Prefill at an engine that also decodes.
    PrefillDuringDecode,
    /// Decode of an output.
    Decode,
}

/// How long an engine took for a piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::routing::pool) struct PaceObservation {
    /// Kind of the work; each kind has its own baseline.
    pub(in crate::routing::pool) kind: ObservedWork,
    /// Duration expected from the speeds of the pool.
    pub(in crate::routing::pool) expected_seconds: f64,
    /// Measured duration of the work.
    pub(in crate::routing::pool) measured_seconds: f64,
    /// Momentary pace of the engine during the work.
    pub(in crate::routing::pool) momentary_pace: f64,
}

/// Pace statistics of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolPace {
    /// Whether an engine of the pool has reported a pace.
    pub(super) has_reports: bool,
    persistence: PacePersistence,
    mean: DecayingMean,
    traits: PaceTraits,
    token_seconds: f64,
    outputs: u32,
    /// Baselines by [`ObservedWork`]: means of the logarithm of observed time / (expected time * long-term pace).
    baselines: [DecayingMean; 3],
}

impl Default for PoolPace {
    fn default() -> Self {
        Self {
            has_reports: false,
            persistence: PacePersistence::default(),
            mean: DecayingMean::default(),
            traits: PaceTraits::default(),
            token_seconds: 0.0,
            outputs: 0,
            baselines: [DecayingMean::default(); 3],
        }
    }
}

impl Default for PaceTraits {
    fn default() -> Self {
        Self {
            persistence_seconds: DEFAULT_PERSISTENCE_SECONDS,
            mean: 1.0,
        }
    }
}

impl PoolPace {
    /// Statistics of the pool's reported paces, as last applied to its engines.
    pub fn traits(&self) -> PaceTraits {
        self.traits
    }

    /// Time per output token at an average engine, in seconds; absent until enough outputs were observed.
    pub fn token_seconds(&self) -> Option<f64> {
        (self.outputs >= MIN_OBSERVED_OUTPUTS).then_some(self.token_seconds)
    }

    /// Adds a pace that an engine reported to this node. `before` is the engine's previous pace with the time since
    /// then, `mean` the engine's mean pace. Returns whether the statistics changed enough to be applied to the engines.
    pub(super) fn observe(&mut self, pace: f64, before: Option<(f64, Duration)>, mean: f64) -> bool {
        self.has_reports = true;
        let current_mean = self.mean.with_prior(1.0, MEAN_PACE_PRIOR_WEIGHT);
        self.mean
            .add(MEAN_WEIGHT_DECAY, pace.min(current_mean * MAX_PACE_TO_MEAN_RATIO));
        if let Some((first, gap)) = before {
            self.persistence.observe(first - mean, pace - mean, gap);
        }
        let traits = PaceTraits {
            persistence_seconds: self.persistence.seconds(),
            mean: self.mean.with_prior(1.0, MEAN_PACE_PRIOR_WEIGHT),
        };
        let differs = |old: f64, new: f64| {
            !(old / MIN_APPLIED_CHANGE_FACTOR..=old * MIN_APPLIED_CHANGE_FACTOR).contains(&new)
        };
        let changed = differs(self.traits.persistence_seconds, traits.persistence_seconds)
            || differs(self.traits.mean, traits.mean);
        if changed {
            self.traits = traits;
        }
        changed
    }

    /// Divides the ratio of an observed time to the expected one by the current baseline of that kind of work.
    ///
    /// Only the product of the pool's speed and an engine's long-term pace is observable. Without the baseline the
    /// long-term paces of all engines could drift in one direction while the speed of the pool drifts in the other.
    pub(super) fn relative_to_baseline(&mut self, kind: ObservedWork, ratio: f64, long_term: f64) -> f64 {
        let baseline = &mut self.baselines[kind as usize];
        let mean = baseline.with_prior(0.0, BASELINE_PRIOR_WEIGHT);
        if ratio.is_finite() && ratio > 0.0 {
            let log = (ratio / long_term).ln();
            let max = MAX_OBSERVATION_DEVIATION.ln();
            baseline.add(BASELINE_WEIGHT_DECAY, log.clamp(mean - max, mean + max));
        }
        ratio / mean.exp()
    }

    /// Adds the time per token of an output, already divided by the pace of its engine.
    pub(super) fn observe_output(&mut self, token_seconds: f64) {
        self.outputs = self.outputs.saturating_add(1);
        if self.outputs == 1 {
            self.token_seconds = token_seconds;
            return;
        }
        let bounded = token_seconds.clamp(
            self.token_seconds / MAX_OBSERVATION_DEVIATION,
            self.token_seconds * MAX_OBSERVATION_DEVIATION,
        );
        self.token_seconds += TOKEN_TIME_SMOOTHING * (bounded - self.token_seconds);
    }
}
