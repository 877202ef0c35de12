//! Plot of each policy's harm to online latency against its batch throughput,
//! for `compare`.

use std::{error::Error, path::Path};

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, EmptyElement, IntoDrawingArea, IntoFont, LineSeries, PointSeries,
    RED, SVGBackend, Text, WHITE,
};

/// Width and height of the plot, pixels.
const EXTENT_PX: (u32, u32) = (900, 600);
/// Points with more harm than this are drawn at the upper edge.
const HARM_MAX: f64 = 4.0;

/// One policy in the plot.
#[derive(Debug, Clone)]
pub struct Point {
    /// Label of the point.
    pub name: String,
    /// Largest ratio of a 99th-percentile latency to that of a run without
    /// batch work.
    pub harm: f64,
    /// Batch tokens per second, whole fleet.
    pub tokens_per_s: f64,
}

/// Writes the plot as SVG. A line connects the policies with a fixed window.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_harm(path: &Path, points: &[Point]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, EXTENT_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let tokens_per_s_max = points.iter().map(|p| p.tokens_per_s).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .caption(
            "Harm to online p99 against batch throughput",
            ("sans-serif", 20),
        )
        .x_label_area_size(45)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..tokens_per_s_max * 1.15, 0.9..HARM_MAX + 0.1)?;
    chart
        .configure_mesh()
        .x_desc("batch tokens per second, whole fleet")
        .y_desc("worst p99 ratio to alone (cut at 4)")
        .draw()?;
    let coordinates = |point: &Point| (point.tokens_per_s, point.harm.min(HARM_MAX));
    let (fixed, others): (Vec<&Point>, Vec<&Point>) = points
        .iter()
        .partition(|point| point.name.starts_with("fixed_window"));
    let line: Vec<(f64, f64)> = fixed.iter().map(|point| coordinates(point)).collect();
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    for (group, colour) in [(fixed, &BLUE), (others, &RED)] {
        let labelled: Vec<((f64, f64), &str)> = group
            .iter()
            .map(|point| (coordinates(point), point.name.as_str()))
            .collect();
        for (position, name) in labelled {
            chart.draw_series(PointSeries::of_element(
                [position],
                4,
                colour,
                &|position, radius, style| {
                    EmptyElement::at(position)
                        + Circle::new((0, 0), radius, style)
                        + Text::new(name.to_owned(), (7, -5), ("sans-serif", 12).into_font())
                },
            ))?;
        }
    }
    area.present()?;
    Ok(())
}
