//! The lasting speed of an engine beside its pool's.

/// Share of its weight that an observation keeps when the next one comes: some twenty count, so that chance averages
/// out and a change gets through within seconds at a busy engine.
const KEPT: f64 = 0.95;

/// Weight of the assumption that an engine is as quick as its pool; it also keeps the engines of a pool from drifting
/// away from its speeds together.
const ASSUMED_WEIGHT: f64 = 2.0;

/// Most by which one observation counts as longer or shorter than was believed.
const LARGEST_STEP: f64 = 2.5;

/// Bounds of the factor.
const BOUNDS: (f64, f64) = (0.2, 20.0);

/// Deviation, as a factor, from which an observation does not fit what is believed.
const SURPRISE: f64 = 1.8;

/// Observations in a row that don't fit, in the same direction, from which an engine counts as changed.
const SURPRISES_TO_FORGET: i8 = 3;

/// Share of a received word's evidence that is kept when the next word comes; with seven other placers each is heard
/// once in some words.
const SHARED_KEPT: f64 = 0.8;

/// Most weight of one received word.
const MOST_WORD_WEIGHT: f64 = 20.0;

/// Observations from which a node's own evidence is told to others.
const WORTH_TELLING: f64 = 3.0;

/// Logarithms of observed factors with weights that fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Evidence {
    weight: f64,
    sum: f64,
}

impl Evidence {
    fn add(&mut self, kept: f64, log: f64, weight: f64) {
        self.weight = self.weight * kept + weight;
        self.sum = self.sum * kept + log * weight;
    }

    fn scale(&mut self, part: f64) {
        self.weight *= part;
        self.sum *= part;
    }
}

/// The lasting speed of an engine: the factor by which its work takes longer than usual in its pool, below one where it
/// is quicker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LastingPace {
    own: Evidence,
    shared: Evidence,
    /// Observations in a row that don't fit; below zero: quicker than believed.
    surprises: i8,
}

impl LastingPace {
    /// The factor; one where nothing was seen.
    pub fn factor(&self) -> f64 {
        let weight = self.own.weight + self.shared.weight + ASSUMED_WEIGHT;
        let (least, most) = BOUNDS;
        ((self.own.sum + self.shared.sum) / weight)
            .exp()
            .clamp(least, most)
    }

    /// Observations that the factor rests on, this node's and others'.
    pub fn weight(&self) -> f64 {
        self.own.weight + self.shared.weight
    }

    /// Takes how long something took beside what the pool and the momentary figure led to expect; `weight` is one for an
    /// observation that tells as much as any.
    pub fn observe(&mut self, ratio: f64, weight: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let believed = self.factor().ln();
        let deviation = ratio.ln() - believed;
        self.note_surprise(deviation);
        let most = LARGEST_STEP.ln();
        self.own
            .add(KEPT, believed + deviation.clamp(-most, most), weight);
    }

    /// An engine that has changed is learned anew, rather than by and by.
    fn note_surprise(&mut self, deviation: f64) {
        if deviation.abs() < SURPRISE.ln() {
            self.surprises = 0;
            return;
        }
        let direction = if deviation > 0.0 { 1 } else { -1 };
        let continues = self.surprises.signum() == direction;
        self.surprises = if continues {
            self.surprises + direction
        } else {
            direction
        };
        if self.surprises.abs() >= SURPRISES_TO_FORGET {
            self.surprises = 0;
            let left = 1.0 / self.weight().max(1.0);
            self.own.scale(left);
            self.shared.scale(left);
        }
    }

    /// This node's own evidence, as it is told to others: the factor and its weight; absent while there is little.
    pub fn told(&self) -> Option<(f64, f64)> {
        (self.own.weight >= WORTH_TELLING).then(|| ((self.own.sum / self.own.weight).exp(), self.own.weight))
    }

    /// Takes another node's own evidence.
    pub fn hear(&mut self, factor: f64, weight: f64) {
        let (least, most) = BOUNDS;
        if factor.is_finite() && weight.is_finite() && weight > 0.0 {
            let log = factor.clamp(least, most).ln();
            self.shared.add(SHARED_KEPT, log, weight.min(MOST_WORD_WEIGHT));
        }
    }
}
