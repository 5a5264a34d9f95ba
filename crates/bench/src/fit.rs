//! Linear regression over measured values.

/// A fitted line and its largest error.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Largest deviation of a point from the line, relative to the point.
    pub max_relative_error: f64,
}

impl Line {
    /// Fits a line to points by least squares.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = sum_xy / sum_xx;
        let intercept = mean_y - slope * mean_x;
        let max_relative_error = points
            .iter()
            .map(|p| ((intercept + slope * p.0 - p.1) / p.1).abs())
            .fold(0.0, f64::max);
        Self {
            intercept,
            slope,
            max_relative_error,
        }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
