//! Keeps in the store what must outlast all processes, and reads it when a process starts.
//!
//! Each row is written and removed on the condition that it is as it was read ([`SuspectRow`]). The lease's holder looks at all of
//! them now and then, and when the store was restored: it removes those that are over, and writes what an older copy lacks.

use crate::context::Context;
use crate::metering;
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_core::quarantine::row::{ROW_PREFIX, SuspectRow};
use shelfjunction_core::table::{
    Check, PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write,
};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause after the store gave no answer, doubled at most by chance, since many nodes fail together.
const PAUSE: Duration = Duration::from_millis(700);

/// Time between two looks of the lease's holder.
const LOOK_INTERVAL: Duration = Duration::from_secs(600);

/// Times that a row is written anew where another node has changed it meanwhile.
const MAX_TRIES: u32 = 4;

/// Most rows that are removed in one transaction, which takes 100 conditions and changes.
const MAX_REMOVED_AT_ONCE: usize = 40;

/// Keeps the store's rows and the register alike.
pub(crate) struct StoreSync {
    /// Whether the rows were read, or none can be there.
    has_read: bool,
    not_before: MonotonicTime,
    /// When the lease's holder looks next.
    look_at: MonotonicTime,
    /// Era of the store at the last look.
    era: u64,
}

impl StoreSync {
    pub(crate) fn new(context: &Context) -> Self {
        Self {
            has_read: context.config.first_start || !context.config.quarantine.enabled,
            not_before: MonotonicTime::default(),
            look_at: context.now() + LOOK_INTERVAL,
            era: context.store_era(),
        }
    }

    /// Does what there is to do; seldom anything.
    pub(crate) fn step(&mut self, context: &Context, table: &dyn TableService) {
        let now = context.now();
        self.note_era(context.store_era(), now);
        let looks = !self.has_read || self.should_look(context, now);
        if now < self.not_before || (!looks && context.suspects.remembers_nothing()) {
            return;
        }
        if let Err(error) = self.try_step(context, table, looks) {
            log::info!(error:? = error, has_read = self.has_read; "quarantine_not_kept");
            self.not_before = now + PAUSE + PAUSE.mul_f64(rand::random::<f64>());
        }
    }

    /// A restored store may lack rows, or have some that were changed since.
    fn note_era(&mut self, era: u64, now: MonotonicTime) {
        if era > self.era {
            self.look_at = now;
            self.era = era;
        }
    }

    fn should_look(&self, context: &Context, now: MonotonicTime) -> bool {
        context.config.quarantine.enabled && now >= self.look_at && context.authority(now).is_some()
    }

    fn try_step(
        &mut self,
        context: &Context,
        table: &dyn TableService,
        looks: bool,
    ) -> Result<(), PlatformError> {
        if looks {
            let evidence = read(context, table)?;
            self.has_read = true;
            if context.authority(context.now()).is_some() {
                keep_differing(context, table, &evidence)?;
            }
            self.look_at = context.now() + LOOK_INTERVAL;
        }
        let now = context.now();
        let (not_stored, stored_in_vain) = {
            let register = lock(&context.suspects.register);
            (register.not_stored(now), register.stored_in_vain(now))
        };
        let not_stored = not_stored.into_iter().map(|report| report.fingerprint);
        not_stored
            .chain(stored_in_vain)
            .try_for_each(|fingerprint| keep(context, table, &fingerprint))
    }
}

/// Writes what this node knows of requests beyond what the store's rows have.
fn keep_differing(
    context: &Context,
    table: &dyn TableService,
    evidence: &BTreeMap<Fingerprint, usize>,
) -> Result<(), PlatformError> {
    let differing = lock(&context.suspects.register).differing_from(evidence, context.now());
    if !differing.is_empty() {
        log::warn!(requests = differing.len(); "suspects_written_again");
    }
    let mut differing = differing.iter();
    differing.try_for_each(|fingerprint| keep(context, table, fingerprint))
}

/// Writes what this node knows of a request, joined with what the store has.
fn keep(context: &Context, table: &dyn TableService, fingerprint: &Fingerprint) -> Result<(), PlatformError> {
    let mut found: Option<Row> = None;
    for _ in 0..MAX_TRIES {
        let report = lock(&context.suspects.register).begin_storing(fingerprint, context.now());
        let Some(report) = report else {
            return Ok(());
        };
        let known = SuspectRow::of(&report, metering::unix(context));
        let stored = found.as_ref().and_then(readable);
        let row = stored
            .as_ref()
            .map_or_else(|| known.clone(), |stored| stored.joined(&known));
        let is_new = stored.is_none_or(|stored| stored != row);
        if is_new {
            let expected = found.as_ref().map(|row| row.version);
            let outcome = write(table, SuspectRow::key(fingerprint), expected, &row)?;
            if let TransactionOutcome::Conflict { found: other, .. } = outcome {
                if let Some(suspect) = other.as_ref().and_then(readable) {
                    take(context, &suspect);
                }
                found = other;
                continue;
            }
        }
        lock(&context.suspects.register).note_stored(fingerprint, report.evidence());
        log::info!(fingerprint:% = fingerprint, crashes = row.crashes.len(), is_new; "suspect_kept");
        return Ok(());
    }
    // Tried again after a pause, as after a refusal.
    Err(PlatformError::Unavailable)
}

/// A row as it is stored.
pub(super) fn row_value(row: &SuspectRow) -> Result<String, PlatformError> {
    serde_json::to_string(row).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn write(
    table: &dyn TableService,
    key: RowKey,
    expected: Option<RowVersion>,
    row: &SuspectRow,
) -> Result<TransactionOutcome, PlatformError> {
    let check = Check {
        key: key.clone(),
        expected,
    };
    let write = Write {
        key,
        value: Some(row_value(row)?),
    };
    table.transact(&Transaction {
        checks: vec![check],
        writes: vec![write],
    })
}

/// Reads every row, and takes those off that are over. Returns the evidence of each request.
fn read(context: &Context, table: &dyn TableService) -> Result<BTreeMap<Fingerprint, usize>, PlatformError> {
    let rows = table.scan(ROW_PREFIX)?;
    let now = metering::unix(context);
    let mut over: Vec<&Row> = Vec::new();
    let mut suspects: BTreeMap<Fingerprint, SuspectRow> = BTreeMap::new();
    for row in &rows {
        match readable(row).filter(|suspect| !suspect.is_over(now)) {
            Some(suspect) => {
                let known = suspects.remove(&suspect.fingerprint);
                let joined = known.map_or_else(|| suspect.clone(), |known| known.joined(&suspect));
                suspects.insert(joined.fingerprint, joined);
            }
            None => over.push(row),
        }
    }
    suspects.values().for_each(|suspect| take(context, suspect));
    log::info!(taken = suspects.len(), over = over.len(); "quarantine_read");
    over.chunks(MAX_REMOVED_AT_ONCE)
        .try_for_each(|rows| remove(table, rows))?;
    let evidence = |suspect: &SuspectRow| suspect.report(now).evidence();
    Ok(suspects
        .iter()
        .map(|(fingerprint, suspect)| (*fingerprint, evidence(suspect)))
        .collect())
}

/// Removes rows that are as they were read. Where one of them is not, all stay until the next look.
fn remove(table: &dyn TableService, rows: &[&Row]) -> Result<(), PlatformError> {
    let checks = rows.iter().map(|row| Check {
        key: row.key.clone(),
        expected: Some(row.version),
    });
    let writes = rows.iter().map(|row| Write {
        key: row.key.clone(),
        value: None,
    });
    let transaction = Transaction {
        checks: checks.collect(),
        writes: writes.collect(),
    };
    let outcome = table.transact(&transaction)?;
    let is_removed = matches!(outcome, TransactionOutcome::Committed { .. });
    log::info!(rows = rows.len(), is_removed; "suspects_removed");
    Ok(())
}

fn readable(row: &Row) -> Option<SuspectRow> {
    let read = serde_json::from_str(&row.value);
    if let Err(error) = &read {
        log::warn!(row = row.key.0.as_str(), fault:% = error; "row_unreadable");
    }
    read.ok()
}

/// Takes what a row says.
fn take(context: &Context, row: &SuspectRow) {
    let report = row.report(metering::unix(context));
    let now = context.now();
    context.suspects.with_register(|register| {
        register.merge(&report, now);
        register.note_stored(&report.fingerprint, report.evidence());
    });
}
