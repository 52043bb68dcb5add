//! Paces of engines: the factor by which work takes longer at an engine than at an average engine of its pool.
//!
//! The long-term pace belongs to the engine ([`lasting`]). The momentary pace belongs to its machine, which the engine
//! shares with other workloads ([`momentary`]): engines report it in the headers of their responses, and it may change
//! many times a second. An observed time is divided by the momentary pace before it counts towards the long-term pace,
//! and by both before it counts towards the speed of the pool ([`pool_pace`]), so that each effect is counted once.
//!
//! ```text
//! work factor = long-term * (mean + (reported - mean) * e ^ (-age / persistence))
//! ```
//!
//! `mean` is the mean of the engine's reports. `persistence` is estimated for the pool from how fast the reported paces
//! change ([`persistence`]).

pub(super) mod lasting;
pub(super) mod momentary;
pub(super) mod persistence;
pub(super) mod pool_pace;
mod report;
mod router;

pub use lasting::LongTermPace;
pub use momentary::MomentaryPace;
pub use persistence::PacePersistence;
pub use pool_pace::PoolPace;
pub(super) use pool_pace::{ObservedWork, PaceObservation};
pub use report::{LongTermPaceReport, PaceReports, ReportedPace};
pub use router::{PaceChange, PaceSpread};

use super::engine::ReportedLoad;
use crate::time::MonotonicTime;
use momentary::PaceTraits;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// For which pools routing takes the paces of engines into account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePaceUse {
    /// For no pool. The speed of an engine is estimated as a single factor from its prefill times.
    Off,
    /// For pools in which an engine has reported its momentary pace.
    #[default]
    #[serde(rename = "where_told")]
    WhereReported,
    /// For every pool. The pace of an engine that reports none is estimated from observed times.
    Always,
}

/// Minimum and maximum of a plausible reported pace, in percent of the usual work time; others are ignored. A report of
/// a tenth or fifty times the usual time is a fault of the reporting engine.
const PLAUSIBLE_PACE_PERCENT_BOUNDS: (u32, u32) = (10, 5_000);

/// The momentary pace in a load report of an engine, as a factor; absent if it is missing or implausible.
pub(super) fn reported_pace(load: &ReportedLoad) -> Option<f64> {
    let (min, max) = PLAUSIBLE_PACE_PERCENT_BOUNDS;
    let percent = load.work_time_percent?;
    (min..=max).contains(&percent).then(|| f64::from(percent) / 100.0)
}

/// Estimate of one engine's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePace {
    /// Whether routing takes the pace into account.
    pub(super) is_enabled: bool,
    /// Pace of the engine relative to its pool, independent of its machine's current load.
    pub long_term: LongTermPace,
    /// Pace of the machine at this moment.
    pub momentary: MomentaryPace,
    /// Statistics of the pool's reported paces.
    pub(super) traits: PaceTraits,
    /// Long-term pace that was last logged as a change.
    pub(super) last_logged: Option<f64>,
}

impl EnginePace {
    /// Whether routing takes the pace into account.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Factor by which work takes longer now than on average in the pool.
    pub fn factor(&self, now: MonotonicTime) -> f64 {
        self.long_term.factor() * self.momentary.factor(&self.traits, now)
    }

    /// Factor by which the state of the machine slows work down now.
    pub fn momentary_factor(&self, now: MonotonicTime) -> f64 {
        self.momentary.factor(&self.traits, now)
    }

    /// Factor by which work takes longer on average, independent of the current state of the machine.
    pub fn average_factor(&self) -> f64 {
        self.long_term.factor() * self.momentary.mean(&self.traits)
    }

    /// Age of the latest momentary pace; absent if there is none or it is too old to affect the estimate.
    pub fn momentary_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.momentary.age(&self.traits, now)
    }
}
