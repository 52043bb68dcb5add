//! The long-term pace of an engine relative to its pool.

/// Factor by which the weight of earlier observations decays with each new one; the total weight stays below twenty.
/// This averages out noise, while a change at a busy engine takes effect within seconds.
const OBSERVATION_WEIGHT_DECAY: f64 = 0.95;

/// Weight of the prior that an engine is as fast as its pool. It also prevents a common drift of the paces of all
/// engines away from the speed of the pool.
const POOL_PACE_PRIOR_WEIGHT: f64 = 2.0;

/// Maximum factor by which one observation may deviate from the current estimate; larger deviations are clamped.
const MAX_OBSERVATION_DEVIATION: f64 = 2.5;

/// Minimum and maximum of the long-term factor.
const LONG_TERM_FACTOR_BOUNDS: (f64, f64) = (0.2, 20.0);

/// Minimum deviation from the current estimate, as a factor, at which an observation counts as an outlier.
const MIN_OUTLIER_DEVIATION: f64 = 1.8;

/// Minimum number of consecutive outliers in the same direction at which earlier evidence is mostly dropped.
const MIN_CONSECUTIVE_OUTLIERS_TO_RESET: i8 = 3;

/// Factor by which the weight of earlier peer reports decays with each new one. With seven other placers, each of them
/// is heard once in several reports.
const PEER_REPORT_WEIGHT_DECAY: f64 = 0.8;

/// Maximum weight of one peer report.
const MAX_PEER_REPORT_WEIGHT: f64 = 20.0;

/// Minimum weight at which this node's own observations are sent to peers.
const MIN_SENT_ESTIMATE_WEIGHT: f64 = 3.0;

/// Weighted sum of the logarithms of observed factors, with decaying weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Evidence {
    weight: f64,
    sum: f64,
}

impl Evidence {
    fn add(&mut self, decay: f64, log: f64, weight: f64) {
        self.weight = self.weight * decay + weight;
        self.sum = self.sum * decay + log * weight;
    }

    fn scale(&mut self, share: f64) {
        self.weight *= share;
        self.sum *= share;
    }
}

/// The factor by which work takes longer at an engine than at an average engine of its pool; below one if the engine is
/// faster.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LongTermPace {
    own: Evidence,
    peers: Evidence,
    /// Consecutive outliers in one direction; negative if the engine was faster than estimated.
    consecutive_outliers: i8,
}

impl LongTermPace {
    /// The estimated factor; one without observations.
    pub fn factor(&self) -> f64 {
        let weight = self.own.weight + self.peers.weight + POOL_PACE_PRIOR_WEIGHT;
        let (min, max) = LONG_TERM_FACTOR_BOUNDS;
        ((self.own.sum + self.peers.sum) / weight).exp().clamp(min, max)
    }

    /// Total weight of the observations of this node and its peers.
    pub fn weight(&self) -> f64 {
        self.own.weight + self.peers.weight
    }

    /// Adds an observation, the ratio of the measured time to the time expected from the pool's speed and the momentary
    /// pace. `weight` is at most one and approaches it for long observations.
    pub fn observe(&mut self, ratio: f64, weight: f64) {
        if !(ratio.is_finite() && ratio > 0.0) {
            return;
        }
        let estimated_log = self.factor().ln();
        let deviation = ratio.ln() - estimated_log;
        self.track_outliers(deviation);
        let max = MAX_OBSERVATION_DEVIATION.ln();
        self.own.add(
            OBSERVATION_WEIGHT_DECAY,
            estimated_log + deviation.clamp(-max, max),
            weight,
        );
    }

    /// After enough consecutive outliers, drops most of the evidence so that the estimate adapts quickly to a changed
    /// engine.
    fn track_outliers(&mut self, deviation: f64) {
        if deviation.abs() < MIN_OUTLIER_DEVIATION.ln() {
            self.consecutive_outliers = 0;
            return;
        }
        let direction = if deviation > 0.0 { 1 } else { -1 };
        let continues = self.consecutive_outliers.signum() == direction;
        self.consecutive_outliers = if continues {
            self.consecutive_outliers + direction
        } else {
            direction
        };
        if self.consecutive_outliers.abs() >= MIN_CONSECUTIVE_OUTLIERS_TO_RESET {
            self.consecutive_outliers = 0;
            let remaining = 1.0 / self.weight().max(1.0);
            self.own.scale(remaining);
            self.peers.scale(remaining);
        }
    }

    /// This node's own estimate, as it is sent to peers: factor and weight. Absent while its weight is too small.
    pub fn own_report(&self) -> Option<(f64, f64)> {
        (self.own.weight >= MIN_SENT_ESTIMATE_WEIGHT)
            .then(|| ((self.own.sum / self.own.weight).exp(), self.own.weight))
    }

    /// Adds a peer's own estimate.
    pub fn add_peer_report(&mut self, factor: f64, weight: f64) {
        let (min, max) = LONG_TERM_FACTOR_BOUNDS;
        if factor.is_finite() && weight.is_finite() && weight > 0.0 {
            let log = factor.clamp(min, max).ln();
            self.peers
                .add(PEER_REPORT_WEIGHT_DECAY, log, weight.min(MAX_PEER_REPORT_WEIGHT));
        }
    }
}
