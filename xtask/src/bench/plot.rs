//! Plots of measured slopes.

use std::path::Path;

use plotters::prelude::*;

use super::slopes::Slope;

const CHART_SIZE_PX: (u32, u32) = (720, 420);
const CHART_MARGIN_PX: u32 = 16;
const LABEL_SIZE_PX: u32 = 48;
const POINT_RADIUS_PX: u32 = 4;
/// Upper end of the vertical axis, as a multiple of the largest value.
const HEADROOM_FACTOR: f64 = 1.1;

/// Draws the points of one quantity against one size, and the fitted line.
pub(super) fn draw_slope(slope: &Slope, path: &Path) -> anyhow::Result<()> {
    let with_path = |error: &dyn std::fmt::Display| anyhow::anyhow!("{}: {error}", path.display());
    let x_max = slope.points.iter().map(|it| it.x).fold(1.0, f64::max);
    let y_max = slope.points.iter().map(|it| it.y).fold(1e-9, f64::max) * HEADROOM_FACTOR;
    let root = SVGBackend::new(path, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(|error| with_path(&error))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{} against {}", slope.quantity, slope.against), ("sans-serif", 18))
        .margin(CHART_MARGIN_PX)
        .x_label_area_size(LABEL_SIZE_PX)
        .y_label_area_size(LABEL_SIZE_PX * 2)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .map_err(|error| with_path(&error))?;
    chart
        .configure_mesh()
        .x_desc(slope.against)
        .y_desc(slope.quantity)
        .draw()
        .map_err(|error| with_path(&error))?;
    if let Some(fit) = slope.fit {
        let ends = [0.0, x_max].map(|x| (x, fit.base + fit.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE)).map_err(|error| with_path(&error))?;
    }
    let points =
        slope.points.iter().map(|it| Circle::new((it.x, it.y), POINT_RADIUS_PX, RED.filled()));
    chart.draw_series(points).map_err(|error| with_path(&error))?;
    root.present().map_err(|error| with_path(&error))
}
