//! How much longer work takes at one engine than at a usual one of its pool: lastingly, and at this moment.
//!
//! The lasting speed belongs to the engine ([`lasting`]). The momentary figure belongs to its machine, which others
//! share ([`momentary`]): engines tell it in the heads of their answers, and it changes many times a second. What is
//! observed of an engine is divided by the momentary figure of that time before it counts for the lasting speed, and by
//! both before it counts for the pool ([`pool_pace`]), so that the three don't mix.
//!
//! ```text
//! work factor = lasting * (usual + (told - usual) * 2.72 ^ (-age / persistence))
//! ```
//!
//! `usual` is the mean of what the engine tells, and `persistence` is learned for the pool from how soon told figures
//! change ([`persistence`]).

pub(super) mod lasting;
pub(super) mod momentary;
pub(super) mod persistence;
pub(super) mod pool_pace;
mod report;
mod router;

pub use lasting::LastingPace;
pub use momentary::MomentaryPace;
pub use persistence::PacePersistence;
pub use pool_pace::PoolPace;
pub(super) use pool_pace::{ObservedWork, PaceObservation};
pub use report::{LastingPaceReport, PaceReports, ReportedPace};
pub use router::{PaceChange, PaceSpread};

use super::engine::ReportedLoad;
use crate::time::MonotonicTime;
use momentary::PaceTraits;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// For which engines the lasting speed and the momentary figure are told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EnginePaceUse {
    /// For none: one factor is learned from readings, as for pools whose engines are alike.
    Off,
    /// For pools of which an engine has told how long work takes on its machine at the moment.
    #[default]
    #[serde(rename = "where_told")]
    WhereReported,
    /// For every pool; engines that don't tell are judged by what is seen of them.
    Always,
}

/// Figures that engines tell between these bounds are believed, in hundredths of what is usual; others count as none,
/// since a machine on which work takes a tenth or fifty times as long is a fault of the teller.
const BELIEVED_PERCENT: (u32, u32) = (10, 5_000);

/// The momentary figure that an engine told, as a factor; absent where it told none or nonsense.
pub(super) fn reported_pace(told: &ReportedLoad) -> Option<f64> {
    let (least, most) = BELIEVED_PERCENT;
    let percent = told.work_time_percent?;
    (least..=most)
        .contains(&percent)
        .then(|| f64::from(percent) / 100.0)
}

/// What is believed of one engine's pace.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EnginePace {
    /// Whether its pool's engines are told apart by it.
    pub(super) in_use: bool,
    /// How its own speed lies beside its pool's.
    pub lasting: LastingPace,
    /// How its machine stands.
    pub momentary: MomentaryPace,
    /// How figures behave in its pool.
    pub(super) traits: PaceTraits,
    /// Factor of the lasting speed that was last reported as a change.
    pub(super) reported: Option<f64>,
}

impl EnginePace {
    /// Whether the figures decide.
    pub fn in_use(&self) -> bool {
        self.in_use
    }

    /// Factor by which work takes longer now.
    pub fn factor(&self, now: MonotonicTime) -> f64 {
        self.lasting.factor() * self.momentary.factor(&self.traits, now)
    }

    /// Factor that the machine's state at this moment gives.
    pub fn momentary_factor(&self, now: MonotonicTime) -> f64 {
        self.momentary.factor(&self.traits, now)
    }

    /// Factor by which work usually takes longer, whatever the machine does at the moment.
    pub fn usual_factor(&self) -> f64 {
        self.lasting.factor() * self.momentary.usual(&self.traits)
    }

    /// Age of the momentary figure; absent where it counts no longer.
    pub fn momentary_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.momentary.age(&self.traits, now)
    }
}
