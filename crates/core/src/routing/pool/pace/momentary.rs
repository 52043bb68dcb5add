//! The momentary pace of an engine: the factor by which its machine currently slows work down.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Maximum age of a reported pace, as a multiple of the persistence. At this age, less than 2 % of the deviation from
/// the mean remains.
const MAX_AGE_TO_PERSISTENCE_RATIO: f64 = 4.0;

/// Factor by which the weight of earlier paces in an engine's mean decays with each new one.
const MEAN_WEIGHT_DECAY: f64 = 0.97;

/// Weight of the pool's mean pace as the prior of an engine's mean.
const POOL_PRIOR_WEIGHT: f64 = 8.0;

/// Smoothing factor of the pace of an engine that reports none; single observations are noisy.
const OBSERVED_PACE_SMOOTHING: f64 = 0.4;

/// Minimum and maximum of an observed pace of an engine that reports none.
const OBSERVED_PACE_BOUNDS: (f64, f64) = (0.5, 10.0);

/// Statistics of the reported paces of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceTraits {
    /// Time after which the deviation from the mean has decayed to 1/e, in seconds.
    pub persistence_seconds: f64,
    /// Mean of the reported paces.
    pub mean: f64,
}

/// Mean of observations whose weights decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct DecayingMean {
    weight: f64,
    sum: f64,
}

impl DecayingMean {
    pub(super) fn add(&mut self, decay: f64, value: f64) {
        self.weight = self.weight * decay + 1.0;
        self.sum = self.sum * decay + value;
    }

    /// The mean combined with a prior of the given weight, in observations.
    pub(super) fn with_prior(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }
}

/// The latest pace of an engine and its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MomentaryPace {
    latest: Option<(f64, MonotonicTime)>,
    mean: DecayingMean,
    /// Whether the engine has ever reported a pace.
    has_reported: bool,
}

impl MomentaryPace {
    /// Whether the engine has ever reported a pace to this node.
    pub fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// The mean of the paces that the engine reported, with the mean of the pool as prior.
    pub fn mean(&self, traits: &PaceTraits) -> f64 {
        self.mean.with_prior(traits.mean, POOL_PRIOR_WEIGHT)
    }

    /// The estimated pace now: the latest pace, decayed towards the engine's mean with its age.
    pub fn factor(&self, traits: &PaceTraits, now: MonotonicTime) -> f64 {
        let mean = self.mean(traits);
        let Some((pace, at)) = self.latest else {
            return mean;
        };
        let age = now.since(at).as_secs_f64() / traits.persistence_seconds;
        if age >= MAX_AGE_TO_PERSISTENCE_RATIO {
            return mean;
        }
        mean + (pace - mean) * (-age).exp()
    }

    /// Age of the latest pace; absent if there is none or it is too old to affect the estimate.
    pub fn age(&self, traits: &PaceTraits, now: MonotonicTime) -> Option<Duration> {
        let (_, at) = self.latest?;
        let age = now.since(at);
        (age.as_secs_f64() < MAX_AGE_TO_PERSISTENCE_RATIO * traits.persistence_seconds).then_some(age)
    }

    /// The latest pace and the time of its report.
    pub fn latest(&self) -> Option<(f64, MonotonicTime)> {
        self.latest
    }

    /// Records a pace that the engine reported to this node.
    pub fn record_reported_pace(&mut self, pace: f64, now: MonotonicTime) {
        self.has_reported = true;
        self.mean.add(MEAN_WEIGHT_DECAY, pace);
        self.record_latest(pace, now);
    }

    /// Records the latest pace without adding it to the mean. Used for reports from peers, which forward only paces
    /// that differ from the estimate.
    pub fn record_latest(&mut self, pace: f64, at: MonotonicTime) {
        if self.latest.is_none_or(|(_, known)| known <= at) {
            self.latest = Some((pace, at));
        }
    }

    /// Updates the pace of an engine that reports none from an observation: the ratio of the measured time to the time
    /// expected from the engine's long-term pace.
    pub fn record_observed_ratio(&mut self, ratio: f64, traits: &PaceTraits, now: MonotonicTime) {
        if self.has_reported || !ratio.is_finite() {
            return;
        }
        let (min, max) = OBSERVED_PACE_BOUNDS;
        let before = self.factor(traits, now);
        let pace = before + OBSERVED_PACE_SMOOTHING * (ratio.clamp(min, max) - before);
        self.latest = Some((pace, now));
    }
}
