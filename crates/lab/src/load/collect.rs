//! Gathers observations into histograms and a series over time.

use super::observation::Observation;
use super::plan::LoadPlan;
use super::summary::{LatencySummary, LoadSummary, MixSummary, QuantilePoint, ResultCount, SeriesPoint};
use crate::caller::CallResult;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest latency that is told apart, in microseconds: one hour.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// Decimal digits to which latencies are told apart.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Length of one point of the series.
const SERIES_STEP: Duration = Duration::from_secs(1);

/// Latencies of one kind, in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

/// Everything observed in a run so far.
#[derive(Debug)]
pub struct Collector {
    mixes: Vec<MixCollector>,
    series: Vec<SeriesPoint>,
    observed: u64,
    completed: u64,
}

/// Observations of one mix over one path.
#[derive(Debug)]
struct MixCollector {
    name: String,
    direct: bool,
    results: BTreeMap<CallResult, u64>,
    tokens: u64,
    first_token: Latencies,
    between_tokens: Latencies,
    total: Latencies,
}

impl Latencies {
    /// No latency yet.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS);
        Self {
            histogram: histogram.unwrap_or_else(|error| unreachable!("constant bounds are valid: {error}")),
        }
    }

    /// Counts one latency; one beyond an hour counts as an hour.
    pub fn add(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.clamp(1, LONGEST_MICROS));
    }

    /// The latency at every whole per cent.
    pub fn curve(&self) -> Vec<QuantilePoint> {
        let point = |per_cent: u32| {
            let per_cent = f64::from(per_cent);
            let micros = self.histogram.value_at_percentile(per_cent);
            QuantilePoint {
                per_cent,
                millis: micros as f64 / 1_000.0,
            }
        };
        (0..=100).map(point).collect()
    }

    /// Quantiles in milliseconds.
    pub fn summary(&self) -> LatencySummary {
        let quantile = |at: f64| self.histogram.value_at_quantile(at) as f64 / 1_000.0;
        LatencySummary {
            count: self.histogram.len(),
            mean_millis: self.histogram.mean() / 1_000.0,
            p50_millis: quantile(0.50),
            p95_millis: quantile(0.95),
            p99_millis: quantile(0.99),
            maximum_millis: self.histogram.max() as f64 / 1_000.0,
        }
    }
}

impl Default for Latencies {
    fn default() -> Self {
        Self::new()
    }
}

impl Collector {
    /// Nothing observed yet.
    pub fn new(plan: &LoadPlan) -> Self {
        let paths: &[bool] = if plan.direct.is_empty() {
            &[false]
        } else {
            &[false, true]
        };
        let mixes = plan.mixes.iter().flat_map(|mix| {
            let for_path = |direct: &bool| MixCollector::new(&mix.name, *direct);
            paths.iter().map(for_path)
        });
        Self {
            mixes: mixes.collect(),
            series: Vec::new(),
            observed: 0,
            completed: 0,
        }
    }

    /// Adds one finished call.
    pub fn add(&mut self, observation: &Observation) {
        self.observed += 1;
        let completed = observation.result == CallResult::Completed;
        self.completed += u64::from(completed);
        let paths = if self.mixes.iter().any(|mix| mix.direct) {
            2
        } else {
            1
        };
        let position = observation.mix * paths + usize::from(observation.direct);
        if let Some(mix) = self.mixes.get_mut(position) {
            mix.add(observation);
        }
        self.add_to_series(observation, completed);
    }

    /// Calls that have ended.
    pub fn observed(&self) -> u64 {
        self.observed
    }

    /// Calls that gave a whole answer.
    pub fn completed(&self) -> u64 {
        self.completed
    }

    /// Summary of the run.
    pub fn summary(self, plan: &LoadPlan, planned: usize) -> LoadSummary {
        LoadSummary {
            seed: plan.seed,
            requests_per_second: plan.requests_per_second,
            seconds: plan.duration.as_secs_f64(),
            planned: planned as u64,
            completed: self.completed,
            mixes: self.mixes.iter().map(MixCollector::summary).collect(),
            series: self.series,
        }
    }

    fn add_to_series(&mut self, observation: &Observation, completed: bool) {
        let second = observation.at.div_duration_f64(SERIES_STEP) as usize;
        while self.series.len() <= second {
            let at_seconds = self.series.len() as u64;
            self.series.push(SeriesPoint {
                at_seconds,
                ..SeriesPoint::default()
            });
        }
        let point = &mut self.series[second];
        point.started += 1;
        point.completed += u64::from(completed);
        point.output_tokens +=
            observation.between_tokens.len() as u64 + u64::from(observation.first_token.is_some());
        let first_token_millis = observation
            .first_token
            .map_or(0.0, |first| first.as_secs_f64() * 1_000.0);
        point.slowest_first_token_millis = point.slowest_first_token_millis.max(first_token_millis);
    }
}

impl MixCollector {
    fn new(name: &str, direct: bool) -> Self {
        Self {
            name: name.to_owned(),
            direct,
            results: BTreeMap::new(),
            tokens: 0,
            first_token: Latencies::new(),
            between_tokens: Latencies::new(),
            total: Latencies::new(),
        }
    }

    fn add(&mut self, observation: &Observation) {
        *self.results.entry(observation.result.clone()).or_default() += 1;
        if observation.result != CallResult::Completed {
            return;
        }
        self.tokens += observation.between_tokens.len() as u64 + 1;
        if let Some(first_token) = observation.first_token {
            self.first_token.add(first_token);
        }
        for gap in &observation.between_tokens {
            self.between_tokens.add(*gap);
        }
        self.total.add(observation.total);
    }

    fn summary(&self) -> MixSummary {
        let count = |(result, calls): (&CallResult, &u64)| ResultCount {
            result: result.clone(),
            calls: *calls,
        };
        MixSummary {
            mix: self.name.clone(),
            direct: self.direct,
            results: self.results.iter().map(count).collect(),
            output_tokens: self.tokens,
            first_token: self.first_token.summary(),
            first_token_curve: self.first_token.curve(),
            between_tokens: self.between_tokens.summary(),
            total: self.total.summary(),
        }
    }
}
