//! How long a told figure holds, learned from how soon the next one differs.
//!
//! Of two figures of one engine, told a time `gap` apart, the second is expected to keep the part
//! `2.72 ^ (-gap / persistence)` of the first one's deviation from the usual figure. The persistence is the one under
//! which the deviations that were kept add up to those that were seen.

use std::time::Duration;

/// Persistences that are weighed against each other.
const STEPS: usize = 16;

/// Shortest of them, in seconds: a round trip between nodes takes some milliseconds, and a word is gathered for a tenth
/// of a second, so nothing shorter can be acted upon.
const SHORTEST_SECONDS: f64 = 0.05;

/// Factor from one to the next; the longest is near nine seconds, beyond which a figure is the engine's usual one.
const STEP_FACTOR: f64 = 1.41;

/// Share of its weight that a pair keeps when the next one comes.
const KEPT: f64 = 0.995;

/// Persistence that is assumed at the start, in seconds: engines tell that their figure changes many times a second
/// over a fleet, and a told load counts for as long ([`super::super::engine`]).
pub(super) const ASSUMED_SECONDS: f64 = 0.4;

/// Pairs that the assumption counts for.
const ASSUMED_PAIRS: f64 = 5.0;

/// Deviation from the usual figure below which a pair tells nothing.
const LEAST_DEVIATION: f64 = 0.2;

/// Most that a deviation counts for, so that one extreme figure doesn't outweigh all others.
const MOST_DEVIATION: f64 = 3.0;

/// Time between two figures beyond which they tell nothing of each other.
const LONGEST_GAP: Duration = Duration::from_secs(10);

fn candidate(step: usize) -> f64 {
    SHORTEST_SECONDS * STEP_FACTOR.powi(step as i32)
}

/// How long a told figure holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacePersistence {
    /// Products of the deviations of two figures.
    seen: f64,
    /// What they would add up to, by candidate.
    expected: [f64; STEPS],
}

impl Default for PacePersistence {
    fn default() -> Self {
        let mut expected = [0.0; STEPS];
        for (step, sum) in expected.iter_mut().enumerate() {
            *sum = ASSUMED_PAIRS * (-ASSUMED_SECONDS / candidate(step)).exp();
        }
        Self {
            seen: ASSUMED_PAIRS * (-1.0_f64).exp(),
            expected,
        }
    }
}

impl PacePersistence {
    /// Takes two figures of an engine, as deviations from what is usual for it.
    pub fn observe(&mut self, first: f64, second: f64, gap: Duration) {
        if first.abs() < LEAST_DEVIATION || gap > LONGEST_GAP {
            return;
        }
        let first = first.clamp(-MOST_DEVIATION, MOST_DEVIATION);
        let second = second.clamp(-MOST_DEVIATION, MOST_DEVIATION);
        self.seen = self.seen * KEPT + first * second;
        for (step, sum) in self.expected.iter_mut().enumerate() {
            *sum = *sum * KEPT + first * first * (-gap.as_secs_f64() / candidate(step)).exp();
        }
    }

    /// Time after which a deviation has faded to a third, in seconds.
    pub fn seconds(&self) -> f64 {
        let Some(above) = self.expected.iter().position(|sum| *sum >= self.seen) else {
            return candidate(STEPS - 1);
        };
        if above == 0 {
            return candidate(0);
        }
        let (low, high) = (self.expected[above - 1], self.expected[above]);
        let part = (self.seen - low) / (high - low).max(f64::MIN_POSITIVE);
        candidate(above - 1) * STEP_FACTOR.powf(part.clamp(0.0, 1.0))
    }
}
