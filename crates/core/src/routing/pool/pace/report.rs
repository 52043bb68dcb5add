//! What nodes tell each other of engines' paces.

use crate::membership::subject::SubjectHandle;
use serde::{Deserialize, Serialize};

/// A momentary figure that an engine told the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedPace {
    /// The engine.
    pub engine: SubjectHandle,
    /// The figure, in hundredths of what is usual.
    pub percent: u16,
    /// Its age when it was sent, in milliseconds.
    pub age_millis: u16,
}

/// What the sender itself has seen of an engine's lasting speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastingPaceReport {
    /// The engine.
    pub engine: SubjectHandle,
    /// The factor, in thousandths.
    pub thousandths: u16,
    /// Observations that it rests on.
    pub weight: u8,
}

/// What a node tells others of engines' paces; a lost one is made good by a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceReports {
    /// Figures that differ from what their receivers would believe.
    pub figures: Vec<ReportedPace>,
    /// Lasting speeds, of some engines at a time.
    pub lasting: Vec<LastingPaceReport>,
}

impl PaceReports {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.figures.is_empty() && self.lasting.is_empty()
    }

    /// Whether there is nothing in it that has to be told soon.
    pub fn is_deferrable(&self) -> bool {
        self.figures.is_empty()
    }
}
