//! Reads the cordons from the store: after a start, since all nodes may have ended together, and now and then.

use super::take;
use crate::context::Context;
use crate::peers::Duty;
use shelfjunction_core::cordon::{CORDONS_ROW, CordonSet};
use shelfjunction_core::table::{PlatformError, Row, RowKey};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::TableService;
use std::time::Duration;

/// Pause after the store gave no answer, doubled at most by chance, since many nodes fail together.
const PAUSE: Duration = Duration::from_millis(700);

/// Time between two looks of the lease's holder: a node that wrote a change and ended before it told anybody leaves it
/// unknown for no longer.
const LOOK_AGAIN: Duration = Duration::from_secs(60);

/// Reads the row when it is due. In a large fleet only nodes on duty do; the others hear of the version from them.
pub(crate) struct Reader {
    has_read: bool,
    not_before: MonotonicTime,
}

impl Reader {
    pub(crate) fn new(context: &Context) -> Self {
        Self {
            has_read: context.config.first_start,
            not_before: context.now(),
        }
    }

    /// Reads the row if it is due; seldom anything.
    pub(crate) fn step(&mut self, context: &Context, table: &dyn TableService) {
        let now = context.now();
        if now < self.not_before || !self.is_due(context, now) {
            return;
        }
        match read(table) {
            Ok(kept) => {
                self.has_read = true;
                self.not_before = now + LOOK_AGAIN;
                if let Some(kept) = kept {
                    take(context, kept.set, "store");
                }
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
