//! What the store keeps of a request under which engines crashed, past the end of every process.
//!
//! Nodes write the rows on the condition that they are as they were read, and join what they know with what is there. A request that
//! is cleared keeps its row until none of the cleared crashes would count any more: a record of them that the store makes late finds
//! the row changed, and after its removal has nothing that counts.

use super::config::MAX_CRASHES;
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
    /// Crashes that stop to count by then are cleared; absent where none are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cleared_until: Option<UnixTime>,
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
        let after = |time: Duration| UnixTime(now.0.saturating_add(time.as_micros() as u64));
        let crashes = report.crashes.iter().map(|crash| CrashRow {
            engine: crash.engine,
            counts_until: after(crash.counts_for),
            is_isolated: crash.is_isolated,
        });
        Self {
            fingerprint: report.fingerprint,
            asked: report.asked.clone(),
            crashes: crashes.collect(),
            claimed_at: None,
            cleared_until: (!report.cleared_for.is_zero()).then(|| after(report.cleared_for)),
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
        let counting = self.counting(now);
        let crashes = counting.map(|crash| CrashReport {
            engine: crash.engine,
            counts_for: Duration::from_micros(crash.counts_until.0 - now.0),
            is_isolated: crash.is_isolated,
        });
        SuspectReport {
            fingerprint: self.fingerprint,
            asked: self.asked.clone(),
            crashes: crashes.collect(),
            cleared_for: self
                .cleared_until
                .map_or(Duration::ZERO, |until| until.since(now)),
        }
    }

    fn counting(&self, now: UnixTime) -> impl Iterator<Item = &CrashRow> {
        let after = self.cleared_until.map_or(now, |until| until.max(now));
        self.crashes
            .iter()
            .filter(move |crash| crash.counts_until > after)
    }

    /// This row with what another one of the same request adds.
    pub fn joined(&self, other: &Self) -> Self {
        let mut joined = Self {
            cleared_until: self.cleared_until.max(other.cleared_until),
            ..self.clone()
        };
        for crash in &other.crashes {
            match joined
                .crashes
                .iter_mut()
                .find(|known| known.engine == crash.engine)
            {
                Some(known) => known.is_isolated |= crash.is_isolated,
                None => joined.crashes.push(*crash),
            }
        }
        joined.crashes = joined.counting(UnixTime(0)).copied().collect();
        joined.crashes.sort_by_key(|crash| crash.counts_until);
        let surplus = joined.crashes.len().saturating_sub(MAX_CRASHES);
        joined.crashes.drain(..surplus);
        joined
    }

    /// Whether another row of the same request clears every crash of this one.
    pub fn is_cleared_by(&self, other: &Self) -> bool {
        let is_cleared = |crash: &CrashRow| {
            other
                .cleared_until
                .is_some_and(|until| crash.counts_until <= until)
        };
        self.crashes.iter().all(is_cleared)
    }

    /// Whether nothing of it counts, and nothing that it clears would count, any more.
    pub fn is_over(&self, now: UnixTime) -> bool {
        let cleared_until = self.cleared_until.unwrap_or_default();
        cleared_until <= now && self.counting(now).next().is_none()
    }
}
