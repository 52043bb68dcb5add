//! Reads the cordons from the store: after a start, since all nodes may have ended together, and now and then. The lease's holder
//! writes them again where a restored store lacks them.

use super::take;
use crate::context::Context;
use crate::peers::Duty;
use shelfjunction_core::cordon::{CORDONS_ROW, CordonSet};
use shelfjunction_core::table::{Check, PlatformError, Row, RowKey, Transaction, TransactionOutcome, Write};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;
use std::time::Duration;

/// Pause after the store gave no answer, doubled at most by chance, since many nodes fail together.
const PAUSE: Duration = Duration::from_millis(700);

/// Time between two looks of the lease's holder: a node that wrote a change and ended before it told anybody leaves it
/// unknown for no longer.
const LOOK_AGAIN: Duration = Duration::from_secs(60);

/// Reads the row when it is due. In a large fleet only nodes on duty do; the others hear of the version from them.
pub(crate) struct Reader {
    has_read: bool,
    /// Era of the store at the last look.
    era: u64,
    not_before: MonotonicTime,
}

impl Reader {
    pub(crate) fn new(context: &Context) -> Self {
        Self {
            has_read: context.config.first_start,
            era: 0,
            not_before: context.now(),
        }
    }

    /// Reads the row if it is due; seldom anything.
    pub(crate) fn step(&mut self, context: &Context, table: &dyn TableService) {
        let now = context.now();
        let era = context.store_era();
        if era > self.era {
            self.era = era;
            self.not_before = now;
        }
        if now < self.not_before || !self.is_due(context, now) {
            return;
        }
        match look(context, table) {
            Ok(()) => {
                self.has_read = true;
                self.not_before = now + LOOK_AGAIN;
            }
            Err(error) => {
                log::info!(error:? = error, has_read = self.has_read; "cordons_not_read");
                self.not_before = now + PAUSE + PAUSE.mul_f64(rand::random::<f64>());
            }
        }
    }

    fn is_due(&self, context: &Context, now: MonotonicTime) -> bool {
        if self.has_read {
            return context.authority(now).is_some();
        }
        matches!(context.peers.duty(now), Duty::Placer | Duty::Shared)
    }
}

/// Takes what the store has. Where that is older than what nodes know, the lease's holder writes it again.
fn look(context: &Context, table: &dyn TableService) -> Result<(), PlatformError> {
    let kept = read(table)?;
    let known = lock(&context.cordons).clone();
    let kept_version = kept.as_ref().map_or(0, |kept| kept.set.version);
    if kept_version < known.version && context.authority(context.now()).is_some() {
        let outcome = write(table, kept.as_ref(), &known)?;
        // Where another node has changed the row meanwhile, the next look takes that.
        let is_written = matches!(outcome, TransactionOutcome::Committed { .. });
        log::warn!(kept_version, version = known.version, is_written; "cordons_written_again");
    } else if let Some(kept) = kept {
        take(context, kept.set, "store");
    }
    Ok(())
}

/// Replaces the row on the condition that it is as it was read.
pub(super) fn write(
    table: &dyn TableService,
    kept: Option<&Kept>,
    wanted: &CordonSet,
) -> Result<TransactionOutcome, PlatformError> {
    let key = RowKey(CORDONS_ROW.to_owned());
    let value = serde_json::to_string(wanted).map_err(|error| PlatformError::Malformed(error.to_string()))?;
    let transaction = Transaction {
        checks: vec![Check {
            key: key.clone(),
            expected: kept.map(|kept| kept.row.version),
        }],
        writes: vec![Write {
            key,
            value: Some(value),
        }],
    };
    table.transact(&transaction)
}

/// The cordons as the store keeps them, and the row that holds them.
pub(super) struct Kept {
    pub(super) set: CordonSet,
    pub(super) row: Row,
}

/// Reads the row; absent where there was never a cordon.
pub(super) fn read(table: &dyn TableService) -> Result<Option<Kept>, PlatformError> {
    let Some(row) = table.read(&RowKey(CORDONS_ROW.to_owned()))? else {
        return Ok(None);
    };
    let set = serde_json::from_str(&row.value)
        .map_err(|error| PlatformError::Malformed(format!("row {CORDONS_ROW}: {error}")))?;
    Ok(Some(Kept { set, row }))
}
