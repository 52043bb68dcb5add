//! How far what was expected can be relied on: errors, pauses and requests turned away, followed step by step.

use std::time::Duration;

/// Step by which a factor follows what is seen.
const ERROR_STEP: f64 = 0.02;

/// Bounds of a factor.
const ERROR_BOUNDS: (f64, f64) = (0.3, 4.0);

/// Added to what was expected and to what was seen before they are compared, in seconds, so that a short time that was
/// a little longer does not count as a large error.
const ERROR_FLOOR_SECONDS: f64 = 0.020;

/// Part of the first events that come within the expected time by the hopeful factor.
const HOPEFUL: f64 = 0.2;

/// Part of the first events that come within the expected time by the careful factor.
const CAREFUL: f64 = 0.65;

/// A factor below which a given part of what is seen lies, followed step by step.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quantile {
    part: f64,
    factor: f64,
}

impl Quantile {
    fn new(part: f64) -> Self {
        Self { part, factor: 1.0 }
    }

    fn observe(&mut self, ratio: f64) {
        let step = if ratio > self.factor {
            self.part
        } else {
            self.part - 1.0
        };
        let (least, most) = ERROR_BOUNDS;
        self.factor = (self.factor + ERROR_STEP * step).clamp(least, most);
    }
}

/// The factor by which first events exceed what was expected of them, at two quantiles.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EstimateError {
    hopeful: Quantile,
    careful: Quantile,
}

impl Default for EstimateError {
    fn default() -> Self {
        Self {
            hopeful: Quantile::new(HOPEFUL),
            careful: Quantile::new(CAREFUL),
        }
    }
}

impl EstimateError {
    /// The factor that decides, from the hopeful one at a care of zero to the careful one at one.
    pub fn factor(&self, care: f64) -> f64 {
        let careful = self.careful.factor.max(self.hopeful.factor);
        self.hopeful.factor + care.clamp(0.0, 1.0) * (careful - self.hopeful.factor)
    }

    /// Takes one first event.
    pub fn observe(&mut self, expected: Duration, took: Duration) {
        let ratio =
            (took.as_secs_f64() + ERROR_FLOOR_SECONDS) / (expected.as_secs_f64() + ERROR_FLOOR_SECONDS);
        self.hopeful.observe(ratio);
        self.careful.observe(ratio);
    }
}

/// Quantile of the pauses between events that is followed.
const PAUSE_QUANTILE: f64 = 0.8;

/// Part of the longest harmless pause that is assumed at the start.
const ASSUMED_PAUSE: f64 = 0.5;

/// Part of the longest harmless pause up to which an output has room to spare.
const CALM_PAUSE: f64 = 0.4;

/// Part of the longest harmless pause from which outputs come late.
const FULL_PAUSE: f64 = 0.9;

/// How near the pauses between an output's events come to the longest that is harmless, at engines that read prompts
/// beside it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillPauses {
    part: Quantile,
}

impl Default for PrefillPauses {
    fn default() -> Self {
        let mut part = Quantile::new(PAUSE_QUANTILE);
        part.factor = ASSUMED_PAUSE;
        Self { part }
    }
}

impl PrefillPauses {
    /// Takes one pause, as part of the longest harmless one.
    pub fn observe(&mut self, part: f64) {
        self.part.observe(part);
    }

    /// From zero, where outputs have room to spare, to one, where they come late.
    pub fn harm(&self) -> f64 {
        ((self.part.factor - CALM_PAUSE) / (FULL_PAUSE - CALM_PAUSE)).clamp(0.0, 1.0)
    }
}

/// Weight of one request in the share of those turned away.
const TURNED_AWAY_STEP: f64 = 0.05;

/// Share of the requests that were turned away of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RejectionRate {
    share: f64,
}

impl RejectionRate {
    /// The share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes one request.
    pub fn observe(&mut self, turned_away: bool) {
        let value = if turned_away { 1.0 } else { 0.0 };
        self.share += TURNED_AWAY_STEP * (value - self.share);
    }
}
