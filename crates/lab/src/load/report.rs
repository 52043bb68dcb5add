//! The page of one run of load.

use super::summary::{LatencySummary, LoadSummary, MixSummary, SeriesPoint};
use crate::report::page::Page;
use crate::report::plot::{Plot, PlotError, Series};

/// A self-contained HTML page with the run's figures and plots.
pub fn page(summary: &LoadSummary) -> Result<String, PlotError> {
    let mut page = Page::new("Load");
    page.paragraph(&format!(
        "{} of {} calls completed; {:.1} calls per second over {:.0} s, seed {}. Latencies are measured from each \
         call's intended start.",
        summary.completed, summary.planned, summary.requests_per_second, summary.seconds, summary.seed
    ));
    page.heading("Results");
    page.table(&["mix", "path", "result", "calls"], &result_rows(summary));
    page.heading("Latencies in milliseconds");
    let header = ["mix", "path", "latency", "p50", "p95", "p99", "largest"];
    page.table(&header, &latency_rows(summary));
    add_overhead(&mut page, summary);
    page.heading("Over time");
    page.figure(&calls_plot(summary).svg()?);
    page.figure(&tokens_plot(summary).svg()?);
    page.heading("Time to first token by quantile");
    page.figure(&quantile_plot(summary).svg()?);
    Ok(page.finish())
}

fn path(mix: &MixSummary) -> String {
    let path = if mix.direct { "direct" } else { "gateway" };
    path.to_owned()
}

fn result_rows(summary: &LoadSummary) -> Vec<Vec<String>> {
    let row_of = |mix: &MixSummary| {
        let (name, path) = (mix.mix.clone(), path(mix));
        let rows = mix.results.iter().map(move |count| {
            vec![
                name.clone(),
                path.clone(),
                format!("{:?}", count.result),
                count.calls.to_string(),
            ]
        });
        rows.collect::<Vec<_>>()
    };
    summary.mixes.iter().flat_map(row_of).collect()
}

fn latency_rows(summary: &LoadSummary) -> Vec<Vec<String>> {
    let rows_of = |mix: &MixSummary| {
        let latencies = [
            ("first token", mix.first_token),
            ("between tokens", mix.between_tokens),
            ("whole answer", mix.total),
        ];
        latencies.map(|(name, latency)| latency_row(mix, name, &latency))
    };
    summary.mixes.iter().flat_map(rows_of).collect()
}

fn latency_row(mix: &MixSummary, name: &str, latency: &LatencySummary) -> Vec<String> {
    let mut row = vec![mix.mix.clone(), path(mix), name.to_owned()];
    let quantiles = [
        latency.p50_millis,
        latency.p95_millis,
        latency.p99_millis,
        latency.maximum_millis,
    ];
    row.extend(quantiles.map(|millis| format!("{millis:.2}")));
    row
}

fn add_overhead(page: &mut Page, summary: &LoadSummary) {
    let ratios = summary.overhead();
    if ratios.is_empty() {
        return;
    }
    page.heading("Through a gateway against directly, as ratios");
    let header = [
        "mix",
        "first token p50",
        "first token p99",
        "between tokens p50",
        "between tokens p99",
    ];
    let rows = ratios.iter().map(|ratio| {
        let figures = [
            ratio.first_token_p50,
            ratio.first_token_p99,
            ratio.between_tokens_p50,
            ratio.between_tokens_p99,
        ];
        let mut row = vec![ratio.mix.clone()];
        row.extend(figures.map(|figure| format!("{figure:.3}")));
        row
    });
    page.table(&header, &rows.collect::<Vec<_>>());
}

fn over_time(summary: &LoadSummary, label: &str, value: impl Fn(&SeriesPoint) -> f64) -> Series {
    let point = |point: &SeriesPoint| (point.at_seconds as f64, value(point));
    Series {
        label: label.to_owned(),
        points: summary.series.iter().map(point).collect(),
    }
}

fn calls_plot(summary: &LoadSummary) -> Plot {
    Plot {
        title: "Calls by second of their intended start".to_owned(),
        horizontal: "seconds".to_owned(),
        vertical: "calls per second".to_owned(),
        series: vec![
            over_time(summary, "started", |point| point.started as f64),
            over_time(summary, "completed", |point| point.completed as f64),
        ],
    }
}

fn tokens_plot(summary: &LoadSummary) -> Plot {
    Plot {
        title: "Slowest first token by second of the calls' intended start".to_owned(),
        horizontal: "seconds".to_owned(),
        vertical: "milliseconds".to_owned(),
        series: vec![over_time(summary, "slowest first token", |point| {
            point.slowest_first_token_millis
        })],
    }
}

fn quantile_plot(summary: &LoadSummary) -> Plot {
    let line = |mix: &MixSummary| Series {
        label: format!("{} ({})", mix.mix, path(mix)),
        points: mix
            .first_token_curve
            .iter()
            .map(|point| (point.per_cent, point.millis))
            .collect(),
    };
    Plot {
        title: "Time to first token".to_owned(),
        horizontal: "per cent of calls".to_owned(),
        vertical: "milliseconds".to_owned(),
        series: summary.mixes.iter().map(line).collect(),
    }
}
