//! Plot of the credit in each time window.

use std::{error::Error, path::Path};

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

/// Width and height of the plot, pixels.
const EXTENT_PX: (u32, u32) = (900, 500);
/// Length of a line sample in the legend, pixels.
const LEGEND_PX: i32 = 16;

/// Writes the plot as SVG, with one line per name.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub(super) fn draw_windows(path: &Path, lines: &[(&str, Vec<f64>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, EXTENT_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let window_count = lines.iter().map(|(_, credits)| credits.len()).max();
    let window_count = u32::try_from(window_count.unwrap_or(1))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .caption(
            "Credit earned of credit owed, by window",
            ("sans-serif", 20),
        )
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0..window_count, 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("window of two seconds")
        .y_desc("credit")
        .draw()?;
    for (index, (name, credits)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = (0_u32..).zip(credits.iter().copied());
        chart
            .draw_series(LineSeries::new(points, &colour))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_PX, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
