//! What one run came to.

use super::deployment::Deployment;
use super::trace::{Trace, TraceRequest};
use hdrhistogram::Histogram;
use shelfjunction_core::roles::RoleCounts;
use shelfjunction_core::service_class::ServiceClass;
use std::time::Duration;

/// Length of a bin of the series over time, in seconds.
pub const SERIES_BIN_SECONDS: u64 = 10;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 2;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Whole, with its first token and the mean time between tokens.
    Finished {
        /// Time to the first token.
        first_token: Duration,
        /// Mean time between tokens; absent for a single token.
        between_tokens: Option<Duration>,
        /// Time to the last token.
        total: Duration,
    },
    /// Refused as not run.
    Refused,
    /// Given up at its deadline after it was sent to an engine.
    Late,
}

/// Delays of one class, in microseconds.
#[derive(Clone, Debug)]
pub struct ClassDelays {
    /// Times to the first token.
    pub first_token: Histogram<u64>,
    /// Mean times between tokens.
    pub between_tokens: Histogram<u64>,
}

/// Counts of one class or tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndingCounts {
    /// Requests in the trace.
    pub offered: u64,
    /// Finished within all limits.
    pub good: u64,
    /// Finished, but outside a limit, or given up at the deadline.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
}

/// One bin of the series over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeriesBin {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that arrived in this bin and were served within their limits.
    pub good: u64,
    /// Engines by role at the end of the bin.
    pub roles: RoleCounts,
}

/// Statistics of one run.
#[derive(Clone, Debug)]
pub struct RunStatistics {
    /// Length of the trace, in seconds.
    pub seconds: f64,
    /// Counts by class.
    pub classes: [EndingCounts; 3],
    /// Counts by tenant.
    pub tenants: Vec<EndingCounts>,
    /// Delays by class.
    pub delays: Vec<ClassDelays>,
    /// Series over time.
    pub series: Vec<SeriesBin>,
    /// Role changes carried out.
    pub role_changes: u64,
    /// Dispatches that an engine refused.
    pub engine_refusals: u64,
    /// Prompt tokens found in prefix caches, of finished requests.
    pub cached_prompt_tokens: u64,
    /// Prompt tokens of finished requests.
    pub prompt_tokens: u64,
}

impl RunStatistics {
    /// Empty statistics for a trace.
    pub fn new(deployment: &Deployment, trace: &Trace) -> Self {
        let bins = trace.end.0 / (SERIES_BIN_SECONDS * 1_000_000) + 1;
        Self {
            seconds: trace.end.0 as f64 / 1e6,
            classes: Default::default(),
            tenants: vec![EndingCounts::default(); deployment.tenants.len()],
            delays: ServiceClass::ALL.iter().map(|_| ClassDelays::new()).collect(),
            series: vec![SeriesBin::default(); bins as usize],
            role_changes: 0,
            engine_refusals: 0,
            cached_prompt_tokens: 0,
            prompt_tokens: 0,
        }
    }

    /// Counts how a request ended.
    pub fn count(&mut self, request: &TraceRequest, ending: Ending, deployment: &Deployment) {
        let good = self.is_good(request, ending, deployment);
        for counts in [
            &mut self.classes[request.class.index()],
            &mut self.tenants[request.tenant],
        ] {
            counts.offered += 1;
            match ending {
                Ending::Refused => counts.refused += 1,
                _ if good => counts.good += 1,
                _ => counts.late += 1,
            }
        }
        let bin = request.at.0 / (SERIES_BIN_SECONDS * 1_000_000);
        if let Some(bin) = self.series.get_mut(bin as usize) {
            bin.offered += 1;
            bin.good += u64::from(good);
        }
        if let Ending::Finished {
            first_token,
            between_tokens,
            ..
        } = ending
        {
            self.delays[request.class.index()].record(first_token, between_tokens);
        }
    }

    /// Requests in the trace, over all classes.
    pub fn offered(&self) -> u64 {
        self.classes.iter().map(|counts| counts.offered).sum()
    }

    /// Requests served within their limits per second.
    pub fn goodput(&self) -> f64 {
        let good: u64 = self.classes.iter().map(|counts| counts.good).sum();
        good as f64 / self.seconds
    }

    /// Part of all requests that were refused.
    pub fn refused_part(&self) -> f64 {
        let refused: u64 = self.classes.iter().map(|counts| counts.refused).sum();
        refused as f64 / self.offered().max(1) as f64
    }

    /// Part of all requests that finished outside a limit or were given up at their deadline.
    pub fn late_part(&self) -> f64 {
        let late: u64 = self.classes.iter().map(|counts| counts.late).sum();
        late as f64 / self.offered().max(1) as f64
    }

    /// Jain's index over the part of each tenant's requests that was served within limits; one is even.
    pub fn fairness(&self) -> f64 {
        let parts: Vec<f64> = self.tenant_parts().collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        if squares == 0.0 {
            return 1.0;
        }
        sum * sum / (parts.len() as f64 * squares)
    }

    /// Part of each tenant's requests that was served within limits.
    pub fn tenant_parts(&self) -> impl Iterator<Item = f64> {
        let busy = self.tenants.iter().filter(|counts| counts.offered > 0);
        busy.map(|counts| counts.good as f64 / counts.offered as f64)
    }

    /// Part of the prompt tokens of finished requests that prefix caches held.
    pub fn cached_part(&self) -> f64 {
        self.cached_prompt_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    fn is_good(&self, request: &TraceRequest, ending: Ending, deployment: &Deployment) -> bool {
        let Ending::Finished {
            first_token,
            between_tokens,
            total,
        } = ending
        else {
            return false;
        };
        let target = deployment.target(request.class);
        first_token <= Duration::from_millis(target.first_token_millis)
            && between_tokens.is_none_or(|gap| gap <= Duration::from_millis(target.between_tokens_millis))
            && total <= Duration::from_millis(target.deadline_millis)
    }
}

impl ClassDelays {
    /// Delays of nothing yet.
    pub fn new() -> Self {
        Self {
            first_token: new_histogram(),
            between_tokens: new_histogram(),
        }
    }

    /// Adds the delays of another run.
    pub fn add(&mut self, other: &Self) {
        // Both histograms grow by themselves, so adding can't fail.
        let _ = self.first_token.add(&other.first_token);
        let _ = self.between_tokens.add(&other.between_tokens);
    }

    fn record(&mut self, first_token: Duration, between_tokens: Option<Duration>) {
        self.first_token.saturating_record(first_token.as_micros() as u64);
        if let Some(gap) = between_tokens {
            self.between_tokens.saturating_record(gap.as_micros() as u64);
        }
    }
}

impl Default for ClassDelays {
    fn default() -> Self {
        Self::new()
    }
}

fn new_histogram() -> Histogram<u64> {
    const LONGEST_MICROS: u64 = 3_600_000_000;
    match Histogram::new_with_max(LONGEST_MICROS, HISTOGRAM_DIGITS) {
        Ok(histogram) => histogram,
        Err(error) => unreachable!("the bounds of the histogram are constants: {error}"),
    }
}
