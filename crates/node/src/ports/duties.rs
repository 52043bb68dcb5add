//! The platform's interface for what one node at a time does for all.

use shelfjunction_core::autoscaling::ScaleOrder;
use shelfjunction_core::identity::{FencingToken, NodeId};
use shelfjunction_core::metering::WindowNumber;
use shelfjunction_core::metering::tally::TenantCounts;
use std::time::Duration;

/// Least time for which the authority of a call is still valid when the call is begun.
pub const MIN_DUTY_TIME: Duration = Duration::from_millis(500);

/// Who calls the platform, and with which authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyHolder {
    /// The machine that has the duty.
    pub node: NodeId,
    /// Its authority.
    pub token: FencingToken,
    /// Time for which the authority is still valid, [`MIN_DUTY_TIME`] at least: a successor may call afterwards.
    pub valid_for: Duration,
}

/// What became of a call to the platform's interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It was taken.
    Taken,
    /// It conflicts: a higher token was seen, or there is none to be had of what was ordered. Nothing was done.
    Conflict,
    /// Too many calls; nothing was done.
    Throttled,
    /// The platform understood it and won't take it; the status tells why.
    Rejected(u16),
    /// There was no answer that can be relied on: it may have been taken, or may be taken later.
    Unanswered(String),
}

/// The platform's interface for what one node at a time does for all. No call arrives there after the authority of its holder has
/// ended: one that is not answered in time is aborted.
pub trait PlatformDuties: Send + Sync {
    /// Reports the requests that began in a window.
    fn report_usage(&self, holder: &DutyHolder, window: WindowNumber, counts: &TenantCounts) -> DutyAnswer;

    /// Orders how many engines of a kind should run in a zone.
    fn order_engines(&self, holder: &DutyHolder, order: &ScaleOrder) -> DutyAnswer;
}
