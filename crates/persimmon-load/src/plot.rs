//! Plots in SVG.

use crate::{experiment::RatePoint, LoadError};
use plotters::prelude::{ChartBuilder, IntoDrawingArea, LineSeries, SVGBackend, BLUE, RED, WHITE};
use std::path::Path;

/// Width and height of a plot in pixels.
const SIZE_PX: (u32, u32) = (900, 420);

/// Draws two rates over time: complete responses (blue) and requests started in the failure
/// domain (red).
///
/// # Errors
///
/// The file can't be written.
pub fn plot(points: &[RatePoint], caption: &str, file: &Path) -> Result<(), LoadError> {
    let failed = |reason: String| LoadError::Plot(reason);
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|e| failed(e.to_string()))?;
    let end_s = points.last().map_or(1.0, |point| point.at_ms / 1e3);
    let rates = points.iter().flat_map(|p| [p.whole_per_s, p.started_per_s]);
    let max_per_s = rates.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end_s, 0.0..max_per_s * 1.05)
        .map_err(|e| failed(e.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("per second: complete responses (blue), requests started in the domain (red)")
        .draw()
        .map_err(|e| failed(e.to_string()))?;
    let whole = points.iter().map(|p| (p.at_ms / 1e3, p.whole_per_s));
    let started = points.iter().map(|p| (p.at_ms / 1e3, p.started_per_s));
    chart
        .draw_series(LineSeries::new(whole, &BLUE))
        .map_err(|e| failed(e.to_string()))?;
    chart
        .draw_series(LineSeries::new(started, &RED))
        .map_err(|e| failed(e.to_string()))?;
    area.present().map_err(|e| failed(e.to_string()))
}
