//! Runs every policy on every workload and seed, and sums up.

use super::policy::Policy;
use super::statistics::{ClassDelays, RunStatistics};
use super::trace::Trace;
use super::workload::Workload;
use super::world;
use serde::Serialize;
use shelfjunction_core::service_class::{ClassTarget, ServiceClass};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Quantile of the normal distribution for a two-sided interval of 95 per cent.
const INTERVAL_QUANTILE: f64 = 1.96;

/// A mean over seeds with half the width of its 95 per cent interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// Mean.
    pub mean: f64,
    /// Half width; zero for a single seed.
    pub half_width: f64,
}

/// Delays of one class in milliseconds, over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassSummary {
    /// The class.
    pub class: ServiceClass,
    /// Requests offered.
    pub offered: u64,
    /// Part served within all limits.
    pub good_part: f64,
    /// First token at 50, 95 and 99 per cent.
    pub first_token_millis: [f64; 3],
    /// Between tokens at 50, 95 and 99 per cent.
    pub between_tokens_millis: [f64; 3],
}

/// One policy on one workload over all seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicySummary {
    /// The policy.
    pub policy: &'static str,
    /// Goodput in requests per second.
    pub goodput: Interval,
    /// Goodput as a part of the oracle's, seed by seed.
    pub oracle_share: Interval,
    /// Role changes of a run.
    pub role_changes: Interval,
    /// Part of the requests refused as not run.
    pub refused_part: Interval,
    /// Part of the requests late or given up.
    pub late_part: Interval,
    /// Jain's index over tenants.
    pub fairness: Interval,
    /// Part served within limits of the tenant that fared worst.
    pub worst_tenant_part: Interval,
    /// Part of prompt tokens found in prefix caches.
    pub cached_part: Interval,
    /// Delays by class.
    pub classes: Vec<ClassSummary>,
}

/// All policies on one workload.
#[derive(Clone, Debug, Serialize)]
pub struct WorkloadSummary {
    /// The workload.
    pub workload: &'static str,
    /// Requests offered a second.
    pub offered_per_second: f64,
    /// The policies, in the order they were given.
    pub policies: Vec<PolicySummary>,
    /// Limits by class, for plots.
    #[serde(skip)]
    pub targets: [ClassTarget; 3],
    /// Statistics of the first seed by policy, for plots.
    #[serde(skip)]
    pub first_seed: Vec<(&'static str, RunStatistics)>,
}

/// What to run.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Workloads.
    pub workloads: Vec<Workload>,
    /// Policies.
    pub policies: Vec<Policy>,
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Threads that run at once.
    pub threads: usize,
}

/// A finished comparison.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonResult {
    /// One summary per workload.
    pub workloads: Vec<WorkloadSummary>,
    /// Requests simulated in all.
    pub requests: u64,
}

impl Comparison {
    /// Runs everything; the result depends on workloads, policies and seeds alone, not on the threads.
    pub fn run(&self, progress: impl Fn(usize, usize) + Sync) -> ComparisonResult {
        let total = self.workloads.len() * self.seeds.len();
        let next = AtomicUsize::new(0);
        let finished = AtomicUsize::new(0);
        let results: Mutex<Vec<Option<Vec<RunStatistics>>>> = Mutex::new(vec![None; total]);
        std::thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(|| {
                    loop {
                        let index = next.fetch_add(1, Ordering::Relaxed);
                        if index >= total {
                            return;
                        }
                        let runs = self.run_seed(index / self.seeds.len(), index % self.seeds.len());
                        results.lock().unwrap_or_else(PoisonError::into_inner)[index] = Some(runs);
                        progress(finished.fetch_add(1, Ordering::Relaxed) + 1, total);
                    }
                });
            }
        });
        let results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
        let runs: Vec<Vec<RunStatistics>> = results.into_iter().flatten().collect();
        self.sum_up(&runs)
    }

    /// Every policy on one trace.
    fn run_seed(&self, workload: usize, seed: usize) -> Vec<RunStatistics> {
        let workload = &self.workloads[workload];
        let seed = self.seeds[seed];
        let trace = workload.trace(seed);
        let policies = self.policies.iter();
        policies
            .map(|policy| run_policy(workload, &trace, policy, seed))
            .collect()
    }

    fn sum_up(&self, runs: &[Vec<RunStatistics>]) -> ComparisonResult {
        let by_workload = runs.chunks(self.seeds.len().max(1));
        let workloads = self.workloads.iter().zip(by_workload);
        ComparisonResult {
            workloads: workloads
                .map(|(workload, seeds)| self.sum_up_workload(workload, seeds))
                .collect(),
            requests: runs.iter().flatten().map(RunStatistics::offered).sum(),
        }
    }

    fn sum_up_workload(&self, workload: &Workload, seeds: &[Vec<RunStatistics>]) -> WorkloadSummary {
        let oracle: Vec<f64> = seeds.iter().map(|runs| best_goodput(runs)).collect();
        let mut policies = vec![oracle_summary(&oracle, seeds)];
        let mut first_seed = Vec::new();
        for (index, policy) in self.policies.iter().enumerate() {
            let runs: Vec<&RunStatistics> = seeds.iter().map(|runs| &runs[index]).collect();
            policies.push(summarize(policy.name, &runs, &oracle));
            if let Some(first) = runs.first() {
                first_seed.push((policy.name, (*first).clone()));
            }
        }
        let offered = seeds.iter().filter_map(|runs| runs.first());
        let rates: Vec<f64> = offered.map(|run| run.offered() as f64 / run.seconds).collect();
        WorkloadSummary {
            workload: workload.name,
            offered_per_second: Interval::of(&rates).mean,
            policies,
            targets: ServiceClass::ALL.map(|class| workload.deployment.target(class)),
            first_seed,
        }
    }
}

impl Interval {
    /// Mean and interval of some values.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        if values.is_empty() {
            return Self {
                mean: 0.0,
                half_width: 0.0,
            };
        }
        let mean = values.iter().sum::<f64>() / count;
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let half_width = if values.len() > 1 {
            INTERVAL_QUANTILE * (squares / (count - 1.0) / count).sqrt()
        } else {
            0.0
        };
        Self { mean, half_width }
    }
}

fn run_policy(workload: &Workload, trace: &Trace, policy: &Policy, seed: u64) -> RunStatistics {
    let lag = if policy.perfect_view {
        0
    } else {
        workload.extra_report_lag_millis
    };
    world::run(
        &workload.deployment,
        trace,
        policy,
        Duration::from_millis(lag),
        seed,
    )
}

/// The oracle knows the trace, so it may take the best of all runs on it.
fn best_goodput(runs: &[RunStatistics]) -> f64 {
    runs.iter().map(RunStatistics::goodput).fold(0.0, f64::max)
}

/// The oracle's line: for each seed the run with the highest goodput of all.
fn oracle_summary(oracle: &[f64], seeds: &[Vec<RunStatistics>]) -> PolicySummary {
    let best = seeds.iter().filter_map(|runs| {
        runs.iter()
            .max_by(|left, right| left.goodput().total_cmp(&right.goodput()))
    });
    let best: Vec<&RunStatistics> = best.collect();
    summarize("oracle (best run on the trace)", &best, oracle)
}

fn summarize(policy: &'static str, runs: &[&RunStatistics], oracle: &[f64]) -> PolicySummary {
    let over = |value: &dyn Fn(&RunStatistics) -> f64| {
        let values: Vec<f64> = runs.iter().map(|run| value(run)).collect();
        Interval::of(&values)
    };
    let shares: Vec<f64> = runs
        .iter()
        .zip(oracle)
        .map(|(run, best)| if *best > 0.0 { run.goodput() / best } else { 1.0 })
        .collect();
    PolicySummary {
        policy,
        goodput: over(&RunStatistics::goodput),
        oracle_share: Interval::of(&shares),
        role_changes: over(&|run| run.role_changes as f64),
        refused_part: over(&RunStatistics::refused_part),
        late_part: over(&RunStatistics::late_part),
        fairness: over(&RunStatistics::fairness),
        worst_tenant_part: over(&|run| run.tenant_parts().fold(1.0, f64::min)),
        cached_part: over(&RunStatistics::cached_part),
        classes: ServiceClass::ALL
            .iter()
            .map(|class| summarize_class(*class, runs))
            .collect(),
    }
}

fn summarize_class(class: ServiceClass, runs: &[&RunStatistics]) -> ClassSummary {
    let mut delays = ClassDelays::new();
    let (mut offered, mut good) = (0, 0);
    for run in runs {
        let counts = run.classes[class.index()];
        offered += counts.offered;
        good += counts.good;
        delays.add(&run.delays[class.index()]);
    }
    let at = |histogram: &hdrhistogram::Histogram<u64>| {
        [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
    };
    ClassSummary {
        class,
        offered,
        good_part: good as f64 / offered.max(1) as f64,
        first_token_millis: at(&delays.first_token),
        between_tokens_millis: at(&delays.between_tokens),
    }
}
