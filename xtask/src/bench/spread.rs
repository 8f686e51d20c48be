//! Minimum, median and maximum over repeated runs.

use std::fmt;

use serde::Serialize;

/// Minimum, median and maximum of one figure over repeated runs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize)]
pub(crate) struct Spread {
    pub(crate) min: f64,
    pub(crate) median: f64,
    pub(crate) max: f64,
}

impl Spread {
    /// Computes the spread of the given figures; all zero if there are none.
    pub(crate) fn new(figures: impl IntoIterator<Item = f64>) -> Spread {
        let mut figures: Vec<f64> = figures.into_iter().collect();
        figures.sort_by(f64::total_cmp);
        let (Some(min), Some(max)) = (figures.first(), figures.last()) else {
            return Spread::default();
        };
        let middle = figures.len() / 2;
        let median = match figures.len() % 2 {
            0 => (figures[middle - 1] + figures[middle]) / 2.0,
            _ => figures[middle],
        };
        Spread { min: *min, median, max: *max }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1}/{:.1}/{:.1}", self.min, self.median, self.max)
    }
}
