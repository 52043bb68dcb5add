//! Keeps in the store what must outlast all processes, and reads it when a process starts.

use crate::context::Context;
use crate::metering;
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_core::quarantine::report::SuspectReport;
use shelfjunction_core::quarantine::row::{ROW_PREFIX, SuspectRow};
use shelfjunction_core::table::{PlatformError, Row, RowKey, Transaction, Write};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Pause after the store gave no answer, doubled at most by chance, since many nodes fail together.
const PAUSE: Duration = Duration::from_millis(700);

/// Keeps the store's rows and the register alike.
pub(crate) struct StoreSync {
    /// Whether the rows were read, or none can be there.
    has_read: bool,
    not_before: MonotonicTime,
}

impl StoreSync {
    pub(crate) fn new(context: &Context) -> Self {
        Self {
            has_read: context.config.first_start || !context.config.quarantine.enabled,
            not_before: MonotonicTime::default(),
        }
    }

    /// Does what there is to do; seldom anything.
    pub(crate) fn step(&mut self, context: &Context, table: &dyn TableService) {
        let now = context.now();
        let nothing_new = self.has_read && context.suspects.remembers_nothing();
        if nothing_new || now < self.not_before {
            return;
        }
        if let Err(error) = self.try_step(context, table) {
            log::info!(error:? = error, has_read = self.has_read; "quarantine_not_kept");
            self.not_before = now + PAUSE + PAUSE.mul_f64(rand::random::<f64>());
        }
    }

    fn try_step(&mut self, context: &Context, table: &dyn TableService) -> Result<(), PlatformError> {
        if !self.has_read {
            read(context, table)?;
            self.has_read = true;
        }
        let now = context.now();
        let (not_stored, stored_in_vain) = {
            let register = lock(&context.suspects.register);
            (register.not_stored(now), register.stored_in_vain(now))
        };
        not_stored
            .iter()
            .try_for_each(|report| keep(context, table, report))?;
        stored_in_vain
            .iter()
            .try_for_each(|fingerprint| drop_row(context, table, fingerprint))
    }
}

fn keep(context: &Context, table: &dyn TableService, report: &SuspectReport) -> Result<(), PlatformError> {
    let row = SuspectRow::of(report, metering::unix(context));
    let value = row_value(&row)?;
    write(table, vec![(SuspectRow::key(&report.fingerprint), Some(value))])?;
    lock(&context.suspects.register).note_stored(&report.fingerprint, report.evidence());
    log::info!(fingerprint:% = report.fingerprint, crashes = report.crashes.len(); "suspect_kept");
    Ok(())
}

/// A row as it is stored.
pub(super) fn row_value(row: &SuspectRow) -> Result<String, PlatformError> {
    serde_json::to_string(row).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn drop_row(
    context: &Context,
    table: &dyn TableService,
    fingerprint: &Fingerprint,
) -> Result<(), PlatformError> {
    let keys = [SuspectRow::key(fingerprint), SuspectRow::claim_key(fingerprint)];
    write(table, keys.map(|key| (key, None)).into())?;
    lock(&context.suspects.register).note_stored(fingerprint, 0);
    log::info!(fingerprint:% = fingerprint; "suspect_dropped");
    Ok(())
}

fn write(table: &dyn TableService, rows: Vec<(RowKey, Option<String>)>) -> Result<(), PlatformError> {
    let writes = rows.into_iter().map(|(key, value)| Write { key, value });
    let transaction = Transaction {
        checks: Vec::new(),
        writes: writes.collect(),
    };
    // Without a check there is nothing that could be in conflict.
    table.transact(&transaction).map(|_| ())
}

/// Reads every row, and takes those off that count no longer.
fn read(context: &Context, table: &dyn TableService) -> Result<(), PlatformError> {
    let rows = table.scan(ROW_PREFIX)?;
    let mut over = Vec::new();
    let mut taken = 0;
    for row in &rows {
        match readable(row) {
            Some(suspect) if take(context, &suspect) => taken += 1,
            _ => over.push((row.key.clone(), None)),
        }
    }
    log::info!(taken, over = over.len(); "quarantine_read");
    if over.is_empty() {
        return Ok(());
    }
    write(table, over)
}

fn readable(row: &Row) -> Option<SuspectRow> {
    let read = serde_json::from_str(&row.value);
    if let Err(error) = &read {
        log::warn!(row = row.key.0.as_str(), fault:% = error; "row_unreadable");
    }
    read.ok()
}

/// Takes a row; false where nothing of it counts any more.
fn take(context: &Context, row: &SuspectRow) -> bool {
    let report = row.report(metering::unix(context));
    let now = context.now();
    context.suspects.with_register(|register| {
        register.merge(&report, now);
        register.note_stored(&report.fingerprint, report.evidence());
    });
    !report.crashes.is_empty()
}
