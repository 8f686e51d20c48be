//! Plots of kept measurements.

use std::path::Path;

use plotters::prelude::*;

use super::slopes::Slope;

const SIZE: (u32, u32) = (720, 420);
const MARGIN: u32 = 16;
const LABEL_SIZE: u32 = 48;
const POINT_SIZE: u32 = 4;
/// Room above the largest value.
const HEADROOM: f64 = 1.1;

/// Draws one quantity against one size, with its line.
pub(super) fn draw_slope(slope: &Slope, path: &Path) -> anyhow::Result<()> {
    let failed = |error: &dyn std::fmt::Display| anyhow::anyhow!("{}: {error}", path.display());
    let x_max = slope.points.iter().map(|it| it.x).fold(1.0, f64::max);
    let y_max = slope.points.iter().map(|it| it.y).fold(1e-9, f64::max) * HEADROOM;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} against {}", slope.quantity, slope.against), ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE * 2)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|error| failed(&error))?;
    chart
        .configure_mesh()
        .x_desc(slope.against)
        .y_desc(slope.quantity)
        .draw()
        .map_err(|error| failed(&error))?;
    if let Some(fit) = slope.fit {
        let ends = [0.0, x_max].map(|x| (x, fit.base + fit.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE)).map_err(|error| failed(&error))?;
    }
    let points = slope.points.iter().map(|it| Circle::new((it.x, it.y), POINT_SIZE, RED.filled()));
    chart.draw_series(points).map_err(|error| failed(&error))?;
    root.present().map_err(|error| failed(&error))
}
