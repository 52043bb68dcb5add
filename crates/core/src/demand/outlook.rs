//! What demand is likely over a planning horizon: the present level for as long as levels last, then what was seen
//! before.

use super::report::DemandReport;
use crate::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

/// Samples of the past in one horizon.
const SAMPLES_PER_HORIZON: u32 = 24;
/// Samples kept; a quarter of an hour where the horizon is two minutes.
const MOST_SAMPLES: usize = 180;
/// Groups of alike samples that stand for the past.
const PAST_GROUPS: usize = 4;
/// Time for which a level lasts where the past shows no change.
const LONGEST_PERSISTENCE: Duration = Duration::from_secs(900);

/// One level of demand with its part of the horizon.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandScenario {
    /// Part of the horizon, from zero to one.
    pub part: f64,
    /// The demand.
    pub demand: DemandReport,
}

/// Demand over a horizon; the parts add up to one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandOutlook {
    /// Levels, the present one first.
    pub scenarios: Vec<DemandScenario>,
}

impl DemandOutlook {
    /// Demand that stays as it is.
    pub fn steady(demand: DemandReport) -> Self {
        Self {
            scenarios: vec![DemandScenario { part: 1.0, demand }],
        }
    }

    /// The present demand.
    pub fn present(&self) -> Option<&DemandReport> {
        self.scenarios.first().map(|scenario| &scenario.demand)
    }
}

/// Demand of the recent past, kept by whoever plans.
#[derive(Clone, Debug, Default)]
pub struct DemandHistory {
    samples: VecDeque<(MonotonicTime, DemandReport)>,
}

impl DemandHistory {
    /// Keeps the demand if a sample is due for planning over that horizon.
    pub fn record(&mut self, demand: &DemandReport, horizon: Duration, now: MonotonicTime) {
        let interval = horizon / SAMPLES_PER_HORIZON;
        let last = self.samples.back();
        if last.is_some_and(|(at, _)| now.since(*at) < interval) {
            return;
        }
        if self.samples.len() == MOST_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, demand.clone()));
    }

    /// Outlook over a horizon that starts at the present demand; empty until the past covers as long a time, since
    /// a burst at the start would pass for all there is.
    pub fn outlook(&self, present: &DemandReport, horizon: Duration) -> DemandOutlook {
        if self.covered() + horizon / SAMPLES_PER_HORIZON < horizon {
            return DemandOutlook::default();
        }
        let present_part = present_part(self.persistence(), horizon);
        let mut scenarios = vec![DemandScenario {
            part: present_part,
            demand: present.clone(),
        }];
        let mut samples: Vec<&DemandReport> = self.samples.iter().map(|(_, report)| report).collect();
        samples.sort_by(|left, right| left.prompt_share().total_cmp(&right.prompt_share()));
        for group in samples.chunks(samples.len().div_ceil(PAST_GROUPS)) {
            scenarios.push(DemandScenario {
                part: (1.0 - present_part) * group.len() as f64 / samples.len() as f64,
                demand: mean(group),
            });
        }
        DemandOutlook { scenarios }
    }

    /// How long the mix stays on one side, on average. It changes sides only when it comes beyond the other side's
    /// quartile, so that noise around one level is no change.
    pub fn persistence(&self) -> Duration {
        let reports = self.samples.iter();
        let shares: Vec<f64> = reports.map(|(_, report)| report.prompt_share()).collect();
        let mut sorted = shares.clone();
        sorted.sort_by(f64::total_cmp);
        let quarter = sorted.len() / 4;
        let (Some(low), Some(high)) = (sorted.get(quarter), sorted.get(sorted.len() - 1 - quarter)) else {
            return LONGEST_PERSISTENCE;
        };
        let mut is_high = shares[0] > *low;
        let mut turns = 0;
        for share in &shares {
            let crossed = if is_high { share <= low } else { share >= high };
            if crossed {
                is_high = !is_high;
                turns += 1;
            }
        }
        (self.covered() / (turns + 1)).min(LONGEST_PERSISTENCE)
    }

    /// Time from the oldest sample to the newest.
    fn covered(&self) -> Duration {
        match (self.samples.front(), self.samples.back()) {
            (Some((oldest, _)), Some((newest, _))) => newest.since(*oldest),
            _ => Duration::ZERO,
        }
    }
}

/// Mean part of a horizon that passes before the present level ends, when levels end at random.
fn present_part(persistence: Duration, horizon: Duration) -> f64 {
    let ratio = horizon.as_secs_f64() / persistence.as_secs_f64().max(f64::MIN_POSITIVE);
    if ratio <= 0.0 {
        return 1.0;
    }
    (1.0 - (-ratio).exp()) / ratio
}

fn mean(group: &[&DemandReport]) -> DemandReport {
    let mut sum = DemandReport::default();
    for report in group {
        sum.add(report);
    }
    sum.scale(1.0 / group.len().max(1) as f64);
    sum
}
