//! A plot of what control costs a node against the size of the fleet.

use super::result::SizeResult;
use plotters::prelude::*;

/// Pixels of the plot.
const SIZE: (u32, u32) = (900, 520);

/// Bytes a second that a node may spend.
const BUDGET_BYTES: f64 = 4_000.0;

/// One line of the plot: its name, its figure at a size, and its colour.
type Series = (&'static str, fn(&SizeResult) -> f64, RGBColor);

const SERIES: [Series; 3] = [
    ("mean", |result| result.steady.bytes.mean, BLUE),
    ("95 in 100", |result| result.steady.bytes.p95, GREEN),
    ("worst", |result| result.steady.bytes.worst, RED),
];

/// Why no plot was drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(pub String);

/// Draws the bytes a second of a node, mean, 95 in 100 and worst, with the budget, as SVG.
pub fn svg(results: &[SizeResult]) -> Result<String, PlotError> {
    let mut text = String::new();
    draw(results, &mut text).map_err(|error| PlotError(error.to_string()))?;
    Ok(text)
}

fn draw(results: &[SizeResult], text: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let largest = results.iter().map(|result| result.nodes).max().unwrap_or(1) as f64;
    let worst = results
        .iter()
        .map(|result| result.steady.bytes.worst)
        .fold(BUDGET_BYTES, f64::max);
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..largest * 1.05, 0.0..worst * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .y_desc("bytes a second of a node, in and out")
        .draw()?;
    for (name, figure, colour) in SERIES {
        let points: Vec<(f64, f64)> = results
            .iter()
            .map(|result| (result.nodes as f64, figure(result)))
            .collect();
        let series = chart.draw_series(LineSeries::new(points, &colour))?;
        series
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    let budget = LineSeries::new([(0.0, BUDGET_BYTES), (largest * 1.05, BUDGET_BYTES)], &BLACK);
    let budget = chart.draw_series(budget)?;
    budget
        .label("budget")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK));
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}
