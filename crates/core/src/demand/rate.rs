//! Estimate of one rate on two timescales: calm under noise, quick when the level shifts.

/// Time constant of the fast mean, in bins.
const FAST_BINS: f64 = 4.0;
/// Longest time constant of the calm mean, in bins.
const CALM_BINS: f64 = 60.0;
/// Deviation, in standard deviations, that a bin may show without counting towards a shift.
const SHIFT_SLACK: f64 = 0.75;
/// Sum of deviations beyond the slack at which the level counts as shifted.
const SHIFT_THRESHOLD: f64 = 5.0;
/// Largest deviation that one bin may contribute, so that one outlier alone is no shift.
const LARGEST_DEVIATION: f64 = 2.5;
/// Smallest standard deviation, relative to the level.
const SMALLEST_RELATIVE_DEVIATION: f64 = 0.1;

/// Running estimate of an amount per bin of time, with a two-sided cumulative-sum test for shifts.
///
/// The calm mean averages over ever more bins, up to a minute of them, since the last shift; its noise is learned
/// from the bins. When deviations to one side add up beyond the threshold, the calm mean restarts at the fast one.
#[derive(Clone, Debug, Default)]
pub struct RateEstimate {
    fast: f64,
    calm: f64,
    variance: f64,
    bins: f64,
    above: f64,
    below: f64,
    shifts: u64,
    ignores_shifts: bool,
}

impl RateEstimate {
    /// An estimate that follows the calm mean alone; for comparison with the default, which detects shifts.
    pub fn without_shift_detection() -> Self {
        Self {
            ignores_shifts: true,
            ..Self::default()
        }
    }

    /// Takes the amount of one more bin.
    pub fn add_bin(&mut self, amount: f64) {
        if self.bins == 0.0 {
            self.restart(amount);
            self.fast = amount;
            return;
        }
        let deviation = amount - self.calm;
        let scale = self.scale();
        self.fast += (amount - self.fast) / FAST_BINS;
        self.count_deviation((deviation / scale).clamp(-LARGEST_DEVIATION, LARGEST_DEVIATION));
        self.bins += 1.0;
        let share = 1.0 / self.bins.min(CALM_BINS);
        self.calm += deviation * share;
        self.variance += (deviation * deviation - self.variance) * share.min(0.1);
        let shifted = self.above > SHIFT_THRESHOLD || self.below > SHIFT_THRESHOLD;
        if shifted && !self.ignores_shifts {
            self.shifts += 1;
            self.restart(self.fast);
        }
    }

    /// Estimated amount per bin.
    pub fn value(&self) -> f64 {
        self.calm
    }

    /// Standard deviation of a bin.
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Shifts found so far.
    pub fn shifts(&self) -> u64 {
        self.shifts
    }

    fn scale(&self) -> f64 {
        let smallest = self.calm.abs() * SMALLEST_RELATIVE_DEVIATION;
        self.variance.sqrt().max(smallest).max(f64::MIN_POSITIVE)
    }

    fn count_deviation(&mut self, deviations: f64) {
        self.above = (self.above + deviations - SHIFT_SLACK).max(0.0);
        self.below = (self.below - deviations - SHIFT_SLACK).max(0.0);
    }

    fn restart(&mut self, level: f64) {
        self.calm = level;
        self.bins = FAST_BINS;
        self.above = 0.0;
        self.below = 0.0;
        let smallest = level * SMALLEST_RELATIVE_DEVIATION;
        self.variance = self.variance.max(smallest * smallest);
    }
}
