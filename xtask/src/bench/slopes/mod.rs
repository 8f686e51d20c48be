//! Cost of control and traffic by the numbers of members, slots and hot keys of a group and by the
//! size of messages: the slopes used in docs/CAPACITY.md.

mod cases;
mod fit;
mod frames;
mod group;
mod records;
mod routes;
mod wire_size;

#[cfg(test)]
mod tests;

use serde::Serialize;

use self::fit::{Fit, Point};
use super::BenchOptions;
use crate::demo::print_line;

/// Results of the measurement.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct SlopesReport {
    /// Bytes added to each message for the headers of its frame, TCP and IP.
    header_bytes: u64,
    pub(crate) slopes: Vec<Slope>,
}

/// One quantity by one size.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Slope {
    /// Name of the size, for example `members`.
    pub(crate) against: &'static str,
    /// Name of the measured quantity, with its unit.
    pub(crate) quantity: &'static str,
    pub(crate) points: Vec<Point>,
    pub(crate) fit: Option<Fit>,
}

impl Slope {
    fn new(against: &'static str, quantity: &'static str, points: Vec<Point>) -> Slope {
        Slope { against, quantity, fit: Fit::new(&points), points }
    }
}

/// Measures all slopes, or those by the size given by `--case`.
pub(crate) fn run(options: &BenchOptions) -> anyhow::Result<SlopesReport> {
    let wanted = |case: &str| options.case.is_empty() || options.case == case;
    let mut slopes = Vec::new();
    for series in cases::SERIES.iter().filter(|it| wanted(it.against)) {
        slopes.extend(series.measure(options.seed));
    }
    if wanted("body_bytes") {
        slopes.extend(frames::measure());
    }
    if wanted("records") {
        slopes.extend(records::measure()?);
    }
    if wanted("routes") {
        slopes.extend(routes::measure());
    }
    for slope in &slopes {
        print_line(&describe(slope))?;
    }
    Ok(SlopesReport { header_bytes: wire_size::HEADER_BYTES, slopes })
}

fn describe(slope: &Slope) -> String {
    let Slope { against, quantity, points, fit } = slope;
    let points: Vec<String> = points.iter().map(|it| format!("{}: {:.1}", it.x, it.y)).collect();
    let fit = match fit {
        Some(it) => format!(
            "{:.3} + {:.4} (+-{:.4}) each, r2 {:.3}, worst {:.0}%",
            it.base,
            it.slope,
            it.slope_error,
            it.r_squared,
            it.worst_error * 100.0
        ),
        None => "no line".to_owned(),
    };
    format!("{quantity} against {against}: {fit}; {}", points.join(", "))
}
