//! Spillover between regions ([`shelfjunction_core::spill`]): asks placers of other regions, answers as one, and measures the round
//! trips to them.

mod answering;
mod asking;
mod metrics;
mod probing;

pub(crate) use answering::{answer, note_progress, note_question, receive};
pub(crate) use asking::{AskedRegion, Spillover};
pub(crate) use metrics::SpillMetrics;
pub(crate) use probing::run as run_probes;
