//! Reports of engines' paces between nodes.

use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// A momentary pace that an engine reported to the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPace {
    /// The engine.
    pub engine: SubjectHandle,
    /// Time that work takes on the machine, in percent of the usual time.
    pub percent: u16,
    /// Age of the pace when the report was sent, in milliseconds.
    pub age_millis: u16,
}

/// The sender's own estimate of an engine's long-term pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LongTermPaceReport {
    /// The engine.
    pub engine: SubjectHandle,
    /// The factor, in thousandths.
    pub thousandths: u16,
    /// Weight of the observations behind the estimate.
    pub weight: u8,
}

/// Paces of engines that a node sends to its peers. Later reports make up for a lost one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReports {
    /// Momentary paces that differ from the estimates of the receivers.
    pub figures: Vec<ReportedPace>,
    /// Long-term paces, of some engines at a time.
    pub lasting: Vec<LongTermPaceReport>,
}

impl PaceReports {
    /// Whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.figures.is_empty() && self.lasting.is_empty()
    }

    /// Whether the reports can wait for the next periodic message.
    pub fn is_deferrable(&self) -> bool {
        self.figures.is_empty()
    }
}
