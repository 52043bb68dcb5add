//! Rows that keep usage reports from before they are sent until they are confirmed.

use super::WindowNumber;
use super::tally::TenantCounts;
use crate::identity::TenantId;
use crate::table::{Check, Row, RowKey, Transaction, Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Beginning of the rows' keys.
pub const PREFIX: &str = "usage/";

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

/// What the rows say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records {
    /// Whole records by window.
    pub reports: BTreeMap<WindowNumber, TenantCounts>,
    /// Every window up to this one was confirmed or given up; absent before the first.
    pub confirmed_through: Option<WindowNumber>,
}

/// The transaction that records a window unless it is recorded already, and clears rows that have served.
pub fn recording(
    window: WindowNumber,
    counts: &TenantCounts,
    confirmed_through: Option<WindowNumber>,
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
    let mut writes: Vec<Write> = (0..pieces).map(piece).collect();
    writes.extend(confirmed_through.map(|through| {
        let key = RowKey(CONFIRMED_KEY.to_owned());
        write(key, &ConfirmedRow { through })
    }));
    let removed = served
        .iter()
        .flat_map(|one| (0..one.pieces).map(|index| piece_key(one.window, index)));
    writes.extend(removed.map(|key| Write { key, value: None }));
    Transaction {
        checks: vec![Check {
            key: piece_key(window, 0),
            expected: None,
        }],
        writes,
    }
}

/// A record that is needed no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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

/// Reads the rows; the faults name rows that can't be read, which are passed over.
pub fn read(rows: &[Row]) -> (Records, Vec<String>) {
    let mut records = Records::default();
    let mut pieces: BTreeMap<WindowNumber, Vec<PieceRow>> = BTreeMap::new();
    let mut faults = Vec::new();
    for row in rows {
        let read = match window_of(&row.key) {
            _ if row.key.0 == CONFIRMED_KEY => serde_json::from_str(&row.value).map(|row: ConfirmedRow| {
                records.confirmed_through = Some(row.through);
            }),
            Some(window) => serde_json::from_str(&row.value).map(|row| {
                pieces.entry(window).or_default().push(row);
            }),
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
    (records, faults)
}

fn window_of(key: &RowKey) -> Option<WindowNumber> {
    let (window, _) = key.0.strip_prefix(PREFIX)?.split_once('/')?;
    window.parse().ok().map(WindowNumber)
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
