//! When a keeper of the lease calls the table service, and for what.

use super::{Attempt, LeaseKeeper, MAXIMUM_UNSETTLED};
use crate::identity::FencingToken;
use crate::lease::event::LeaseEffect;
use crate::lease::observed::{Observed, next_token};
use crate::lease::record::{AttemptName, EpochRow, LeaseRow, epoch_key, era_epoch_key, lease_key};
use crate::lease::table_call::{CallId, TableCall};
use crate::table::{Check, RowKey, Transaction, Write};
use crate::time::MonotonicTime;
use std::time::Duration;

impl LeaseKeeper {
    pub(super) fn schedule_next(&mut self, now: MonotonicTime) {
        self.next_call_at = match &self.held {
            Some(held) if self.unsettled.is_empty() => held.counted_from + self.timings.renew_every(),
            None if !self.stopping && !self.may_take(now) => self.next_read(now),
            _ => now,
        };
    }

    /// When the row is read again; sooner where it lapses sooner.
    fn next_read(&self, now: MonotonicTime) -> MonotonicTime {
        let read_at = now + self.timings.read_every();
        self.lapses_at()
            .map_or(read_at, |lapses_at| read_at.min(lapses_at.max(now)))
    }

    /// From when on nobody counts on the row as it is, or on one that is missing.
    fn lapses_at(&self) -> Option<MonotonicTime> {
        let duration = Duration::from_millis(self.timings.duration_millis);
        match &self.observed {
            Some(observed) => Some(observed.lapses_at()),
            None => self.missing_since.map(|since| since + duration),
        }
    }

    /// Whether nobody's promise is broken by taking the lease at `now`.
    fn may_take(&self, now: MonotonicTime) -> bool {
        if self.lapses_at().is_none_or(|lapses_at| now >= lapses_at) {
            return true;
        }
        match &self.observed {
            Some(observed) if !observed.is_outdated() => observed.row.released || self.is_own_row(),
            // Whatever it says may have changed since it was copied.
            Some(outdated) => self.is_exclusive_at(outdated.since),
            None => self
                .missing_since
                .is_some_and(|since| self.is_exclusive_at(since)),
        }
    }

    /// Whether nobody else could hold the lease then; a later taking changes the row.
    fn is_exclusive_at(&self, instant: MonotonicTime) -> bool {
        self.exclusive_until.is_some_and(|until| instant < until)
    }

    pub(super) fn make_due_call(&mut self, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        if self.outstanding.is_some() || now < self.next_call_at || self.released {
            return;
        }
        let request = self.next_request(now);
        let Some(request) = request else {
            return;
        };
        self.calls += 1;
        let call = CallId(self.calls);
        self.outstanding = Some(call);
        effects.push(LeaseEffect::Call { call, request });
    }

    fn next_request(&mut self, now: MonotonicTime) -> Option<TableCall> {
        if self.read_first {
            return Some(self.read());
        }
        // From an outdated row nobody takes a release.
        if self.stopping && (!self.is_own_row() || self.observed.as_ref().is_some_and(Observed::is_outdated))
        {
            self.released = true;
            return None;
        }
        if self.stopping || self.held.is_some() || self.may_take(now) {
            return Some(self.write(now));
        }
        Some(self.read())
    }

    fn is_own_row(&self) -> bool {
        self.observed
            .as_ref()
            .is_some_and(|observed| observed.row.attempt.process == self.process)
    }

    fn read(&self) -> TableCall {
        TableCall::Read(lease_key(&self.zone))
    }

    fn write(&mut self, now: MonotonicTime) -> TableCall {
        self.attempts += 1;
        let row = self.next_row(AttemptName {
            process: self.process,
            number: self.attempts,
        });
        let observed = self.observed.as_ref();
        let mut writes = vec![encode(lease_key(&self.zone), &row)];
        let mut checks = vec![Check {
            key: lease_key(&self.zone),
            expected: observed.map(|observed| observed.version),
        }];
        if observed.is_none_or(|observed| observed.row.token < row.token) {
            let epoch = EpochRow { token: row.token };
            writes.push(encode(epoch_key(&self.zone), &epoch));
            if self.era > 0 {
                let key = era_epoch_key(&self.zone, self.era);
                // A late write may have put an older row in the place of the era's.
                if observed.is_none_or(Observed::is_outdated) {
                    let (key, expected) = (key.clone(), self.era_epoch_version);
                    checks.push(Check { key, expected });
                }
                writes.push(encode(key, &epoch));
            }
        }
        if self.unsettled.len() == MAXIMUM_UNSETTLED {
            // Should it take effect after all, the row is not recognised and is taken anew with a higher token.
            self.unsettled.remove(0);
        }
        self.unsettled.push(Attempt { row, sent_at: now });
        TableCall::Transact(Transaction { checks, writes })
    }

    /// The row that the next write leaves.
    fn next_row(&self, attempt: AttemptName) -> LeaseRow {
        let last_token = self
            .observed
            .as_ref()
            .map_or(FencingToken(0), |observed| observed.row.token);
        let keeps_token = self.held.is_some() || self.stopping;
        let next_token = next_token(last_token.max(self.highest_token), self.era);
        LeaseRow {
            holder: self.node.clone(),
            token: if keeps_token { last_token } else { next_token },
            attempt,
            duration_millis: self.timings.duration_millis,
            released: self.stopping,
        }
    }
}

fn encode<T: serde::Serialize>(key: RowKey, value: &T) -> Write {
    Write {
        key,
        value: Some(serde_json::json!(value).to_string()),
    }
}
