//! Straight lines through measured points.

/// A line `start + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub start: f64,
    /// Growth for each unit.
    pub slope: f64,
}

impl Line {
    /// Least squares through the points; flat through their mean when `x` does not vary, absent without points.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.is_empty() {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = if spread > 0.0 { together / spread } else { 0.0 };
        Some(Self {
            start: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Value at a position.
    pub fn at(&self, x: f64) -> f64 {
        self.start + self.slope * x
    }
}
