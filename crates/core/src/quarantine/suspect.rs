//! What is remembered of one request, or one part of prompts, under which engines crashed.
//!
//! Times are kept as the instants at which something stops to count, since those lie ahead: what happened may lie before the
//! start of this process's clock.

use super::answered::VOUCHING_PERIOD;
use super::config::MAX_CRASHES;
use super::report::{CrashReport, SuspectReport};
use super::{Asked, Fingerprint};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::time::Duration;

/// One engine that crashed while the request was under way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    /// The start of the engine.
    engine: SubjectHandle,
    /// Until when it counts.
    counts_until: MonotonicTime,
    /// Whether the request was on trial there.
    is_isolated: bool,
}

/// One request or part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Suspect {
    pub(super) asked: Asked,
    /// Different engines, in the order in which they stop to count.
    crashes: Vec<Crash>,
    /// Crashes that stop to count by then were forgiven, since an engine answered the request after them.
    cleared_through: MonotonicTime,
    /// Whether one of the crashes was seen by this node.
    pub(super) seen_here: bool,
    /// Whether so many crashes counted once that it may have been restricted somewhere.
    pub(super) was_notable: bool,
    /// Evidence that the store has.
    pub(super) stored: usize,
    /// Whether the store may have a row with crashes that count.
    pub(super) may_be_stored: bool,
    /// When another node turned out to have claimed the confirming run.
    pub(super) claimed_elsewhere_at: Option<MonotonicTime>,
    /// Until when changes are reported repeatedly.
    pub(super) notify_until: MonotonicTime,
    /// Times that this node has refused it.
    pub(super) refused: u64,
    /// When this node refused it first after the last crash.
    pub(super) held_back_since: Option<MonotonicTime>,
}

impl Suspect {
    pub(super) fn new(asked: Asked) -> Self {
        Self {
            asked,
            crashes: Vec::new(),
            cleared_through: MonotonicTime::default(),
            seen_here: false,
            was_notable: false,
            stored: 0,
            may_be_stored: false,
            claimed_elsewhere_at: None,
            notify_until: MonotonicTime::default(),
            refused: 0,
            held_back_since: None,
        }
    }

    fn counting(&self, now: MonotonicTime) -> impl Iterator<Item = &Crash> {
        let after = self.cleared_through.max(now);
        self.crashes
            .iter()
            .filter(move |crash| crash.counts_until > after)
    }

    /// Crashes that count against it.
    pub(super) fn crashes(&self, now: MonotonicTime) -> usize {
        self.counting(now).count()
    }

    /// Engines whose crashes count, and until when each does.
    pub(super) fn counting_engines(
        &self,
        now: MonotonicTime,
    ) -> impl Iterator<Item = (SubjectHandle, MonotonicTime)> {
        self.counting(now).map(|crash| (crash.engine, crash.counts_until))
    }

    /// Whether the crash of an engine counts against it.
    pub(super) fn counts(&self, engine: SubjectHandle, now: MonotonicTime) -> bool {
        self.counting(now).any(|crash| crash.engine == engine)
    }

    /// Whether an engine answered it a short time before the first of the crashes that count, so long after which each does.
    pub(super) fn was_answered_before(&self, lasts: Duration, now: MonotonicTime) -> bool {
        let Some(first) = self.counting(now).next() else {
            return self.was_answered();
        };
        let vouched_until = self.cleared_through + VOUCHING_PERIOD.min(lasts);
        self.was_answered() && vouched_until >= first.counts_until
    }

    /// Whether an answer to it is known.
    pub(super) fn was_answered(&self) -> bool {
        self.cleared_through > MonotonicTime::default()
    }

    /// Time until fewer than `most` crashes count; zero where fewer do.
    pub(super) fn time_until_fewer_than(&self, most: usize, now: MonotonicTime) -> Duration {
        let too_many = (self.crashes(now) + 1).saturating_sub(most);
        let last = too_many
            .checked_sub(1)
            .and_then(|position| self.counting(now).nth(position));
        last.map_or(Duration::ZERO, |crash| crash.counts_until.since(now))
    }

    /// Whether it is charged with the crash of an engine.
    pub(super) fn is_charged_with(&self, engine: SubjectHandle) -> bool {
        self.crashes.iter().any(|crash| crash.engine == engine)
    }

    /// Whether one of the crashes ended a trial. Only those separate the cause from what ran beside it.
    pub(super) fn is_confirmed(&self, now: MonotonicTime) -> bool {
        self.confirmed_until(now).is_some()
    }

    /// When the last crash that ended a trial stops to count; absent if there is none.
    pub(super) fn confirmed_until(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let isolated = self.counting(now).filter(|crash| crash.is_isolated);
        isolated.map(|crash| crash.counts_until).last()
    }

    /// Crashes that ended a trial.
    pub(super) fn confirmations(&self, now: MonotonicTime) -> usize {
        self.counting(now).filter(|crash| crash.is_isolated).count()
    }

    /// Notes that the request was on trial at an engine that crashed; whether the crash counts and this was not known.
    pub(super) fn confirm(&mut self, engine: SubjectHandle) -> bool {
        let crash = self.crashes.iter_mut().find(|crash| crash.engine == engine);
        crash.is_some_and(|crash| !std::mem::replace(&mut crash.is_isolated, true))
    }

    /// Adds a crash; whether something of it was not known.
    pub(super) fn add(
        &mut self,
        engine: SubjectHandle,
        counts_until: MonotonicTime,
        is_isolated: bool,
    ) -> bool {
        if self.crashes.iter().any(|crash| crash.engine == engine) {
            return is_isolated && self.confirm(engine);
        }
        if counts_until <= self.cleared_through {
            return false;
        }
        self.held_back_since = None;
        self.crashes.push(Crash {
            engine,
            counts_until,
            is_isolated,
        });
        self.crashes.sort_by_key(|crash| crash.counts_until);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Clears crashes that stop to count by then; whether one that counted is cleared.
    pub(super) fn clear(&mut self, through: MonotonicTime, now: MonotonicTime) -> bool {
        let before = self.crashes(now);
        self.cleared_through = self.cleared_through.max(through);
        self.crashes
            .retain(|crash| crash.counts_until > self.cleared_through);
        let has_cleared = self.crashes(now) < before;
        if has_cleared {
            self.claimed_elsewhere_at = None;
        }
        has_cleared
    }

    /// Notes how many crashes count now.
    pub(super) fn note_count(&mut self, least_notable: usize, now: MonotonicTime) {
        self.was_notable |= self.crashes(now) >= least_notable;
    }

    /// Notes an answer after which only crashes count that stop to count later; whether it was not known.
    pub(super) fn note_answered(&mut self, through: MonotonicTime) -> bool {
        let is_news = through > self.cleared_through;
        self.cleared_through = self.cleared_through.max(through);
        self.crashes
            .retain(|crash| crash.counts_until > self.cleared_through);
        is_news
    }

    /// Whether there is nothing more to remember.
    pub(super) fn is_over(&self, now: MonotonicTime) -> bool {
        self.cleared_through <= now && self.crashes(now) == 0
    }

    /// When the last of it stops to count.
    pub(super) fn counts_until(&self) -> MonotonicTime {
        let last = self.crashes.last().map(|crash| crash.counts_until);
        last.unwrap_or_default().max(self.cleared_through)
    }

    /// All that is known of it.
    pub(super) fn report(&self, fingerprint: Fingerprint, now: MonotonicTime) -> SuspectReport {
        SuspectReport {
            fingerprint,
            asked: self.asked.clone(),
            crashes: self
                .counting(now)
                .map(|crash| CrashReport {
                    engine: crash.engine,
                    counts_for: crash.counts_until.since(now),
                    is_isolated: crash.is_isolated,
                })
                .collect(),
            cleared_for: self.cleared_through.since(now),
        }
    }
}
