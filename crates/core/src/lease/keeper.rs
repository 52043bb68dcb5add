//! Taking, renewing, releasing and losing the lease, without I/O.

mod calls;

use super::config::LeaseTimings;
use super::event::{LeaseEffect, LeaseEvent};
use super::observed::Observed;
use super::record::{Authority, EpochRow, LeaseRow, era_epoch_key, lease_key};
use super::table_call::{CallId, TableAnswer};
use crate::identity::{FencingToken, NodeId, ZoneId};
use crate::table::{PlatformError, Row, RowKey, RowVersion, StorePosition, TransactionOutcome};
use crate::time::MonotonicTime;
use std::time::Duration;

/// Most writes whose effect is unknown that are remembered.
const MAXIMUM_UNSETTLED: usize = 16;

/// One attempt whose effect is not yet known.
#[derive(Clone, Debug)]
struct Attempt {
    row: LeaseRow,
    sent_at: MonotonicTime,
}

#[derive(Clone, Debug)]
struct Held {
    token: FencingToken,
    epoch_version: RowVersion,
    /// When the last confirmed write of the row was sent.
    counted_from: MonotonicTime,
}

/// Keeps one controller's part in the lease of its zone.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    timings: LeaseTimings,
    node: NodeId,
    zone: ZoneId,
    process: u64,
    attempts: u64,
    calls: u64,
    observed: Option<Observed>,
    /// Highest token that was read or written; a restored store may have a lower one.
    highest_token: FencingToken,
    /// Newest era of the store that is known.
    era: u64,
    /// Version of the row that keeps the era's highest token, as far as it had to be read.
    era_epoch_version: Option<RowVersion>,
    /// Since when the row is missing although somebody may count on it: it was there before, or an older copy may lack it.
    missing_since: Option<MonotonicTime>,
    /// See [`Self::exclusive_until`].
    exclusive_until: Option<MonotonicTime>,
    /// Version that the holder named last, and when it was first heard.
    heard: Option<(RowVersion, MonotonicTime)>,
    held: Option<Held>,
    /// Writes that may yet take effect, oldest first.
    unsettled: Vec<Attempt>,
    /// Whether the row must be read before it is written again.
    read_first: bool,
    outstanding: Option<CallId>,
    next_call_at: MonotonicTime,
    stopping: bool,
    released: bool,
    took_released: bool,
}

impl LeaseKeeper {
    /// A keeper that holds nothing. `process` tells this start of the process from every other and is random.
    pub fn new(timings: LeaseTimings, node: NodeId, zone: ZoneId, process: u64) -> Self {
        Self {
            timings,
            node,
            zone,
            process,
            attempts: 0,
            calls: 0,
            observed: None,
            highest_token: FencingToken::default(),
            era: 0,
            era_epoch_version: None,
            missing_since: None,
            exclusive_until: None,
            heard: None,
            held: None,
            unsettled: Vec::new(),
            read_first: true,
            outstanding: None,
            next_call_at: MonotonicTime::default(),
            stopping: false,
            released: false,
            took_released: false,
        }
    }

    /// The right to order at `now`; absent without a lease or within the margin before its end.
    pub fn authority(&self, now: MonotonicTime) -> Option<Authority> {
        let held = self.held.as_ref()?;
        let not_after = held.counted_from + self.timings.usable();
        (now < not_after).then_some(Authority {
            token: held.token,
            epoch_version: held.epoch_version,
            not_after,
        })
    }

    /// Until when no other process can hold the lease: the last confirmed renewal was sent the lease's duration before. It stays known
    /// after the lease is lost; absent without such a renewal, once another process was seen to have taken the lease, and once the lease
    /// was given up.
    pub fn exclusive_until(&self) -> Option<MonotonicTime> {
        self.exclusive_until
    }

    /// The holder that the row last named and its token; stale by at most the time between two reads.
    pub fn last_seen_holder(&self) -> Option<(&NodeId, FencingToken)> {
        let observed = self.observed.as_ref()?;
        Some((&observed.row.holder, observed.row.token))
    }

    /// Whether the last taking followed a release, so that no time has passed for which a lease must lapse.
    pub fn took_released(&self) -> bool {
        self.took_released
    }

    /// Whether a release has been settled, or there was nothing to release.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Takes one event in and gives the effects, in order.
    pub fn handle(&mut self, event: LeaseEvent, now: MonotonicTime) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        self.notice_lapse(now, &mut effects);
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Verify => self.next_call_at = now,
            LeaseEvent::Release => self.begin_release(now, &mut effects),
            LeaseEvent::Answer { call, answer } => {
                if self.outstanding == Some(call) {
                    self.outstanding = None;
                    self.take_answer(answer, now, &mut effects);
                }
            }
        }
        self.make_due_call(now, &mut effects);
        effects
    }

    /// Version of the row at the last confirmed renewal; absent without the lease and while a renewal is not confirmed.
    pub fn renewed_version(&self) -> Option<RowVersion> {
        let observed = self.observed.as_ref()?;
        (self.held.is_some() && self.unsettled.is_empty()).then_some(observed.version)
    }

    /// Notes that the holder said at `at` that the row had this version at its last confirmed renewal. A row that still has
    /// it was written before, so the wait for it to lapse begins there, without a read. Makes no call.
    pub fn note_heard(&mut self, version: RowVersion, at: MonotonicTime) {
        if self.heard.is_none_or(|(known, _)| known < version) {
            self.heard = Some((version, at));
        }
    }

    /// Notes the newest era that an answer of the store has named; before that answer is handled, since it may show no row, which names
    /// no era. What was read in an earlier era is no ground for taking the lease any more. Makes no call.
    pub fn note_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.era_epoch_version = None;
        self.missing_since = None;
        if self.held.is_none() {
            self.read_first = true;
        }
    }

    /// Since when a version of the row is known.
    fn known_since(&self, version: RowVersion, now: MonotonicTime) -> MonotonicTime {
        let heard = self.heard.filter(|(heard, _)| *heard == version);
        heard.map_or(now, |(_, at)| at.min(now))
    }

    fn notice_lapse(&mut self, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        if self.held.is_some() && self.authority(now).is_none() {
            self.lose(effects);
        }
    }

    fn lose(&mut self, effects: &mut Vec<LeaseEffect>) {
        if let Some(held) = self.held.take() {
            effects.push(LeaseEffect::Lost(held.token));
        }
    }

    fn begin_release(&mut self, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.exclusive_until = None;
        self.next_call_at = now;
        // Orders stop before the row says so: a successor may act as soon as the release is committed.
        self.lose(effects);
    }

    fn take_answer(&mut self, answer: TableAnswer, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        match answer {
            TableAnswer::Row(row) => self.observe(row, now, effects),
            TableAnswer::Transacted(TransactionOutcome::Committed { version }) => {
                if let Some(Attempt { row, sent_at }) = self.unsettled.last().cloned() {
                    let since = now;
                    self.settle(sent_at, Observed { version, row, since }, now, effects);
                }
            }
            TableAnswer::Transacted(TransactionOutcome::Conflict { key, found }) => {
                if key == lease_key(&self.zone) {
                    self.observe(found, now, effects);
                } else {
                    self.observe_era_epoch(&key, found, now);
                }
            }
            TableAnswer::Rows(_) => self.next_call_at = now + self.timings.retry_after(),
            TableAnswer::Failed(error) => self.take_failure(&error, now),
        }
    }

    fn take_failure(&mut self, error: &PlatformError, now: MonotonicTime) {
        let mut pause = self.timings.retry_after();
        match error {
            // A write that was refused is forgotten by the read as well; that costs nothing but the read.
            PlatformError::Unavailable => {}
            PlatformError::Throttled { retry_after_millis } => {
                pause = pause.max(Duration::from_millis(*retry_after_millis));
            }
            PlatformError::AnswerLost | PlatformError::Malformed(_) => self.read_first = true,
        }
        self.next_call_at = now + pause;
    }

    /// Takes in the row as it stands: it settles attempts, shows a loss, or starts a challenger's clock.
    fn observe(&mut self, row: Option<Row>, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        let Some(row) = row else {
            self.read_first = false;
            self.forget_row(now, effects);
            return;
        };
        self.note_era(StorePosition::era_of(row.version.0));
        self.read_first = false;
        let since = self.known_since(row.version, now);
        let observed = Observed::parse(&row, since);
        if let Some(observed) = &observed {
            self.highest_token = self.highest_token.max(observed.row.token);
            self.missing_since = None;
        }
        let Some(observed) = observed else {
            // Nobody can tell whose lease this is: leave it alone and look again later.
            self.lose(effects);
            self.read_first = true;
            self.next_call_at = now + self.timings.read_every();
            return;
        };
        if self.observed.as_ref().map(|known| known.version) == Some(observed.version) {
            // No attempt has been applied so far; one that still comes would fail the check of a later one.
            self.schedule_next(now);
            return;
        }
        let settled = self
            .unsettled
            .iter()
            .find(|attempt| attempt.row.attempt == observed.row.attempt);
        match settled.map(|attempt| attempt.sent_at) {
            Some(sent_at) => self.settle(sent_at, observed, now, effects),
            None => self.follow(observed, now, effects),
        }
    }

    /// The era has a token that the lease's row doesn't name; nothing was written.
    fn observe_era_epoch(&mut self, key: &RowKey, row: Option<Row>, now: MonotonicTime) {
        self.unsettled.pop();
        self.next_call_at = now;
        if *key != era_epoch_key(&self.zone, self.era) {
            // Another era has begun, and its row is not known.
            self.read_first = true;
            return;
        }
        self.era_epoch_version = None;
        let Some(row) = row else {
            return;
        };
        match serde_json::from_str::<EpochRow>(&row.value) {
            Ok(epoch) => {
                self.highest_token = self.highest_token.max(epoch.token);
                self.era_epoch_version = Some(row.version);
            }
            // Which tokens were used is not known.
            Err(_) => self.next_call_at = now + self.timings.read_every(),
        }
    }

    /// The row is not what this process wrote under the lease.
    fn follow(&mut self, observed: Observed, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        self.lose(effects);
        self.note_other_taking(&observed.row);
        self.unsettled.clear();
        self.observed = Some(observed);
        self.schedule_next(now);
    }

    /// The write sent at `sent_at` has taken effect; one that did so in a later era than its token's gives no lease.
    fn settle(
        &mut self,
        sent_at: MonotonicTime,
        observed: Observed,
        now: MonotonicTime,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.note_era(observed.era());
        self.highest_token = self.highest_token.max(observed.row.token);
        if observed.is_outdated() {
            self.follow(observed, now, effects);
        } else {
            self.confirm(sent_at, observed, now, effects);
        }
    }

    /// A row of a lower token than this process has had comes from an older copy and shows no taking.
    fn note_other_taking(&mut self, row: &LeaseRow) {
        if row.attempt.process != self.process && row.token >= self.highest_token {
            self.exclusive_until = None;
        }
    }

    fn forget_row(&mut self, now: MonotonicTime, effects: &mut Vec<LeaseEffect>) {
        let vanished = self.observed.take().is_some();
        if vanished {
            self.lose(effects);
        }
        if vanished || self.era > 0 {
            self.missing_since.get_or_insert(now);
        }
        self.schedule_next(now);
    }

    /// The write sent at `sent_at` is what the row holds.
    fn confirm(
        &mut self,
        sent_at: MonotonicTime,
        observed: Observed,
        now: MonotonicTime,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let token = observed.row.token;
        let version = observed.version;
        let taken = self
            .observed
            .as_ref()
            .is_none_or(|previous| previous.row.token < token);
        let was_released = self
            .observed
            .as_ref()
            .is_some_and(|previous| previous.row.released);
        self.released = observed.row.released;
        if !self.stopping {
            self.exclusive_until = Some(sent_at + Duration::from_millis(observed.row.duration_millis));
        }
        self.unsettled.clear();
        self.observed = Some(observed);
        if let Some(held) = &mut self.held {
            held.counted_from = sent_at;
        } else if taken && !self.stopping {
            self.took_released = was_released;
            self.held = Some(Held {
                token,
                epoch_version: version,
                counted_from: sent_at,
            });
            match self.authority(now) {
                Some(authority) => effects.push(LeaseEffect::Gained(authority)),
                // The answer came too late to order under this taking.
                None => self.held = None,
            }
        }
        self.schedule_next(now);
    }
}
