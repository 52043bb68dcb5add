//! Makes an operator's change: in the store on the condition that nobody else has changed it meanwhile, then here.

use super::reading::{Kept, read, write};
use super::take;
use crate::context::Context;
use crate::metering;
use shelfjunction_core::cordon::{CordonChange, CordonRefusal, CordonSet};
use shelfjunction_core::table::TransactionOutcome;
use shelfjunction_platform::services::TableService;
use shelfjunction_threads::lock;

/// Times that a change is tried anew: another operator may have been faster, or an answer was lost.
const TRIES: u32 = 4;

/// Why a change is not in force.
#[derive(Debug)]
pub(crate) enum ChangeError {
    /// It may not be made.
    Refused(CordonRefusal),
    /// The store gave no answer that can be relied on, or others were faster each time.
    NotKept(String),
}

/// Makes a change; the set that is in force then. With an error nothing has changed here; after a lost answer the store
/// may have taken it all the same, which the next reading shows.
pub(crate) fn change(
    context: &Context,
    table: &dyn TableService,
    asked: &CordonChange,
) -> Result<CordonSet, ChangeError> {
    let mut lost: Option<CordonSet> = None;
    let mut fault = "others changed the cordons each time".to_owned();
    for _ in 0..TRIES {
        let kept = match read(table) {
            Ok(kept) => kept,
            Err(error) => {
                fault = format!("{error:?}");
                continue;
            }
        };
        if let (Some(wanted), Some(kept)) = (&lost, &kept)
            && *wanted == kept.set
        {
            return Ok(put_in_force(context, asked, kept.set.clone()));
        }
        let wanted = wanted(context, kept.as_ref(), asked)?;
        match write(table, kept.as_ref(), &wanted) {
            Ok(TransactionOutcome::Committed { .. }) => return Ok(put_in_force(context, asked, wanted)),
            Ok(TransactionOutcome::Conflict { .. }) => lost = None,
            Err(error) => {
                fault = format!("{error:?}");
                lost = Some(wanted);
            }
        }
    }
    log::warn!(fault = fault.as_str(), change:? = asked; "cordons_not_kept");
    Err(ChangeError::NotKept(fault))
}

fn wanted(context: &Context, kept: Option<&Kept>, asked: &CordonChange) -> Result<CordonSet, ChangeError> {
    let mut before = kept.map(|kept| kept.set.clone()).unwrap_or_default();
    // Should the row be lost or older than what nodes know, as after a restore, it undoes nothing of that.
    before.take(lock(&context.cordons).clone());
    let engines = lock(&context.router).standings();
    let settings = &context.config.cordons;
    before
        .changed(asked, &engines, settings, metering::unix(context))
        .map_err(ChangeError::Refused)
}

fn put_in_force(context: &Context, asked: &CordonChange, set: CordonSet) -> CordonSet {
    log::info!(version = set.version, change:? = asked; "cordons_changed");
    take(context, set.clone(), "operator");
    set
}
