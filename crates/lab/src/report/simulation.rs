//! The page of a comparison of policies.

use super::page::Page;
use super::plot::{Plot, PlotError, Series};
use crate::simulate::comparison::{ComparisonResult, Interval, PolicySummary, WorkloadSummary};
use crate::simulate::statistics::{RunStatistics, SERIES_BIN_SECONDS};
use hdrhistogram::Histogram;
use shelfjunction_core::engine::Role;

/// Policies whose goodput is drawn over time.
const DRAWN_POLICIES: [&str; 4] = ["ours", "fixed roles", "all mixed", "reactive threshold"];
/// Quantiles at which delays are drawn.
const DRAWN_QUANTILES: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 0.95];
/// Names of the classes, in their order.
const CLASS_NAMES: [&str; 3] = ["interactive", "standard", "batch"];

/// Draws the page.
pub fn page(result: &ComparisonResult) -> Result<String, PlotError> {
    let mut page = Page::new("Comparison of routing and role policies");
    page.paragraph(&format!(
        "{} simulated requests. Intervals are 95 per cent over seeds; plots show the first seed.",
        result.requests
    ));
    for workload in &result.workloads {
        add_workload(&mut page, workload)?;
    }
    Ok(page.finish())
}

fn add_workload(page: &mut Page, workload: &WorkloadSummary) -> Result<(), PlotError> {
    page.heading(&format!(
        "{} ({:.1} requests/s offered)",
        workload.workload, workload.offered_per_second
    ));
    add_table(page, workload);
    page.figure(&goodput_plot(workload).svg()?);
    if let Some((_, ours)) = workload.first_seed.iter().find(|(name, _)| *name == "ours") {
        page.figure(&roles_plot(ours).svg()?);
        let first_token = |class: usize| {
            let limit = workload.targets[class].first_token_millis;
            (&ours.delays[class].first_token, limit)
        };
        page.figure(&delays_plot("Time to first token of ours", first_token).svg()?);
        let between_tokens = |class: usize| {
            let limit = workload.targets[class].between_tokens_millis;
            (&ours.delays[class].between_tokens, limit)
        };
        page.figure(&delays_plot("Mean time between tokens of ours", between_tokens).svg()?);
    }
    Ok(())
}

fn add_table(page: &mut Page, workload: &WorkloadSummary) {
    let header = [
        "policy",
        "goodput/s",
        "of oracle %",
        "role changes",
        "refused %",
        "late %",
        "fairness",
        "worst tenant %",
    ];
    let rows: Vec<Vec<String>> = workload.policies.iter().map(row).collect();
    page.table(&header, &rows);
}

fn row(policy: &PolicySummary) -> Vec<String> {
    let show = |value: Interval, factor: f64, digits: usize| {
        format!(
            "{:.digits$} ± {:.digits$}",
            value.mean * factor,
            value.half_width * factor
        )
    };
    vec![
        policy.policy.to_owned(),
        show(policy.goodput, 1.0, 2),
        show(policy.oracle_share, 100.0, 1),
        show(policy.role_changes, 1.0, 1),
        show(policy.refused_part, 100.0, 2),
        show(policy.late_part, 100.0, 2),
        show(policy.fairness, 1.0, 3),
        show(policy.worst_tenant_part, 100.0, 1),
    ]
}

fn goodput_plot(workload: &WorkloadSummary) -> Plot {
    let mut series = Vec::new();
    for (name, run) in &workload.first_seed {
        if !DRAWN_POLICIES.contains(name) {
            continue;
        }
        if series.is_empty() {
            series.push(over_time("offered", run, |bin| {
                bin.offered as f64 / SERIES_BIN_SECONDS as f64
            }));
        }
        series.push(over_time(name, run, |bin| {
            bin.good as f64 / SERIES_BIN_SECONDS as f64
        }));
    }
    Plot {
        title: "Requests within their limits, by time of arrival".to_owned(),
        horizontal: "time (s)".to_owned(),
        vertical: "requests/s".to_owned(),
        series,
    }
}

fn roles_plot(run: &RunStatistics) -> Plot {
    let of = |label: &str, role: Role| over_time(label, run, move |bin| f64::from(bin.roles.of(role)));
    Plot {
        title: "Engines by role, ours".to_owned(),
        horizontal: "time (s)".to_owned(),
        vertical: "engines".to_owned(),
        series: vec![
            of("prefill", Role::Prefill),
            of("decode", Role::Decode),
            of("mixed", Role::Mixed),
        ],
    }
}

fn over_time(
    label: &str,
    run: &RunStatistics,
    value: impl Fn(&crate::simulate::statistics::SeriesBin) -> f64,
) -> Series {
    let whole_bins = (run.seconds / SERIES_BIN_SECONDS as f64) as usize;
    let bins = run.series.iter().take(whole_bins).enumerate();
    let points = bins.map(|(index, bin)| ((index as u64 * SERIES_BIN_SECONDS) as f64, value(bin)));
    Series {
        label: label.to_owned(),
        points: points.collect(),
    }
}

/// Delays of each class at each quantile, as a part of the class's limit in milliseconds.
fn delays_plot<'a>(title: &str, delays: impl Fn(usize) -> (&'a Histogram<u64>, u64)) -> Plot {
    let series = CLASS_NAMES.iter().enumerate().map(|(class, name)| {
        let (histogram, limit_millis) = delays(class);
        let limit_micros = (limit_millis.max(1) * 1_000) as f64;
        let points = DRAWN_QUANTILES.iter().map(|quantile| {
            let delay = histogram.value_at_quantile(*quantile) as f64;
            (quantile * 100.0, delay / limit_micros * 100.0)
        });
        Series {
            label: format!("{name} (limit {limit_millis} ms)"),
            points: points.collect(),
        }
    });
    Plot {
        title: title.to_owned(),
        horizontal: "per cent of finished requests".to_owned(),
        vertical: "per cent of the limit".to_owned(),
        series: series.collect(),
    }
}
