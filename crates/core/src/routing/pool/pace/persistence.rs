//! How long a reported pace remains valid, estimated from how much consecutive reports of an engine differ.
//!
//! Given two reports of one engine a time `gap` apart, the second is expected to keep the part `e ^ (-gap / persistence)`
//! of the first one's deviation from the mean. The estimate is the persistence for which the expected products of the two
//! deviations add up to the observed ones.

use std::time::Duration;

/// Number of candidate persistences.
const CANDIDATES: usize = 16;

/// Smallest candidate, in seconds. A report reaches a peer after about a tenth of a second, so shorter ones would not
/// matter.
const MIN_SECONDS: f64 = 0.05;

/// Ratio of consecutive candidates; the largest is about nine seconds.
const CANDIDATE_RATIO: f64 = 1.41;

/// Factor by which the weight of earlier pairs decays with each new one.
const DECAY: f64 = 0.995;

/// Persistence without any observation, in seconds.
pub(super) const DEFAULT_PERSISTENCE_SECONDS: f64 = 0.4;

/// Weight of the initial persistence, in pairs of reports.
const PRIOR_PAIRS: f64 = 5.0;

/// Minimum deviation of the first report from the mean for a pair to count.
const MIN_DEVIATION: f64 = 0.2;

/// Maximum deviation that counts, so that a single outlier does not dominate the estimate.
const MAX_DEVIATION: f64 = 3.0;

/// Maximum time between the two reports of a pair.
const MAX_GAP: Duration = Duration::from_secs(10);

fn candidate(step: usize) -> f64 {
    MIN_SECONDS * CANDIDATE_RATIO.powi(step as i32)
}

/// Estimate of how long a reported pace remains valid.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacePersistence {
    /// Decaying sum of the products of the two deviations of each pair.
    observed: f64,
    /// The sum expected for each candidate.
    expected: [f64; CANDIDATES],
}

impl Default for PacePersistence {
    fn default() -> Self {
        let mut expected = [0.0; CANDIDATES];
        for (step, sum) in expected.iter_mut().enumerate() {
            *sum = PRIOR_PAIRS * (-DEFAULT_PERSISTENCE_SECONDS / candidate(step)).exp();
        }
        Self {
            observed: PRIOR_PAIRS * (-1.0_f64).exp(),
            expected,
        }
    }
}

impl PacePersistence {
    /// Adds a pair of reports of one engine, as deviations from its mean, and the time between them.
    pub fn observe(&mut self, first: f64, second: f64, gap: Duration) {
        if first.abs() < MIN_DEVIATION || gap > MAX_GAP {
            return;
        }
        let first = first.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        let second = second.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.observed = self.observed * DECAY + first * second;
        for (step, sum) in self.expected.iter_mut().enumerate() {
            *sum = *sum * DECAY + first * first * (-gap.as_secs_f64() / candidate(step)).exp();
        }
    }

    /// Time after which a deviation has decayed to 1/e, in seconds.
    pub fn seconds(&self) -> f64 {
        let Some(above) = self.expected.iter().position(|sum| *sum >= self.observed) else {
            return candidate(CANDIDATES - 1);
        };
        if above == 0 {
            return candidate(0);
        }
        let (low, high) = (self.expected[above - 1], self.expected[above]);
        let fraction = (self.observed - low) / (high - low).max(f64::MIN_POSITIVE);
        candidate(above - 1) * CANDIDATE_RATIO.powf(fraction.clamp(0.0, 1.0))
    }
}
