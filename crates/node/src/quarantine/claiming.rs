//! The claim of the one run that confirms or clears a quarantined request: a row that is written only where there is none.
//!
//! Reports between nodes may be lost, and all processes may be killed; the bound on what such a request may do after its
//! quarantine rests on the store alone. A claim of a part's run lapses, since many requests wait for it.

use super::store_sync::row_value;
use crate::context::Context;
use crate::metering;
use shelfjunction_core::quarantine::Fingerprint;
use shelfjunction_core::quarantine::row::SuspectRow;
use shelfjunction_core::table::{
    Check, PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome, Write,
};
use shelfjunction_threads::lock;
use std::time::Duration;

/// Time after which the claim of a part's run is taken over: its node has ended, or nothing came of the run.
pub(super) const CLAIM_LIFETIME: Duration = Duration::from_secs(30);

/// A claim that this node holds.
#[derive(Debug)]
pub(super) struct Claim {
    version: RowVersion,
}

/// Why this node holds no claim.
#[derive(Debug)]
pub(super) enum NoClaim {
    /// Another run has it.
    Taken,
    /// The store gave no answer that can be relied on; the claim may have been written.
    Unknown(PlatformError),
}

impl From<PlatformError> for NoClaim {
    fn from(error: PlatformError) -> Self {
        Self::Unknown(error)
    }
}

/// Claims the run.
pub(super) fn claim(context: &Context, fingerprint: &Fingerprint) -> Result<Claim, NoClaim> {
    let Some(report) = lock(&context.suspects.register).begin_storing(fingerprint, context.now()) else {
        return Err(NoClaim::Taken);
    };
    let key = SuspectRow::claim_key(fingerprint);
    let value = row_value(&SuspectRow::claim_of(&report, metering::unix(context)))?;
    let mut outcome = write(context, &key, None, Some(value.clone()))?;
    if let Some(version) = version_of_lapsed(context, fingerprint, &outcome)? {
        outcome = write(context, &key, Some(version), Some(value))?;
    }
    let TransactionOutcome::Committed { version } = outcome else {
        return Err(NoClaim::Taken);
    };
    log::info!(fingerprint:% = fingerprint, crashes = report.crashes.len(); "confirming_run_claimed");
    Ok(Claim { version })
}

/// Gives up the claim of a run that reached no engine.
pub(super) fn release(context: &Context, fingerprint: &Fingerprint, claim: Claim) {
    let released = write(
        context,
        &SuspectRow::claim_key(fingerprint),
        Some(claim.version),
        None,
    );
    log::info!(fingerprint:% = fingerprint, released:? = released; "confirming_run_released");
}

/// The version of a claim that has lapsed, or is for crashes that count no longer. Claims stay until then, so that no late removal
/// takes off the claim of another run.
fn version_of_lapsed(
    context: &Context,
    fingerprint: &Fingerprint,
    outcome: &TransactionOutcome,
) -> Result<Option<RowVersion>, PlatformError> {
    let TransactionOutcome::Conflict { found: Some(row), .. } = outcome else {
        return Ok(None);
    };
    let Some(claim) = parse(row) else {
        return Ok(None);
    };
    let now = metering::unix(context);
    let is_old = claim
        .claimed_at
        .is_some_and(|at| now.0.saturating_sub(at.0) >= CLAIM_LIFETIME.as_micros() as u64);
    let has_lapsed = (fingerprint.is_part() && is_old)
        || claim.report(now).crashes.is_empty()
        || is_cleared(context, fingerprint, &claim)?;
    Ok(has_lapsed.then_some(row.version))
}

/// Whether the store says that every crash that a claim names is cleared.
fn is_cleared(
    context: &Context,
    fingerprint: &Fingerprint,
    claim: &SuspectRow,
) -> Result<bool, PlatformError> {
    let row = context.table.read(&SuspectRow::key(fingerprint))?;
    let suspect = row.as_ref().and_then(parse);
    Ok(suspect.is_some_and(|suspect| claim.is_cleared_by(&suspect)))
}

fn parse(row: &Row) -> Option<SuspectRow> {
    serde_json::from_str(&row.value).ok()
}

fn write(
    context: &Context,
    key: &RowKey,
    expected: Option<RowVersion>,
    value: Option<String>,
) -> Result<TransactionOutcome, PlatformError> {
    let check = Check {
        key: key.clone(),
        expected,
    };
    context.table.transact(&Transaction {
        checks: vec![check],
        writes: vec![Write {
            key: key.clone(),
            value,
        }],
    })
}
