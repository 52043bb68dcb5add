//! The platform in the world: the stand-in's state machine behind the network.

use serde::{Deserialize, Serialize};
use shelfjunction_core::lease::{TableAnswer, TableCall};
use shelfjunction_core::table::{PlatformError, TransactionOutcome, Write};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::platform::config::{PlatformLimits, RateLimit};
use shelfjunction_lab::platform::faults::{LostAnswers, Outage, PlatformFaults, ServiceFaults};
use shelfjunction_lab::platform::record::{PlatformRecord, RecordedCall, RecordedVerdict};
use shelfjunction_lab::platform::state::{PlatformAnswer, PlatformCall, PlatformState};
use std::time::Duration;

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoreTrouble {
    /// Nothing.
    None,
    /// It says that it is unavailable.
    Refusing,
    /// It does nothing and says nothing.
    Silent,
    /// It acts, and one answer in so many is lost.
    LosesOneIn(u32),
    /// It acts, and answers this much later, in milliseconds.
    Slow(u64),
}

/// Table calls per second that the platform allows the whole fleet.
const TABLE_CALLS_PER_SECOND: f64 = 200.0;

/// A platform with a rate limit that a busy fleet can meet.
pub fn new_platform() -> PlatformState {
    let table = RateLimit {
        calls_per_second: TABLE_CALLS_PER_SECOND,
        burst: 100.0,
    };
    let limits = PlatformLimits {
        table,
        ..PlatformLimits::default()
    };
    PlatformState::new(&limits, Vec::new())
}

/// Sets what is wrong from now on.
pub fn set_trouble(platform: &mut PlatformState, trouble: StoreTrouble) {
    let mut faults = ServiceFaults::default();
    match trouble {
        StoreTrouble::None => {}
        StoreTrouble::Refusing => faults.outage = Outage::Refusing,
        StoreTrouble::Silent => faults.outage = Outage::Silent,
        StoreTrouble::LosesOneIn(period) => faults.lost_answers = LostAnswers::OneIn(period),
        StoreTrouble::Slow(delay_millis) => faults.delay_millis = delay_millis,
    }
    platform.set_faults(PlatformFaults::everywhere(faults));
}

/// Carries out one table call; gives the answer and how much later it is sent, or nothing when none is sent.
pub fn carry_out(
    platform: &mut PlatformState,
    request: TableCall,
    now: MonotonicTime,
) -> Option<(TableAnswer, Duration)> {
    let call = match request {
        TableCall::Read(key) => PlatformCall::ReadRow(key),
        TableCall::Scan(prefix) => PlatformCall::Scan(prefix),
        TableCall::Transact(transaction) => PlatformCall::Transact(transaction),
    };
    let handled = platform.handle(call, now);
    let answer = match handled.result {
        Ok(PlatformAnswer::Row(row)) => TableAnswer::Row(row),
        Ok(PlatformAnswer::Rows(rows)) => TableAnswer::Rows(rows),
        Ok(PlatformAnswer::Transaction(outcome)) => TableAnswer::Transacted(outcome),
        Err(PlatformError::AnswerLost) | Ok(_) => return None,
        Err(error) => TableAnswer::Failed(error),
    };
    Some((answer, handled.delay))
}

/// The writes of a transaction that took effect; absent for every other record.
pub fn committed_writes(record: &PlatformRecord) -> Option<&[Write]> {
    let RecordedCall::Transact { transaction } = &record.call else {
        return None;
    };
    let RecordedVerdict::Done {
        transaction: outcome, ..
    } = &record.verdict
    else {
        return None;
    };
    matches!(outcome, Some(TransactionOutcome::Committed { .. })).then_some(&transaction.writes)
}
