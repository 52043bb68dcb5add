//! Which report is recorded or sent next, by the holder of the lease; without I/O.
//!
//! A report is sent only after its figures lie in the store. Whoever holds the lease later reads them and sends the very
//! same, so that no window ever gets two different reports. Windows are recorded in order, each on the condition that the row
//! of progress is as this process last read or wrote it ([`super::record`]); a new holder first puts its token there.

use super::config::MeteringSettings;
use super::record::{Progress, ProgressRow, Records, Served, claiming, claiming_anew, recording, rewriting};
pub use super::report_step::{SendOutcome, Step};
use super::restores::RestoreWatch;
use super::tally::{TenantCounts, UsageTally};
use super::{UnixTime, WindowNumber};
use crate::identity::FencingToken;
use crate::table::{PlatformError, RowVersion, StorePosition, TransactionOutcome};
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Pause after a call that failed; some thirty fit into the time in which a report is due.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after a window's end at which its report is given up; late figures are of use to whoever bills, but the rows
/// must not pile up behind a report that the platform never takes.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(600);

/// Windows for which a report is still made though nobody had the duty when they ended.
const MADE_UP_FOR: u64 = 20;

/// Largest difference expected between the true times of two nodes.
const MAX_CLOCK_ERROR: Duration = Duration::from_secs(1);

/// Records that one transaction clears at most; the store takes 100 entries at once.
const CLEARED_AT_ONCE: usize = 8;

#[derive(Clone, Debug)]
enum Phase {
    /// It was recorded, and a restored store lacks its rows.
    Lost(TenantCounts),
    Recorded(TenantCounts),
    /// Its rows may go once every window before it is confirmed too.
    Confirmed(Served),
}

/// Reports of one process.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    settings: MeteringSettings,
    token: Option<FencingToken>,
    fenced: Option<FencingToken>,
    loaded: bool,
    /// Whether the row of progress has this holder's token, in the era of the store that was read.
    claimed: bool,
    /// Era in which the rows were read.
    era: u64,
    progress: Option<ProgressRow>,
    windows: BTreeMap<WindowNumber, Phase>,
    /// Windows whose figures are known from rows alone that were read before the first claim in an era.
    unproven: BTreeSet<WindowNumber>,
    /// Records that must not be reported, and that the first claim in an era removes.
    stray: BTreeSet<Served>,
    recorded_through: Option<WindowNumber>,
    confirmed_through: Option<WindowNumber>,
    served: Vec<Served>,
    restores: RestoreWatch,
    next_call_at: MonotonicTime,
}

impl UsageReporter {
    /// A reporter that has made no report.
    pub fn new(settings: MeteringSettings) -> Self {
        Self {
            settings,
            token: None,
            fenced: None,
            loaded: false,
            claimed: false,
            era: 0,
            progress: None,
            windows: BTreeMap::new(),
            unproven: BTreeSet::new(),
            stray: BTreeSet::new(),
            recorded_through: None,
            confirmed_through: None,
            served: Vec::new(),
            restores: RestoreWatch::default(),
            next_call_at: MonotonicTime::default(),
        }
    }

    /// Notes the newest era that an answer of the store has named, also while another node holds the lease.
    pub fn observe_era(&mut self, era: u64, now: MonotonicTime) {
        self.restores.observe_era(era, now);
    }

    /// Notes that under this token nobody else can have taken the lease before `until`.
    pub fn note_exclusive(&mut self, token: FencingToken, until: MonotonicTime) {
        self.restores.note_exclusive(token, until);
    }

    /// The next step under a token, at true time `unix`; none while there is nothing to do or it is too soon.
    pub fn next(
        &mut self,
        token: FencingToken,
        tally: &UsageTally,
        unix: UnixTime,
        now: MonotonicTime,
    ) -> Option<Step> {
        if self.fenced.is_some_and(|fenced| token <= fenced) || now < self.next_call_at {
            return None;
        }
        if self.token != Some(token) {
            self.token = Some(token);
            self.loaded = false;
        }
        if !self.loaded {
            return Some(Step::Load);
        }
        if !self.claimed {
            return Some(self.claim(unix, now));
        }
        self.rewrite_due()
            .or_else(|| self.record_due(tally, unix))
            .or_else(|| self.send_due(unix))
    }

    /// Takes what the rows of reports say; absent where the row of progress can't be read.
    pub fn on_loaded(&mut self, records: Result<Option<Records>, PlatformError>, now: MonotonicTime) {
        let records = records.ok().flatten();
        // What was read before a restore is of no use after it.
        let Some(records) =
            records.filter(|records| records.era.is_none_or(|era| era >= self.restores.era()))
        else {
            self.next_call_at = now + RETRY_AFTER;
            return;
        };
        let written_by = records.progress.map(|row| row.progress.token);
        if written_by > self.token {
            self.fenced = self.token;
            return;
        }
        self.restores.observe_era(records.era.unwrap_or_default(), now);
        let era = self.restores.era();
        self.loaded = true;
        self.era = era;
        self.progress = records.progress;
        self.claimed = written_by == self.token && records.progress.is_some_and(|row| row.era == era);
        if self.claimed {
            self.restores.note_claimed(self.token.unwrap_or_default(), era);
        }
        self.take_records(records);
    }

    /// Adds what the rows say to what this process knows, which an older copy does not change.
    fn take_records(&mut self, records: Records) {
        let may_be_older = !self.restores.has_claimed(self.era);
        self.served.clear();
        self.stray.clear();
        for window in std::mem::take(&mut self.unproven) {
            self.windows.remove(&window);
        }
        self.recorded_through = self.recorded_through.max(records.recorded_through);
        self.confirmed_through = self.confirmed_through.max(records.confirmed_through);
        let known = std::mem::take(&mut self.windows);
        for (window, phase) in known {
            let is_there = match (&phase, records.reports.get(&window)) {
                (Phase::Recorded(own) | Phase::Lost(own), Some(row)) if own != row => {
                    self.stray.insert(Served::of(window, row));
                    false
                }
                (_, row) => row.is_some(),
            };
            let phase = match phase {
                Phase::Recorded(counts) | Phase::Lost(counts) if is_there => Phase::Recorded(counts),
                Phase::Lost(counts) => Phase::Lost(counts),
                Phase::Recorded(counts) if may_be_older => Phase::Lost(counts),
                Phase::Confirmed(served) if may_be_older => Phase::Confirmed(served),
                // Another holder has confirmed it and removed its rows.
                Phase::Recorded(_) | Phase::Confirmed(_) => continue,
            };
            self.windows.insert(window, phase);
        }
        for (window, counts) in records.reports {
            if self.windows.contains_key(&window) {
                continue;
            }
            if self.confirmed_through.is_some_and(|through| window <= through) {
                self.served.push(Served::of(window, &counts));
            } else {
                self.windows.insert(window, Phase::Recorded(counts));
                if may_be_older {
                    self.unproven.insert(window);
                }
            }
        }
    }

    /// The claim of the rows. The first one in an era leaves out windows that may have been reported before a restore.
    fn claim(&mut self, unix: UnixTime, now: MonotonicTime) -> Step {
        let is_first = self.progress.is_none_or(|row| row.era < self.era);
        let unknown_until = self.restores.unknown_until(self.era, now).filter(|_| is_first);
        let left_out_through = unknown_until.and_then(|until| {
            let until = unix.earlier(now.since(until)).later(MAX_CLOCK_ERROR);
            let next = WindowNumber::of(until, self.settings.window());
            next.0.checked_sub(1).map(WindowNumber)
        });
        if let Some(through) = left_out_through {
            self.leave_out(through);
        }
        let progress = self.progress_now();
        let transaction = if is_first {
            claiming_anew(self.progress, self.era, progress, &self.stray)
        } else {
            claiming(self.progress, self.era, progress)
        };
        Step::Claim {
            transaction,
            left_out_through,
        }
    }

    /// Reports no window up to this one but those that this process recorded itself.
    fn leave_out(&mut self, through: WindowNumber) {
        let kept = self.unproven.split_off(&WindowNumber(through.0 + 1));
        for window in std::mem::replace(&mut self.unproven, kept) {
            if let Some(Phase::Recorded(counts)) = self.windows.remove(&window) {
                self.stray.insert(Served::of(window, &counts));
            }
        }
        self.recorded_through = self.recorded_through.max(Some(through));
    }

    /// Takes the outcome of a claim.
    pub fn on_claimed(&mut self, outcome: &Result<TransactionOutcome, PlatformError>, now: MonotonicTime) {
        self.claimed = self.take_outcome(outcome, self.progress_now(), now);
        if self.claimed {
            self.unproven.clear();
            self.restores
                .note_claimed(self.token.unwrap_or_default(), self.era);
        }
    }

    /// Takes the outcome of a recording. Whatever is not plainly made is read again: the answer may have been lost, or
    /// somebody else may have been first.
    pub fn on_recorded(
        &mut self,
        window: WindowNumber,
        counts: TenantCounts,
        outcome: &Result<TransactionOutcome, PlatformError>,
        now: MonotonicTime,
    ) {
        if self.take_outcome(outcome, self.progress_with(window), now) {
            self.recorded_through = self.recorded_through.max(Some(window));
            self.windows.insert(window, Phase::Recorded(counts));
            let cleared = self.clearable().len();
            self.served.drain(..cleared);
        }
    }

    /// Takes the outcome of a transaction that was to leave this progress; false where it is not known to be made.
    fn take_outcome(
        &mut self,
        outcome: &Result<TransactionOutcome, PlatformError>,
        progress: Progress,
        now: MonotonicTime,
    ) -> bool {
        match outcome {
            Ok(TransactionOutcome::Committed { version }) if self.is_of_era(*version) => {
                self.progress = Some(ProgressRow {
                    era: self.era,
                    version: *version,
                    progress,
                });
                return true;
            }
            Ok(_) | Err(_) => self.next_call_at = now + RETRY_AFTER,
        }
        self.loaded = false;
        false
    }

    fn is_of_era(&self, version: RowVersion) -> bool {
        StorePosition::era_of(version.0) == self.era
    }

    fn progress_now(&self) -> Progress {
        Progress {
            token: self.token.unwrap_or_default(),
            recorded_through: self.recorded_through,
            confirmed_through: self.confirmed_through,
        }
    }

    /// Records that the next transaction clears.
    fn clearable(&self) -> &[Served] {
        &self.served[..self.served.len().min(CLEARED_AT_ONCE)]
    }

    /// The progress once a window is recorded.
    fn progress_with(&self, window: WindowNumber) -> Progress {
        Progress {
            recorded_through: self.recorded_through.max(Some(window)),
            ..self.progress_now()
        }
    }

    /// Takes the outcome of a sending.
    pub fn on_sent(&mut self, window: WindowNumber, outcome: SendOutcome, now: MonotonicTime) {
        match outcome {
            SendOutcome::Accepted => self.confirm(window),
            // Somebody else has the duty, and reads the same row.
            SendOutcome::Fenced => self.fenced = self.token,
            SendOutcome::Rejected | SendOutcome::Unknown => self.next_call_at = now + RETRY_AFTER,
        }
    }

    /// Windows that were recorded and not confirmed.
    pub fn unconfirmed(&self) -> usize {
        let unconfirmed = self.windows.values();
        unconfirmed
            .filter(|phase| matches!(phase, Phase::Recorded(_)))
            .count()
    }

    /// Every window up to this one was confirmed or given up.
    pub fn confirmed_through(&self) -> Option<WindowNumber> {
        self.confirmed_through
    }

    /// The first window that has no record; absent before the records were read or anything was recorded.
    pub fn open_from(&self) -> Option<WindowNumber> {
        let through = self.recorded_through.filter(|_| self.loaded);
        through.map(|through| WindowNumber(through.0 + 1))
    }

    fn confirm(&mut self, window: WindowNumber) {
        if let Some(phase) = self.windows.get_mut(&window)
            && let Phase::Recorded(counts) = phase
        {
            *phase = Phase::Confirmed(Served::of(window, counts));
        }
        // A row that goes before its window is known to be confirmed would be made anew, with other figures.
        while let Some(first) = self.windows.first_entry()
            && let Phase::Confirmed(served) = *first.get()
        {
            first.remove();
            self.served.push(served);
            self.confirmed_through = self.confirmed_through.max(Some(served.window));
        }
    }

    /// The first window whose record a restored store lacks.
    fn rewrite_due(&self) -> Option<Step> {
        let before = self.progress?;
        let (window, counts) = self.windows.iter().find_map(|(window, phase)| match phase {
            Phase::Lost(counts) => Some((*window, counts.clone())),
            Phase::Recorded(_) | Phase::Confirmed(_) => None,
        })?;
        let transaction = rewriting(
            window,
            &counts,
            before,
            self.progress_with(window),
            self.clearable(),
        );
        Some(Step::Rewrite {
            window,
            counts,
            transaction,
        })
    }

    /// The oldest window that has ended and is not recorded, once its counts are whole or have been waited for.
    fn record_due(&self, tally: &UsageTally, unix: UnixTime) -> Option<Step> {
        let length = self.settings.window();
        let present = WindowNumber::of(unix, length);
        let window = self.next_to_record(tally, present)?;
        let before = self.progress?;
        if window >= present {
            return None;
        }
        let whole = tally.nodes() > 0 && tally.is_whole(window, unix);
        let patience = if tally.is_gathering(unix) {
            self.settings.gathering_patience()
        } else {
            self.settings.patience()
        };
        if !whole && unix.since(window.end(length)) < patience {
            return None;
        }
        let counts = tally.counts(window);
        Some(Step::Record {
            window,
            transaction: recording(
                window,
                &counts,
                before,
                self.progress_with(window),
                self.clearable(),
            ),
            counts,
            whole,
        })
    }

    /// Windows are recorded one after the other; the very first is the first that counted anything.
    fn next_to_record(&self, tally: &UsageTally, present: WindowNumber) -> Option<WindowNumber> {
        let oldest = WindowNumber(present.0.saturating_sub(MADE_UP_FOR));
        let next = self.recorded_through.map(|through| WindowNumber(through.0 + 1));
        next.or_else(|| tally.first_counted())
            .map(|first| first.max(oldest))
    }

    fn send_due(&mut self, unix: UnixTime) -> Option<Step> {
        let recorded = self.windows.iter().find_map(|(window, phase)| match phase {
            Phase::Recorded(counts) => Some((*window, counts.clone())),
            Phase::Lost(_) | Phase::Confirmed(_) => None,
        });
        let (window, counts) = recorded?;
        if unix.since(window.end(self.settings.window())) < GIVEN_UP_AFTER {
            return Some(Step::Send { window, counts });
        }
        self.confirm(window);
        Some(Step::GivenUp(window))
    }
}
