//! Persistence of paces: the time in which the deviation of a pace from its mean decays to 1/e, estimated from how much
//! consecutive reports of an engine differ.
//!
//! If two reports of one engine are a time `gap` apart, the expected deviation of the second from the mean is the
//! deviation of the first multiplied by `e ^ (-gap / persistence)`. The estimate is the persistence for which the sum
//! of the expected products of both deviations equals the observed sum.

use std::time::Duration;

/// Number of candidate values of the estimated persistence.
const PERSISTENCE_CANDIDATE_COUNT: usize = 16;

/// Smallest candidate value, in seconds. A report reaches a peer after about a tenth of a second, so shorter ones would
/// not matter.
const MIN_CANDIDATE_SECONDS: f64 = 0.05;

/// Ratio of consecutive candidates; the largest candidate is about nine seconds. A pace that lasts longer is the mean
/// pace of its engine.
const CANDIDATE_RATIO: f64 = 1.41;

/// Factor by which the weight of earlier pairs decays with each new one.
const PAIR_WEIGHT_DECAY: f64 = 0.995;

/// Persistence without any observation, in seconds. A reported load is valid for the same time
/// (`REPORTED_LOAD_TTL`).
pub(super) const DEFAULT_PERSISTENCE_SECONDS: f64 = 0.4;

/// Weight of [`DEFAULT_PERSISTENCE_SECONDS`] in the estimate, as a number of pairs of reports.
const PRIOR_PAIR_WEIGHT: f64 = 5.0;

/// Minimum deviation of the first report from the mean for a pair to count.
const MIN_PACE_DEVIATION: f64 = 0.2;

/// Maximum deviation; larger ones are clamped, so that a single outlier does not dominate the estimate.
const MAX_PACE_DEVIATION: f64 = 3.0;

/// Maximum time between the two reports of a pair.
const MAX_REPORT_GAP: Duration = Duration::from_secs(10);

fn candidate_seconds(step: usize) -> f64 {
    MIN_CANDIDATE_SECONDS * CANDIDATE_RATIO.powi(step as i32)
}

/// Estimate of how long a reported pace remains valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacePersistence {
    /// Decaying sum, over all pairs of reports, of the product of both deviations.
    observed: f64,
    /// The expected value of `observed` for each candidate.
    expected: [f64; PERSISTENCE_CANDIDATE_COUNT],
}

impl Default for PacePersistence {
    fn default() -> Self {
        let mut expected = [0.0; PERSISTENCE_CANDIDATE_COUNT];
        for (step, sum) in expected.iter_mut().enumerate() {
            *sum = PRIOR_PAIR_WEIGHT * (-DEFAULT_PERSISTENCE_SECONDS / candidate_seconds(step)).exp();
        }
        Self {
            observed: PRIOR_PAIR_WEIGHT * (-1.0_f64).exp(),
            expected,
        }
    }
}

impl PacePersistence {
    /// Adds a pair of reports of one engine, as deviations from its mean, and the time between them.
    pub fn observe(&mut self, first: f64, second: f64, gap: Duration) {
        if first.abs() < MIN_PACE_DEVIATION || gap > MAX_REPORT_GAP {
            return;
        }
        let first = first.clamp(-MAX_PACE_DEVIATION, MAX_PACE_DEVIATION);
        let second = second.clamp(-MAX_PACE_DEVIATION, MAX_PACE_DEVIATION);
        self.observed = self.observed * PAIR_WEIGHT_DECAY + first * second;
        for (step, sum) in self.expected.iter_mut().enumerate() {
            *sum = *sum * PAIR_WEIGHT_DECAY
                + first * first * (-gap.as_secs_f64() / candidate_seconds(step)).exp();
        }
    }

    /// Time after which a deviation has decayed to 1/e, in seconds.
    pub fn seconds(&self) -> f64 {
        let Some(above) = self.expected.iter().position(|sum| *sum >= self.observed) else {
            return candidate_seconds(PERSISTENCE_CANDIDATE_COUNT - 1);
        };
        if above == 0 {
            return candidate_seconds(0);
        }
        let (low, high) = (self.expected[above - 1], self.expected[above]);
        let fraction = (self.observed - low) / (high - low).max(f64::MIN_POSITIVE);
        candidate_seconds(above - 1) * CANDIDATE_RATIO.powf(fraction.clamp(0.0, 1.0))
    }
}
