//! Which report is recorded or sent next, by the holder of the lease; without I/O.
//!
//! A report is sent only after its figures lie in the store. Whoever holds the lease later reads them and sends the very
//! same, so that no window ever gets two different reports. Windows are recorded in order, each on the condition that the row
//! of progress is as this process last read or wrote it ([`super::record`]); a new holder first puts its token there.

use super::config::MeteringSettings;
use super::record::{Progress, ProgressRow, Records, Served, claiming, recording};
use super::tally::{TenantCounts, UsageTally};
use super::{UnixTime, WindowNumber};
use crate::identity::FencingToken;
use crate::table::{PlatformError, RowVersion, StorePosition, Transaction, TransactionOutcome};
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause after a call that failed; some thirty fit into the time in which a report is due.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after a window's end at which its report is given up; late figures are of use to whoever bills, but the rows
/// must not pile up behind a report that the platform never takes.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(600);

/// Windows for which a report is still made though nobody had the duty when they ended.
const MADE_UP_FOR: u64 = 20;

/// Records that one transaction clears at most; the store takes 100 entries at once.
const CLEARED_AT_ONCE: usize = 8;

/// What is to be done next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the rows of reports.
    Load,
    /// Make the transaction that puts this holder's token into the row of progress.
    Claim(Transaction),
    /// Make the transaction that records a window.
    Record {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: TenantCounts,
        /// The transaction.
        transaction: Transaction,
        /// Whether every node has told all.
        whole: bool,
    },
    /// Send a report.
    Send {
        /// The window.
        window: WindowNumber,
        /// Its figures.
        counts: TenantCounts,
    },
    /// Nothing; a report that the platform never took was given up.
    GivenUp(WindowNumber),
}

/// What became of a report that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The platform has it.
    Accepted,
    /// A higher token was seen: somebody else has the duty.
    Fenced,
    /// The platform understood it and won't take it.
    Rejected,
    /// It may or may not have it.
    Unknown,
}

#[derive(Clone, Debug)]
enum Phase {
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
    recorded_through: Option<WindowNumber>,
    confirmed_through: Option<WindowNumber>,
    served: Vec<Served>,
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
            recorded_through: None,
            confirmed_through: None,
            served: Vec::new(),
            next_call_at: MonotonicTime::default(),
        }
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
            return Some(Step::Claim(claiming(
                self.progress,
                self.era,
                self.progress_now(),
            )));
        }
        self.record_due(tally, unix).or_else(|| self.send_due(unix))
    }

    /// Takes what the rows of reports say; absent where the row of progress can't be read.
    pub fn on_loaded(&mut self, records: Result<Option<Records>, PlatformError>, now: MonotonicTime) {
        let Ok(Some(records)) = records else {
            self.next_call_at = now + RETRY_AFTER;
            return;
        };
        let written_by = records.progress.map(|row| row.progress.token);
        if written_by > self.token {
            self.fenced = self.token;
            return;
        }
        self.loaded = true;
        self.era = records.era;
        self.progress = records.progress;
        self.claimed = written_by == self.token && records.progress.is_some_and(|row| row.era == records.era);
        self.windows.clear();
        self.served.clear();
        self.recorded_through = records.recorded_through;
        self.confirmed_through = records.confirmed_through;
        for (window, counts) in records.reports {
            if records.confirmed_through.is_some_and(|through| window <= through) {
                self.served.push(Served::of(window, &counts));
            } else {
                self.windows.insert(window, Phase::Recorded(counts));
            }
        }
    }

    /// Takes the outcome of a claim.
    pub fn on_claimed(&mut self, outcome: &Result<TransactionOutcome, PlatformError>, now: MonotonicTime) {
        let progress = self.progress_now();
        self.claimed = self.take_outcome(outcome, progress, now);
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
            self.recorded_through = Some(window);
            self.windows.insert(window, Phase::Recorded(counts));
            let cleared = self.served.len().min(CLEARED_AT_ONCE);
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
            Ok(_) => {}
            Err(_) => self.next_call_at = now + RETRY_AFTER,
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

    /// The progress once a window is recorded.
    fn progress_with(&self, window: WindowNumber) -> Progress {
        Progress {
            recorded_through: Some(window),
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
        let cleared = &self.served[..self.served.len().min(CLEARED_AT_ONCE)];
        Some(Step::Record {
            window,
            transaction: recording(window, &counts, before, self.progress_with(window), cleared),
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
            Phase::Confirmed(_) => None,
        });
        let (window, counts) = recorded?;
        if unix.since(window.end(self.settings.window())) < GIVEN_UP_AFTER {
            return Some(Step::Send { window, counts });
        }
        self.confirm(window);
        Some(Step::GivenUp(window))
    }
}
