//! Line plots as SVG.

use plotters::prelude::*;
use std::error::Error;
use std::fmt;

const SIZE: (u32, u32) = (1_060, 320);
const COLOURS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
    RGBColor(127, 127, 127),
    RGBColor(140, 86, 75),
];

/// Why a plot could not be drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlotError(String);

impl fmt::Display for PlotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl PlotError {
    fn from_backend(error: impl Error) -> Self {
        Self(error.to_string())
    }
}

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Series {
    /// What it shows.
    pub label: String,
    /// Points in order of the first coordinate.
    pub points: Vec<(f64, f64)>,
}

/// One plot.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Title.
    pub title: String,
    /// Name and unit of the horizontal axis.
    pub horizontal: String,
    /// Name and unit of the vertical axis.
    pub vertical: String,
    /// Lines.
    pub series: Vec<Series>,
}

impl Plot {
    /// Draws the plot as an SVG element.
    pub fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        {
            let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
            self.draw(&area)?;
            area.present().map_err(PlotError::from_backend)?;
        }
        Ok(svg)
    }

    fn draw(&self, area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>) -> Result<(), PlotError> {
        area.fill(&WHITE).map_err(PlotError::from_backend)?;
        let (right, top) = self.extent();
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 17))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(54)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(PlotError::from_backend)?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(&self.horizontal)
            .y_desc(&self.vertical)
            .draw()
            .map_err(PlotError::from_backend)?;
        for (series, colour) in self.series.iter().zip(COLOURS.iter().cycle()) {
            let line = LineSeries::new(series.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(line)
                .map_err(PlotError::from_backend)?
                .label(&series.label)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(3)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.85))
            .border_style(RGBColor(200, 200, 200))
            .draw()
            .map_err(PlotError::from_backend)
    }

    /// Largest coordinates, with room above for the legend; never empty.
    fn extent(&self) -> (f64, f64) {
        const HEADROOM: f64 = 1.35;
        let points = self.series.iter().flat_map(|series| series.points.iter());
        let (mut right, mut top) = (0.0_f64, 0.0_f64);
        for (x, y) in points {
            right = right.max(*x);
            top = top.max(*y);
        }
        let top = if top > 0.0 { top * HEADROOM } else { 1.0 };
        (if right > 0.0 { right } else { 1.0 }, top)
    }
}
