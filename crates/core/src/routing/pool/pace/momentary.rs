//! How an engine's machine stands at this moment.

use crate::time::MonotonicTime;
use std::time::Duration;

/// Multiples of the persistence after which a figure counts no longer; by then less than a fiftieth of it is left.
const COUNTS_FOR: f64 = 4.0;

/// Share of its weight that a figure keeps in the usual one when the next comes.
const USUAL_KEPT: f64 = 0.97;

/// Weight of the pool's usual figure in an engine's own.
const POOL_WEIGHT: f64 = 8.0;

/// Share of one observation in the figure of an engine that tells none: single observations hold much chance.
const SEEN_SHARE: f64 = 0.4;

/// Bounds of a figure that is seen and not told.
const SEEN_BOUNDS: (f64, f64) = (0.5, 10.0);

/// How figures behave in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceTraits {
    /// Time after which a deviation from the usual figure has faded to a third, in seconds.
    pub persistence_seconds: f64,
    /// Mean of the figures.
    pub usual: f64,
}

/// A mean whose observations fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct FadingMean {
    weight: f64,
    sum: f64,
}

impl FadingMean {
    pub(super) fn add(&mut self, kept: f64, value: f64) {
        self.weight = self.weight * kept + 1.0;
        self.sum = self.sum * kept + value;
    }

    /// The mean with an assumption that counts as so many observations.
    pub(super) fn with(&self, assumed: f64, assumed_weight: f64) -> f64 {
        (self.sum + assumed * assumed_weight) / (self.weight + assumed_weight)
    }
}

/// The latest figure of an engine, and what is usual for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MomentaryPace {
    latest: Option<(f64, MonotonicTime)>,
    usual: FadingMean,
    /// Whether the engine itself ever told one.
    tells: bool,
}

impl MomentaryPace {
    /// Whether the engine ever told a figure.
    pub fn tells(&self) -> bool {
        self.tells
    }

    /// The figure that is usual for the engine.
    pub fn usual(&self, traits: &PaceTraits) -> f64 {
        self.usual.with(traits.usual, POOL_WEIGHT)
    }

    /// The figure that is believed now: the older the latest is, the nearer to the usual one.
    pub fn factor(&self, traits: &PaceTraits, now: MonotonicTime) -> f64 {
        let usual = self.usual(traits);
        let Some((figure, at)) = self.latest else {
            return usual;
        };
        let age = now.since(at).as_secs_f64() / traits.persistence_seconds;
        if age >= COUNTS_FOR {
            return usual;
        }
        usual + (figure - usual) * (-age).exp()
    }

    /// Age of the latest figure; absent where it counts no longer.
    pub fn age(&self, traits: &PaceTraits, now: MonotonicTime) -> Option<Duration> {
        let (_, at) = self.latest?;
        let age = now.since(at);
        (age.as_secs_f64() < COUNTS_FOR * traits.persistence_seconds).then_some(age)
    }

    /// The latest figure and its time.
    pub fn latest(&self) -> Option<(f64, MonotonicTime)> {
        self.latest
    }

    /// Takes a figure that the engine told this node.
    pub fn told(&mut self, figure: f64, now: MonotonicTime) {
        self.tells = true;
        self.usual.add(USUAL_KEPT, figure);
        self.hear(figure, now);
    }

    /// Takes a figure that the engine told another node. Such figures are told because they surprise, so they don't
    /// count for the usual one.
    pub fn hear(&mut self, figure: f64, at: MonotonicTime) {
        if self.latest.is_none_or(|(_, known)| known <= at) {
            self.latest = Some((figure, at));
        }
    }

    /// Takes what an engine that tells no figure was seen to take beside what its lasting speed led to expect.
    pub fn saw(&mut self, ratio: f64, traits: &PaceTraits, now: MonotonicTime) {
        if self.tells || !ratio.is_finite() {
            return;
        }
        let (least, most) = SEEN_BOUNDS;
        let before = self.factor(traits, now);
        let figure = before + SEEN_SHARE * (ratio.clamp(least, most) - before);
        self.latest = Some((figure, now));
    }
}
