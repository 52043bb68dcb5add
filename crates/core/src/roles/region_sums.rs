//! Sums of the demand on a region, which its placers report to the lease holder of another region.
//!
//! Load is exchanged only within a region, so the lease holder knows the load of other regions from these sums. Each placer of a
//! region knows the load of the whole region and reports all of it. Of fresh reports the highest loads count, since a placer that
//! started a moment ago, or that is cut off from a part of its region, knows less.
//!
//! Clocks of nodes are not compared. A report carries the sender's own time of measurement; how much longer it travelled than the
//! fastest reports of that sender counts towards its age:
//!
//! ```text
//! offset   = time received - time measured
//! base     = min(offset, base before + MAX_CLOCK_DRIFT * time since the report before)
//! age      = now - time received + (offset - base)
//! ```

use super::pool::PoolDemand;
use crate::forwarding::PoolId;
use crate::identity::RegionId;
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which a placer reports the sums of its region.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Age from which a report is ignored: six reports may be lost in a row.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time after which a sender that reports no more is forgotten.
const SENDER_RETENTION: Duration = Duration::from_secs(60);

/// Rate at which two clocks may drift apart, so that the drift of hours is not taken for delay.
const MAX_CLOCK_DRIFT: f64 = 0.001;

/// Load on the engines of one pool in a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSum {
    /// The pool.
    pub pool: PoolId,
    /// Prompt tokens to prefill per second; absent before demand was seen and the speed of an engine learned.
    pub prompt_tokens_per_second: Option<u32>,
    /// Prompt tokens that one engine prefills per second.
    pub engine_tokens_per_second: u32,
    /// Engines that outputs fill, in thousandths.
    pub output_engine_thousandths: u32,
}

impl PoolSum {
    /// The sum of measured loads.
    pub fn of(pool: PoolId, loads: RegionLoads) -> Self {
        let demand = loads.demand;
        Self {
            pool,
            prompt_tokens_per_second: demand.prompt_tokens_per_second.map(|tokens| tokens as u32),
            engine_tokens_per_second: demand.engine_tokens_per_second as u32,
            output_engine_thousandths: (loads.outputs * 1_000.0) as u32,
        }
    }

    fn loads(&self) -> RegionLoads {
        RegionLoads {
            demand: PoolDemand {
                prompt_tokens_per_second: self.prompt_tokens_per_second.map(f64::from),
                engine_tokens_per_second: f64::from(self.engine_tokens_per_second),
            },
            outputs: f64::from(self.output_engine_thousandths) / 1_000.0,
        }
    }
}

/// Report of one placer on its region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SumReport {
    /// The sender.
    pub sender: SubjectHandle,
    /// Random number of the sender's start.
    pub start: u64,
    /// Number of the report; it grows with each report of a start.
    pub number: u64,
    /// Time of measurement on the sender's own clock, in milliseconds.
    pub measured_millis: u64,
    /// The sender's region.
    pub region: RegionId,
    /// One sum for each pool with a model.
    pub pools: Vec<PoolSum>,
}

/// Load on the engines of one pool in a region, as the planner needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionLoads {
    /// Demand for prefill.
    pub demand: PoolDemand,
    /// Engines that outputs fill.
    pub outputs: f64,
}

impl RegionLoads {
    /// Engines that prefill keeps busy; zero before demand was seen.
    fn prefill_engines(&self) -> f64 {
        let tokens = self.demand.prompt_tokens_per_second.unwrap_or_default();
        tokens / self.demand.engine_tokens_per_second
    }
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVerdict {
    /// It replaces the sender's report before.
    Taken,
    /// A report with the same or a higher number was taken before.
    NotNewer,
    /// It comes from a start of the sender that has ended.
    EarlierStart,
    /// A speed is zero.
    Invalid,
}

/// Why a region is left unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanHold {
    /// No placer has reported.
    NoReport,
    /// All reports are too old; the age of the newest.
    Stale(Duration),
    /// Some of the region's placers don't report, so that demand may be missing.
    TooFewPlacers {
        /// Placers with a fresh report.
        reporting: usize,
        /// Placers that the region usually has.
        usual: usize,
    },
}

impl PlanHold {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReport => "no_report",
            Self::Stale(_) => "stale",
            Self::TooFewPlacers { .. } => "too_few_placers",
        }
    }
}

#[derive(Clone, Debug)]
struct Sender {
    start: u64,
    previous_start: Option<u64>,
    number: u64,
    region: RegionId,
    pools: Vec<PoolSum>,
    /// Smallest difference of the receiver's clock to the sender's, in milliseconds.
    base_millis: f64,
    received_at: MonotonicTime,
    /// Time that the last report travelled longer than the fastest.
    delay: Duration,
}

impl Sender {
    fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.received_at) + self.delay
    }
}

/// The latest reports of the placers of other regions.
#[derive(Clone, Debug, Default)]
pub struct RegionSums {
    senders: BTreeMap<SubjectHandle, Sender>,
}

impl RegionSums {
    /// Takes a report unless it is late, doubled or invalid.
    pub fn on_report(&mut self, report: SumReport, now: MonotonicTime) -> ReportVerdict {
        if report.pools.iter().any(|sum| sum.engine_tokens_per_second == 0) {
            return ReportVerdict::Invalid;
        }
        self.senders
            .retain(|_, sender| now.since(sender.received_at) < SENDER_RETENTION);
        let offset = millis(now) - report.measured_millis as f64;
        let before = self.senders.get(&report.sender);
        let (previous_start, base_millis) = match before {
            Some(before) if before.previous_start == Some(report.start) => {
                return ReportVerdict::EarlierStart;
            }
            Some(before) if before.start == report.start => {
                if before.number >= report.number {
                    return ReportVerdict::NotNewer;
                }
                let drift = now.since(before.received_at).as_secs_f64() * 1_000.0 * MAX_CLOCK_DRIFT;
                (before.previous_start, (before.base_millis + drift).min(offset))
            }
            Some(before) => (Some(before.start), offset),
            None => (None, offset),
        };
        let sender = Sender {
            start: report.start,
            previous_start,
            number: report.number,
            region: report.region,
            pools: report.pools,
            base_millis,
            received_at: now,
            delay: Duration::from_secs_f64((offset - base_millis).max(0.0) / 1_000.0),
        };
        self.senders.insert(report.sender, sender);
        ReportVerdict::Taken
    }

    /// Loads of a pool in a region of which `usual` placers should report.
    pub fn loads(
        &self,
        region: &RegionId,
        pool: &PoolId,
        usual: usize,
        now: MonotonicTime,
    ) -> Result<RegionLoads, PlanHold> {
        let newest = self.age(region, pool, now).ok_or(PlanHold::NoReport)?;
        if newest >= MAX_REPORT_AGE {
            return Err(PlanHold::Stale(newest));
        }
        let fresh = self.reports(region, pool);
        let fresh: Vec<RegionLoads> = fresh
            .filter(|(sender, _)| sender.age(now) < MAX_REPORT_AGE)
            .map(|(_, sum)| sum.loads())
            .collect();
        if fresh.len() < usual {
            return Err(PlanHold::TooFewPlacers {
                reporting: fresh.len(),
                usual,
            });
        }
        let outputs = fresh.iter().map(|loads| loads.outputs).fold(0.0, f64::max);
        let seen = |loads: &&RegionLoads| loads.demand.prompt_tokens_per_second.is_some();
        let most = fresh
            .iter()
            .filter(seen)
            .max_by(|left, right| left.prefill_engines().total_cmp(&right.prefill_engines()));
        let demand = most.or(fresh.first()).map(|loads| loads.demand);
        Ok(RegionLoads {
            demand: demand.unwrap_or_default(),
            outputs,
        })
    }

    /// Age of the newest report on a pool in a region; absent without a report.
    pub fn age(&self, region: &RegionId, pool: &PoolId, now: MonotonicTime) -> Option<Duration> {
        let reports = self.reports(region, pool);
        reports.map(|(sender, _)| sender.age(now)).min()
    }

    fn reports<'s>(
        &'s self,
        region: &'s RegionId,
        pool: &'s PoolId,
    ) -> impl Iterator<Item = (&'s Sender, &'s PoolSum)> {
        let senders = self
            .senders
            .values()
            .filter(move |sender| sender.region == *region);
        senders.filter_map(move |sender| {
            let sum = sender.pools.iter().find(|sum| sum.pool == *pool)?;
            Some((sender, sum))
        })
    }
}

fn millis(time: MonotonicTime) -> f64 {
    time.since(MonotonicTime::default()).as_secs_f64() * 1_000.0
}
