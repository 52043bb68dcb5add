//! Figures of a run of load, as JSON and as text.

use crate::caller::CallResult;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Figures of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Seed of arrivals and lengths.
    pub seed: u64,
    /// Mean rate of calls that the schedule was drawn with.
    pub requests_per_second: f64,
    /// Time over which calls were started.
    pub seconds: f64,
    /// Calls in the schedule; each was sent.
    pub planned: u64,
    /// Calls that gave a whole answer.
    pub completed: u64,
    /// Figures by mix and path.
    pub mixes: Vec<MixSummary>,
    /// Figures by second of the calls' intended start.
    pub series: Vec<SeriesPoint>,
}

/// Figures of one mix over one path; latencies are those of completed calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MixSummary {
    /// Name of the mix.
    pub mix: String,
    /// Whether the calls went to engines without a gateway.
    pub direct: bool,
    /// Calls by result.
    pub results: Vec<ResultCount>,
    /// Output tokens received.
    pub output_tokens: u64,
    /// From the intended start to the first token.
    pub first_token: LatencySummary,
    /// The same over all quantiles.
    pub first_token_curve: Vec<QuantilePoint>,
    /// Between tokens.
    pub between_tokens: LatencySummary,
    /// From the intended start to the end.
    pub total: LatencySummary,
}

/// Calls with one result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResultCount {
    /// The result.
    pub result: CallResult,
    /// Number of calls.
    pub calls: u64,
}

/// Quantiles of one latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of measurements.
    pub count: u64,
    /// Mean.
    pub mean_millis: f64,
    /// Median.
    pub p50_millis: f64,
    /// 95th per cent.
    pub p95_millis: f64,
    /// 99th per cent.
    pub p99_millis: f64,
    /// Largest.
    pub maximum_millis: f64,
}

/// One quantile of a latency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuantilePoint {
    /// Part of the measurements at or below, in per cent.
    pub per_cent: f64,
    /// The latency, in milliseconds.
    pub millis: f64,
}

/// One second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SeriesPoint {
    /// Start of the second, from the start of the run.
    pub at_seconds: u64,
    /// Calls whose intended start lies in it.
    pub started: u64,
    /// Those of them that gave a whole answer.
    pub completed: u64,
    /// Output tokens of these calls.
    pub output_tokens: u64,
    /// Longest time to a first token among them, in milliseconds.
    pub slowest_first_token_millis: f64,
}

/// What a gateway adds, as ratios of the same mix's latencies through it and without it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverheadRatio {
    /// Name of the mix.
    pub mix: String,
    /// Median time to the first token.
    pub first_token_p50: f64,
    /// 99th per cent of the time to the first token.
    pub first_token_p99: f64,
    /// Median time between tokens.
    pub between_tokens_p50: f64,
    /// 99th per cent of the time between tokens.
    pub between_tokens_p99: f64,
}

impl LoadSummary {
    /// Ratios of each mix that was called over both paths.
    pub fn overhead(&self) -> Vec<OverheadRatio> {
        let through = self.mixes.iter().filter(|mix| !mix.direct);
        let pairs = through.filter_map(|mix| {
            let same = |other: &&MixSummary| other.direct && other.mix == mix.mix;
            let direct = self.mixes.iter().find(same)?;
            (direct.first_token.count > 0).then(|| OverheadRatio::new(mix, direct))
        });
        pairs.collect()
    }
}

impl OverheadRatio {
    fn new(through: &MixSummary, direct: &MixSummary) -> Self {
        Self {
            mix: through.mix.clone(),
            first_token_p50: through.first_token.p50_millis / direct.first_token.p50_millis,
            first_token_p99: through.first_token.p99_millis / direct.first_token.p99_millis,
            between_tokens_p50: through.between_tokens.p50_millis / direct.between_tokens.p50_millis,
            between_tokens_p99: through.between_tokens.p99_millis / direct.between_tokens.p99_millis,
        }
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} of {} calls completed, {:.1} calls/s over {:.0} s, seed {}",
            self.completed, self.planned, self.requests_per_second, self.seconds, self.seed
        )?;
        self.mixes.iter().try_for_each(|mix| mix.fmt(formatter))?;
        let ratios = self.overhead();
        ratios.iter().try_for_each(|ratio| ratio.fmt(formatter))
    }
}

impl fmt::Display for MixSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.direct { "direct" } else { "gateway" };
        writeln!(
            formatter,
            "{} ({path}): {} output tokens",
            self.mix, self.output_tokens
        )?;
        for count in &self.results {
            writeln!(formatter, "  {:>7}  {:?}", count.calls, count.result)?;
        }
        let latencies = [
            ("first token", self.first_token),
            ("between tokens", self.between_tokens),
            ("total", self.total),
        ];
        for (name, latency) in latencies {
            writeln!(
                formatter,
                "  {name:<15} ms: p50 {:.2}  p95 {:.2}  p99 {:.2}  max {:.2}",
                latency.p50_millis, latency.p95_millis, latency.p99_millis, latency.maximum_millis
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for OverheadRatio {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{} gateway/direct: first token p50 {:.3} p99 {:.3}, between tokens p50 {:.3} p99 {:.3}",
            self.mix,
            self.first_token_p50,
            self.first_token_p99,
            self.between_tokens_p50,
            self.between_tokens_p99
        )
    }
}
