//! Figures of a calibration and their table.

use super::CallTimes;
use super::predict::Prediction;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Percentiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

/// One time, foretold and measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Comparison {
    /// What the model says.
    pub predicted: Percentiles,
    /// What the process did.
    pub measured: Percentiles,
    /// Measured less predicted, call by call, without sign.
    pub difference: Percentiles,
    /// Mean measured over mean predicted, less one.
    pub mean_error: f64,
}

/// One run at one rate.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RateReport {
    /// Calls per second.
    pub rate: f64,
    /// Calls that both answered whole.
    pub compared: usize,
    /// Calls that one of them did not answer whole.
    pub left_out: usize,
    /// Calls that the model runs in a second of real time on one thread.
    pub model_calls_per_second: f64,
    /// Time to the first token.
    pub first_token: Comparison,
    /// Mean time between tokens of each call.
    pub between_tokens: Comparison,
}

/// All runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CalibrationReport {
    /// One entry for each rate.
    pub rates: Vec<RateReport>,
}

impl CalibrationReport {
    /// Adds the run at one rate; both lists hold one entry per call.
    pub fn add(&mut self, rate: f64, prediction: &Prediction, observed: &[Option<CallTimes>]) {
        let calls = prediction.times.len();
        let pairs: Vec<(CallTimes, CallTimes)> = prediction
            .times
            .iter()
            .zip(observed)
            .filter_map(|(predicted, observed)| Some(((*predicted)?, (*observed)?)))
            .collect();
        self.rates.push(RateReport {
            rate,
            compared: pairs.len(),
            left_out: calls - pairs.len(),
            model_calls_per_second: calls as f64 / prediction.took.as_secs_f64(),
            first_token: compare(&pairs, |times| times.first_token),
            between_tokens: compare(&pairs, |times| times.between_tokens),
        });
    }
}

fn compare(pairs: &[(CallTimes, CallTimes)], time: fn(&CallTimes) -> Duration) -> Comparison {
    let predicted: Vec<f64> = pairs
        .iter()
        .map(|(predicted, _)| millis(time(predicted)))
        .collect();
    let measured: Vec<f64> = pairs.iter().map(|(_, measured)| millis(time(measured))).collect();
    let difference = predicted
        .iter()
        .zip(&measured)
        .map(|(predicted, measured)| (measured - predicted).abs())
        .collect();
    let mean_error = mean(&measured) / mean(&predicted) - 1.0;
    Comparison {
        predicted: percentiles(predicted),
        measured: percentiles(measured),
        difference: percentiles(difference),
        mean_error,
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn percentiles(mut values: Vec<f64>) -> Percentiles {
    values.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let index = (values.len() as f64 * part).ceil() as usize;
        values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    Percentiles {
        p50: at(0.50),
        p95: at(0.95),
        p99: at(0.99),
    }
}

impl fmt::Display for CalibrationReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:>7} {:>6} {:>5}  {:<15} {:>25} {:>25} {:>25} {:>7}",
            "calls/s",
            "calls",
            "lost",
            "milliseconds",
            "model p50/p95/p99",
            "process p50/p95/p99",
            "difference p50/p95/p99",
            "mean"
        )?;
        for run in &self.rates {
            write_row(formatter, run, "first token", &run.first_token)?;
            write_row(formatter, run, "between tokens", &run.between_tokens)?;
        }
        for run in &self.rates {
            writeln!(
                formatter,
                "at {} calls/s the model runs {:.0} calls in a second of one thread",
                run.rate, run.model_calls_per_second
            )?;
        }
        Ok(())
    }
}

fn write_row(
    formatter: &mut fmt::Formatter<'_>,
    run: &RateReport,
    name: &str,
    comparison: &Comparison,
) -> fmt::Result {
    writeln!(
        formatter,
        "{:>7} {:>6} {:>5}  {:<15} {:>25} {:>25} {:>25} {:>+6.1}%",
        run.rate,
        run.compared,
        run.left_out,
        name,
        three(&comparison.predicted),
        three(&comparison.measured),
        three(&comparison.difference),
        comparison.mean_error * 100.0
    )
}

fn three(percentiles: &Percentiles) -> String {
    format!(
        "{:.2}/{:.2}/{:.2}",
        percentiles.p50, percentiles.p95, percentiles.p99
    )
}
