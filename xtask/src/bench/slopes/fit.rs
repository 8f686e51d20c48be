//! Least-squares fit of a straight line to measured points, with its error.

use serde::Serialize;

/// Measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Point {
    pub(crate) x: f64,
    pub(crate) y: f64,
}

/// Fitted line, `y = base + slope * x`.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Fit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
    /// Standard error of the slope.
    pub(crate) slope_error: f64,
    /// Share of the variance that the line explains, 0 to 1.
    pub(crate) r_squared: f64,
    /// Largest vertical distance of a point from the line, divided by the largest value.
    pub(crate) worst_error: f64,
}

impl Fit {
    /// Fits a line; `None` if there are fewer than three points, or all have the same `x`.
    pub(crate) fn new(points: &[Point]) -> Option<Fit> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|it| it.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|it| it.y).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|it| (it.x - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|it| (it.y - mean_y).powi(2)).sum();
        if spread_x == 0.0 {
            return None;
        }
        let common: f64 = points.iter().map(|it| (it.x - mean_x) * (it.y - mean_y)).sum();
        let slope = common / spread_x;
        let base = mean_y - slope * mean_x;
        let distance = |it: &Point| it.y - (base + slope * it.x);
        let rest: f64 = points.iter().map(|it| distance(it).powi(2)).sum();
        let largest = points.iter().map(|it| it.y.abs()).fold(0.0, f64::max);
        let worst = points.iter().map(|it| distance(it).abs()).fold(0.0, f64::max);
        Some(Fit {
            base,
            slope,
            slope_error: (rest / (count - 2.0) / spread_x).sqrt(),
            r_squared: if spread_y == 0.0 { 1.0 } else { 1.0 - rest / spread_y },
            worst_error: if largest == 0.0 { 0.0 } else { worst / largest },
        })
    }
}
