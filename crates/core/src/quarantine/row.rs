//! What the store keeps of a request under which engines crashed, past the end of every process.

use super::report::{CrashReport, SuspectReport};
use super::{Asked, Fingerprint};
use crate::membership::subject::SubjectHandle;
use crate::metering::UnixTime;
use crate::table::RowKey;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Beginning of the rows' keys.
pub const ROW_PREFIX: &str = "quarantine/";

/// A request in the store. Times are true times, since the clocks of processes are not compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRow {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was asked.
    pub asked: Asked,
    /// Engines that crashed, and until when each counts.
    pub crashes: Vec<CrashRow>,
    /// When the run that confirms or clears it was claimed; absent in rows that claim none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claimed_at: Option<UnixTime>,
}

/// One crash in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRow {
    /// The start of the engine.
    pub engine: SubjectHandle,
    /// Until when it counts.
    pub counts_until: UnixTime,
    /// Whether the request was on trial there.
    #[serde(default)]
    pub is_isolated: bool,
}

impl SuspectRow {
    /// Key of a request's row.
    pub fn key(fingerprint: &Fingerprint) -> RowKey {
        RowKey(format!("{ROW_PREFIX}{fingerprint}"))
    }

    /// Key of the row by which one node claims the run that confirms or clears a request. It holds a [`SuspectRow`] as well, so
    /// that a node that reads all rows merges the crashes, and removes the row when they no longer count.
    pub fn claim_key(fingerprint: &Fingerprint) -> RowKey {
        RowKey(format!("{ROW_PREFIX}claim/{fingerprint}"))
    }

    /// The row of a report that is made now.
    pub fn of(report: &SuspectReport, now: UnixTime) -> Self {
        let crashes = report.crashes.iter().map(|crash| CrashRow {
            engine: crash.engine,
            counts_until: UnixTime(now.0.saturating_add(crash.counts_for.as_micros() as u64)),
            is_isolated: crash.is_isolated,
        });
        Self {
            fingerprint: report.fingerprint,
            asked: report.asked.clone(),
            crashes: crashes.collect(),
            claimed_at: None,
        }
    }

    /// The same as the claim of a run that begins now.
    pub fn claim_of(report: &SuspectReport, now: UnixTime) -> Self {
        Self {
            claimed_at: Some(now),
            ..Self::of(report, now)
        }
    }

    /// The report that a row makes now.
    pub fn report(&self, now: UnixTime) -> SuspectReport {
        let counting = self.crashes.iter().filter(|crash| crash.counts_until > now);
        let crashes = counting.map(|crash| CrashReport {
            engine: crash.engine,
            counts_for: Duration::from_micros(crash.counts_until.0 - now.0),
            is_isolated: crash.is_isolated,
        });
        SuspectReport {
            fingerprint: self.fingerprint,
            asked: self.asked.clone(),
            crashes: crashes.collect(),
            cleared_for: Duration::ZERO,
        }
    }
}
