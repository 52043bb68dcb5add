//! Log lines and figures about the records of usage windows.

use crate::context::Context;
use crate::metering::{self, Metering};
use shelfjunction_core::identity::FencingToken;
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::figures::FiguresDigest;
use shelfjunction_core::metering::record::Records;
use shelfjunction_core::metering::tally::TenantCounts;
use shelfjunction_core::table::{PlatformError, Row, StorePosition, TransactionOutcome};
use shelfjunction_threads::lock;

/// Which windows have a record, and the newest position of the store at which one of the rows was written.
pub(super) fn records(token: FencingToken, rows: &[Row], records: &Records) {
    let newest = rows.iter().map(|row| row.version.0).max().unwrap_or_default();
    let position = StorePosition::of_number(newest);
    log::info!(
        token:% = token,
        reports = records.reports.len(),
        first:? = records.reports.keys().next().map(|window| window.0),
        last:? = records.reports.keys().next_back().map(|window| window.0),
        confirmed_through:? = records.confirmed_through.map(|window| window.0),
        era = position.era,
        version = position.version;
        "usage_records_read"
    );
}

pub(super) fn claim(
    context: &Context,
    token: FencingToken,
    left_out_through: Option<WindowNumber>,
    outcome: &Result<TransactionOutcome, PlatformError>,
) {
    log::info!(token:% = token, outcome:? = outcome; "usage_reports_claimed");
    if let (Some(through), Ok(TransactionOutcome::Committed { .. })) = (left_out_through, outcome) {
        context.metrics.usage.left_out();
        log::warn!(
            token:% = token,
            through:% = through,
            cause = "may have been reported before the store was restored";
            "usage_windows_left_out"
        );
    }
}

pub(super) fn rewrite(
    token: FencingToken,
    window: WindowNumber,
    counts: &TenantCounts,
    outcome: &Result<TransactionOutcome, PlatformError>,
) {
    log::warn!(
        window:% = window,
        token:% = token,
        requests = counts.values().sum::<u64>(),
        figures:% = FiguresDigest::of(counts),
        outcome:? = outcome;
        "usage_record_rewritten"
    );
}

pub(super) fn recorded(
    context: &Context,
    metering: &Metering,
    token: FencingToken,
    window: WindowNumber,
    counts: &TenantCounts,
    whole: bool,
    outcome: &Result<TransactionOutcome, PlatformError>,
) {
    let (missing, gone) = {
        let unix = metering::unix(context);
        let tally = lock(&metering.tally);
        (tally.missing(window, unix).len(), tally.gone(window, unix))
    };
    let recorded_at = match outcome {
        Ok(TransactionOutcome::Committed { version }) => Some(StorePosition::of_number(version.0)),
        _ => None,
    };
    let is_recorded = recorded_at.is_some();
    let outcome = match outcome {
        Ok(TransactionOutcome::Committed { .. }) => "recorded".to_owned(),
        Ok(TransactionOutcome::Conflict { .. }) => "was_recorded".to_owned(),
        Err(cause) => format!("{cause:?}"),
    };
    log::info!(
        window:% = window,
        token:% = token,
        whole,
        nodes_missing = missing,
        nodes_gone = gone,
        tenants = counts.len(),
        requests = counts.values().sum::<u64>(),
        figures:% = FiguresDigest::of(counts),
        era:? = recorded_at.map(|position| position.era),
        version:? = recorded_at.map(|position| position.version),
        outcome = outcome.as_str();
        "usage_recorded"
    );
    if is_recorded {
        context.metrics.usage.recorded(whole, missing, gone);
    }
    if is_recorded && !whole {
        log::warn!(window:% = window, nodes_missing = missing, nodes_gone = gone; "usage_window_incomplete");
    }
}
