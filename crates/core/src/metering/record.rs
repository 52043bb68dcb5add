//! Rows that keep usage reports from before they are sent until they are confirmed.
//!
//! ```text
//! usage/{window}/{piece}   figures of a window, from its recording until some time after its report was confirmed
//! usage/progress/{era}     token of the writer, last window recorded, last window confirmed
//! usage/confirmed          last window confirmed, for builds that don't know the row of progress
//! ```
//!
//! A row of figures is written and later removed, so that its absence doesn't say whether the window was recorded. The row of
//! progress does: every transaction on reports names its version and changes it. One that the store makes after another
//! one, however late, fails. Versions are given out again after a restore of the store, so each era has a row of its own.

use super::WindowNumber;
use super::tally::TenantCounts;
use crate::identity::{FencingToken, TenantId};
use crate::table::{Check, Row, RowKey, RowVersion, StorePosition, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Beginning of the rows' keys.
pub const PREFIX: &str = "usage/";

/// Beginning of the keys of the rows of progress; the era follows.
const PROGRESS_PREFIX: &str = "usage/progress/";

/// Key of the row that tells which reports were confirmed.
const CONFIRMED_KEY: &str = "usage/confirmed";

/// Tenants in one row; each takes some 30 bytes of the 64 KiB that a row holds.
const TENANTS_PER_ROW: usize = 1_000;

/// Value of one row of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PieceRow {
    pieces: usize,
    counts: BTreeMap<TenantId, u64>,
}

/// Value of the row of confirmations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ConfirmedRow {
    /// Every window up to this one was confirmed or given up.
    through: WindowNumber,
}

/// Value of the row of progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Token of the holder that wrote it.
    pub token: FencingToken,
    /// No window up to this one is recorded any more; absent before the first.
    pub recorded_through: Option<WindowNumber>,
    /// Every window up to this one was confirmed or given up; absent before the first.
    pub confirmed_through: Option<WindowNumber>,
}

/// The row of progress as it was read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgressRow {
    /// Era of the store that its key names.
    pub era: u64,
    /// Its version.
    pub version: RowVersion,
    /// Its value.
    pub progress: Progress,
}

/// What the rows say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// Whole records by window.
    pub reports: BTreeMap<WindowNumber, TenantCounts>,
    /// Every window up to this one was confirmed or given up; absent before the first.
    pub confirmed_through: Option<WindowNumber>,
    /// The last window that has any row, or that the row of progress names; absent before the first.
    pub recorded_through: Option<WindowNumber>,
    /// The row of progress of the newest era; absent before the first.
    pub progress: Option<ProgressRow>,
    /// Era of the store in which the rows were read; absent where there are none.
    pub era: Option<u64>,
}

/// Rows that the first claim in an era removes at most; the store takes 100 entries at once.
const MAX_REMOVED_BY_CLAIM: usize = 64;

/// The claim with which a holder begins in an era: it also removes records that must not be reported. Where they are too many the newest
/// go: only the newest one can have been made after the restore.
pub fn claiming_anew(
    before: Option<ProgressRow>,
    era: u64,
    progress: Progress,
    stray: &BTreeSet<Served>,
) -> Transaction {
    let mut transaction = claiming(before, era, progress);
    let newest_first: Vec<Served> = stray.iter().rev().copied().collect();
    let removed = removals(&newest_first).take(MAX_REMOVED_BY_CLAIM);
    transaction.writes.extend(removed);
    transaction
}

/// Changes the row of progress, on the condition that it is as it was read. A row of an earlier era is replaced.
pub fn claiming(before: Option<ProgressRow>, era: u64, progress: Progress) -> Transaction {
    let key = progress_key(era);
    let mut writes = vec![write(key.clone(), &progress)];
    writes.extend(confirmed_row(progress));
    let mut checks = vec![Check {
        key: key.clone(),
        expected: None,
    }];
    if let Some(before) = before {
        let read = Check {
            key: progress_key(before.era),
            expected: Some(before.version),
        };
        if read.key == key {
            checks = vec![read];
        } else {
            writes.push(Write {
                key: read.key.clone(),
                value: None,
            });
            checks.push(read);
        }
    }
    Transaction { checks, writes }
}

/// The transaction that records a window behind those that are recorded already, and clears rows that have served.
pub fn recording(
    window: WindowNumber,
    counts: &TenantCounts,
    before: ProgressRow,
    progress: Progress,
    served: &[Served],
) -> Transaction {
    let mut transaction = rewriting(window, counts, before, progress, served);
    // Builds that don't know the row of progress may have recorded it.
    transaction.checks.push(Check {
        key: piece_key(window, 0),
        expected: None,
    });
    transaction
}

/// The same, whatever rows the window has.
pub fn rewriting(
    window: WindowNumber,
    counts: &TenantCounts,
    before: ProgressRow,
    progress: Progress,
    served: &[Served],
) -> Transaction {
    let tenants: Vec<(&TenantId, &u64)> = counts.iter().collect();
    let pieces = tenants.len().div_ceil(TENANTS_PER_ROW).max(1);
    let piece = |index: usize| {
        let of_piece = tenants.iter().skip(index * TENANTS_PER_ROW).take(TENANTS_PER_ROW);
        let row = PieceRow {
            pieces,
            counts: of_piece
                .map(|(tenant, count)| ((*tenant).clone(), **count))
                .collect(),
        };
        write(piece_key(window, index), &row)
    };
    let claim = claiming(Some(before), before.era, progress);
    let mut writes: Vec<Write> = (0..pieces).map(piece).collect();
    writes.extend(claim.writes);
    writes.extend(removals(served));
    Transaction {
        checks: claim.checks,
        writes,
    }
}

fn removals(records: &[Served]) -> impl Iterator<Item = Write> {
    let keys = records
        .iter()
        .flat_map(|one| (0..one.pieces).map(|index| piece_key(one.window, index)));
    keys.map(|key| Write { key, value: None })
}

/// A record that is needed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Served {
    /// Its window.
    pub window: WindowNumber,
    /// Its rows.
    pub pieces: usize,
}

impl Served {
    /// The record of these counts.
    pub fn of(window: WindowNumber, counts: &TenantCounts) -> Self {
        Self {
            window,
            pieces: counts.len().div_ceil(TENANTS_PER_ROW).max(1),
        }
    }
}

/// Reads the rows; the faults name rows that can't be read. Where that is the row of progress nothing is known.
pub fn read(rows: &[Row]) -> (Option<Records>, Vec<String>) {
    let mut records = Records::default();
    let mut pieces: BTreeMap<WindowNumber, Vec<PieceRow>> = BTreeMap::new();
    let mut windows: BTreeSet<WindowNumber> = BTreeSet::new();
    let mut unreadable_progress = None;
    let mut faults = Vec::new();
    for row in rows {
        records.era = records.era.max(Some(StorePosition::era_of(row.version.0)));
        let read = match Name::of(&row.key) {
            Some(Name::Confirmed) => serde_json::from_str(&row.value).map(|row: ConfirmedRow| {
                records.confirmed_through = records.confirmed_through.max(Some(row.through));
            }),
            Some(Name::Progress(era)) => {
                let read = serde_json::from_str(&row.value);
                if read.is_err() {
                    unreadable_progress = unreadable_progress.max(Some(era));
                }
                read.map(|progress| records.take_progress(era, row.version, progress))
            }
            Some(Name::Piece(window)) => {
                windows.insert(window);
                serde_json::from_str(&row.value).map(|row| {
                    pieces.entry(window).or_default().push(row);
                })
            }
            None => continue,
        };
        if let Err(error) = read {
            faults.push(format!("{}: {error}", row.key.0));
        }
    }
    for (window, rows) in pieces {
        if rows.len() == rows[0].pieces {
            let counts = rows.into_iter().flat_map(|row| row.counts).collect();
            records.reports.insert(window, counts);
        } else {
            faults.push(format!("{PREFIX}{window}: {} rows", rows.len()));
        }
    }
    records.recorded_through = records
        .recorded_through
        .max(records.confirmed_through)
        .max(windows.last().copied());
    let newest_progress = records.progress.map(|row| row.era);
    let is_known = unreadable_progress.is_none() || unreadable_progress < newest_progress;
    (is_known.then_some(records), faults)
}

impl Records {
    fn take_progress(&mut self, era: u64, version: RowVersion, progress: Progress) {
        self.recorded_through = self.recorded_through.max(progress.recorded_through);
        self.confirmed_through = self.confirmed_through.max(progress.confirmed_through);
        if self.progress.is_none_or(|known| known.era < era) {
            self.progress = Some(ProgressRow {
                era,
                version,
                progress,
            });
        }
    }
}

/// What a row is about.
enum Name {
    Confirmed,
    Progress(u64),
    Piece(WindowNumber),
}

impl Name {
    fn of(key: &RowKey) -> Option<Self> {
        if key.0 == CONFIRMED_KEY {
            return Some(Self::Confirmed);
        }
        if let Some(era) = key.0.strip_prefix(PROGRESS_PREFIX) {
            return era.parse().ok().map(Self::Progress);
        }
        let (window, _) = key.0.strip_prefix(PREFIX)?.split_once('/')?;
        window
            .parse()
            .ok()
            .map(|window| Self::Piece(WindowNumber(window)))
    }
}

fn progress_key(era: u64) -> RowKey {
    RowKey(format!("{PROGRESS_PREFIX}{era}"))
}

fn confirmed_row(progress: Progress) -> Option<Write> {
    let through = progress.confirmed_through?;
    Some(write(RowKey(CONFIRMED_KEY.to_owned()), &ConfirmedRow { through }))
}

fn piece_key(window: WindowNumber, index: usize) -> RowKey {
    RowKey(format!("{PREFIX}{window}/{index:03}"))
}

fn write(key: RowKey, value: &impl Serialize) -> Write {
    // Texts and numbers always serialize.
    let value = serde_json::to_string(value).unwrap_or_default();
    Write {
        key,
        value: Some(value),
    }
}
