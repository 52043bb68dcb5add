//! What the paces of a pool's engines have in common.

use super::momentary::{FadingMean, PaceTraits};
use super::persistence::{ASSUMED_SECONDS, PacePersistence};
use std::time::Duration;

/// Share of its weight that a figure keeps in the pool's usual one when the next comes.
const USUAL_KEPT: f64 = 0.995;

/// Weight of the assumption that machines stand as usual.
const ASSUMED_WEIGHT: f64 = 10.0;

/// Most that one figure counts for in the pool's usual one, as a multiple of it: one extreme figure says little of the
/// other machines.
const MOST_IN_USUAL: f64 = 4.0;

/// Change of the traits, as a factor, from which the pool's engines are judged by the new ones.
const NOTABLE: f64 = 1.02;

/// Share of an observation in the time of an output's token.
const OUTPUT_SHARE: f64 = 0.05;

/// Outputs from which the time of a token counts as learned.
const LEARNED_OUTPUTS: u32 = 20;

/// Most by which one output counts as longer or shorter than expected.
const LARGEST_FACTOR: f64 = 2.5;

/// Share of its weight that an observation keeps in the centre of its kind when the next comes.
const CENTRE_KEPT: f64 = 0.98;

/// Weight of the assumption that what is observed lies about what is expected.
const CENTRE_WEIGHT: f64 = 3.0;

/// What an engine was observed to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::routing::pool) enum ObservedWork {
    /// Reading at an engine that reads prompts.
    Prefill,
    /// Reading at an engine that runs outputs.
    PrefillDuringDecode,
    /// Running an output.
    Decode,
}

/// How long an engine took for something.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::routing::pool) struct PaceObservation {
    /// What it did.
    pub(in crate::routing::pool) kind: ObservedWork,
    /// Time that the pool's speeds lead to expect, in seconds.
    pub(in crate::routing::pool) expected: f64,
    /// Time that passed, in seconds.
    pub(in crate::routing::pool) took: f64,
    /// Momentary factor of that time.
    pub(in crate::routing::pool) momentary: f64,
}

/// What the paces of a pool's engines have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolPace {
    /// Whether an engine of the pool has told a figure.
    pub(super) told: bool,
    persistence: PacePersistence,
    usual: FadingMean,
    traits: PaceTraits,
    token_seconds: f64,
    outputs: u32,
    /// Means of the logarithms of observed times over expected ones and lasting factors, by [`ObservedWork`].
    centres: [FadingMean; 3],
}

impl Default for PoolPace {
    fn default() -> Self {
        Self {
            told: false,
            persistence: PacePersistence::default(),
            usual: FadingMean::default(),
            traits: PaceTraits::default(),
            token_seconds: 0.0,
            outputs: 0,
            centres: [FadingMean::default(); 3],
        }
    }
}

impl Default for PaceTraits {
    fn default() -> Self {
        Self {
            persistence_seconds: ASSUMED_SECONDS,
            usual: 1.0,
        }
    }
}

impl PoolPace {
    /// How figures behave in the pool.
    pub fn traits(&self) -> PaceTraits {
        self.traits
    }

    /// Seconds that a token of an output takes at a usual engine; absent until enough outputs were seen.
    pub fn token_seconds(&self) -> Option<f64> {
        (self.outputs >= LEARNED_OUTPUTS).then_some(self.token_seconds)
    }

    /// Takes a figure that an engine told, with the one before it and the time between them, and the engine's usual one;
    /// whether the traits have changed notably.
    pub(super) fn observe(&mut self, figure: f64, before: Option<(f64, Duration)>, usual: f64) -> bool {
        self.told = true;
        let usual_now = self.usual.with(1.0, ASSUMED_WEIGHT);
        self.usual.add(USUAL_KEPT, figure.min(usual_now * MOST_IN_USUAL));
        if let Some((first, gap)) = before {
            self.persistence.observe(first - usual, figure - usual, gap);
        }
        let traits = PaceTraits {
            persistence_seconds: self.persistence.seconds(),
            usual: self.usual.with(1.0, ASSUMED_WEIGHT),
        };
        let differs = |old: f64, new: f64| !(old / NOTABLE..=old * NOTABLE).contains(&new);
        let changed = differs(self.traits.persistence_seconds, traits.persistence_seconds)
            || differs(self.traits.usual, traits.usual);
        if changed {
            self.traits = traits;
        }
        changed
    }

    /// How an observed time over the expected one lies beside what is usual for that kind of work now, the engines'
    /// lasting speeds set aside.
    ///
    /// Without this the lasting speeds of all engines and the pool's speed drift apart together, since only their product
    /// is seen: on a recorded day of 90 engines all but three came to count as quicker than usual, by a third at the median.
    pub(super) fn centred(&mut self, kind: ObservedWork, ratio: f64, lasting: f64) -> f64 {
        let centre = &mut self.centres[kind as usize];
        let usual = centre.with(0.0, CENTRE_WEIGHT);
        if ratio.is_finite() && ratio > 0.0 {
            let log = (ratio / lasting).ln();
            let most = LARGEST_FACTOR.ln();
            centre.add(CENTRE_KEPT, log.clamp(usual - most, usual + most));
        }
        ratio / usual.exp()
    }

    /// Takes the seconds that a token of an output took, free of its engine's own factor.
    pub(super) fn observe_output(&mut self, token_seconds: f64) {
        self.outputs = self.outputs.saturating_add(1);
        if self.outputs == 1 {
            self.token_seconds = token_seconds;
            return;
        }
        let bounded = token_seconds.clamp(
            self.token_seconds / LARGEST_FACTOR,
            self.token_seconds * LARGEST_FACTOR,
        );
        self.token_seconds += OUTPUT_SHARE * (bounded - self.token_seconds);
    }
}
