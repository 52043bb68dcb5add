//! Bounds around requests: retries stay a share of the requests, and claims outlive their retention.

#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use shelfjunction_core::identity::{AttemptId, EngineId, RequestId, TenantId};
use shelfjunction_core::ledger::batcher::{BatchSettings, ClaimBatcher, ClaimWrite, WriteAnswer};
use shelfjunction_core::ledger::retention::{RetentionSettings, RetentionWatch};
use shelfjunction_core::ledger::row::{ClaimRow, ReleasedRow};
use shelfjunction_core::retry::budget::{RetryBudget, RetryBudgetSettings};
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion};
use shelfjunction_core::time::MonotonicTime;
use std::time::Duration;

fn released_row(claimed_unix_seconds: u64, version: u64) -> Row {
    let released = ReleasedRow {
        released: RequestId::new("request"),
        claimed_unix_seconds,
    };
    Row {
        value: released.text(),
        ..row(claimed_unix_seconds, version)
    }
}

fn row(claimed_unix_seconds: u64, version: u64) -> Row {
    let claim = ClaimRow {
        tenant: TenantId::new("tenant"),
        body_digest: String::new(),
        request: RequestId::new("request"),
        attempt: AttemptId::new("request-1"),
        engine: EngineId::new("engine"),
        incarnation: 1,
        claimed_unix_seconds,
        settlement: None,
    };
    Row {
        key: RowKey("claim/tenant/key".to_owned()),
        version: RowVersion(version),
        value: claim.text(),
    }
}

proptest! {
    #[test]
    fn retries_stay_a_share_of_requests(events in prop::collection::vec(any::<bool>(), 0..500)) {
        let settings = RetryBudgetSettings::default();
        let mut budget = RetryBudget::new(settings);
        let (mut requests, mut retries) = (0.0, 0.0);
        for is_request in events {
            if is_request {
                budget.deposit();
                requests += 1.0;
            } else if budget.withdraw() {
                retries += 1.0;
            }
        }
        prop_assert!(retries <= settings.initial + settings.ratio * requests + 1e-6);
    }

    /// The oracle: a row goes only after both its age and the time it was seen unchanged are over.
    #[test]
    fn a_claim_is_kept_for_its_time(
        scans in prop::collection::vec((0..400u64, 0..100_000u64, 1..3u64), 1..20),
        released in any::<bool>(),
    ) {
        let row_of_kind = if released { released_row } else { row };
        let settings = RetentionSettings::default();
        let mut watch = RetentionWatch::new(settings);
        let mut now = MonotonicTime::default();
        let mut seen_since = (now, 0);
        for (passed, wall_seconds, version) in scans {
            now = now + Duration::from_secs(passed);
            if seen_since.1 != version {
                seen_since = (now, version);
            }
            let due = watch.on_scan(&[row_of_kind(1_000, version)], now, 1_000 + wall_seconds);
            let old = wall_seconds > settings.keep.as_secs();
            let observed = now.since(seen_since.0) >= settings.observed;
            prop_assert_eq!(!due.is_empty(), old && observed);
        }
        let rubbish = Row { value: "rubbish".to_owned(), ..row(0, 9) };
        watch.on_scan(std::slice::from_ref(&rubbish), now, u64::MAX);
        now = now + settings.observed;
        prop_assert!(watch.on_scan(&[rubbish], now, u64::MAX).is_empty());
    }
}

/// A silent table: the claim on its way is in doubt, the one behind it was never sent; both are answered in time.
#[test]
fn a_claim_waits_no_longer_than_its_patience() {
    let settings = BatchSettings {
        in_flight: 1,
        writes: 1,
        ..BatchSettings::default()
    };
    let mut batcher = ClaimBatcher::new(settings);
    let start = MonotonicTime::default();
    let tickets = ["claim/tenant/sent", "claim/tenant/behind"].map(|key| {
        let write = ClaimWrite::look_up(RowKey(key.to_owned()));
        batcher.submit(write, start).unwrap()
    });
    let batch = batcher.poll(start + settings.wait).unwrap().batch;
    let answers = batcher.on_outcome(batch, Err(PlatformError::AnswerLost), start + settings.patience);
    let expected = [PlatformError::AnswerLost, PlatformError::Unavailable].map(WriteAnswer::Failed);
    assert_eq!(answers, tickets.into_iter().zip(expected).collect::<Vec<_>>());
    assert!(batcher.is_idle());
}
