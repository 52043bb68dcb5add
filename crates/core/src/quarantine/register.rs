//! The requests and parts of prompts under which engines crashed, as one node knows them.

use super::attribution::attribute;
use super::config::QuarantineSettings;
use super::report::{ConfirmationReport, SuspectReport};
use super::suspect::Suspect;
use super::{Asked, Fingerprint};
use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a change is reported repeatedly: most of the time within which other nodes have to know of it, so that lost
/// datagrams are made up for.
const NOTIFICATION_PERIOD: Duration = Duration::from_millis(2_500);

/// Time after a crash within which an answer is awaited, before a part that was answered before it runs on trial: while other
/// engines serve, one comes.
const ANSWER_AWAITED: Duration = Duration::from_secs(1);

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It runs as any other.
    Free {
        /// Engines that crashed under it.
        crashes: usize,
    },
    /// It runs alone: one more crash and it is refused.
    Suspected {
        /// Engines that crashed under it.
        crashes: usize,
    },
    /// It is refused.
    Quarantined {
        /// Engines that crashed under it.
        crashes: usize,
        /// Time until it may run again.
        remaining: Duration,
    },
}

impl Standing {
    /// Engines that crashed under the request.
    pub fn crashes(self) -> usize {
        match self {
            Self::Free { crashes } | Self::Suspected { crashes } | Self::Quarantined { crashes, .. } => {
                crashes
            }
        }
    }

    /// Name for logs and pages.
    pub fn name(self) -> &'static str {
        match self {
            Self::Free { .. } => "free",
            Self::Suspected { .. } => "suspected",
            Self::Quarantined { .. } => "quarantined",
        }
    }
}

/// Requests that a notification covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// Those that have changed lately and of which this node has seen a crash itself.
    SeenHere,
    /// Those that have changed lately: of the ones that run as any other only what this node has seen itself.
    Changes,
    /// Those that have changed lately, but for the ones that run as any other.
    RestrictedChanges,
    /// All that don't run as any other.
    Restricted,
}

/// How many requests, and how many parts, stand how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that run alone.
    pub suspected: usize,
    /// Requests that are refused.
    pub quarantined: usize,
    /// Parts of which requests run alone.
    pub suspected_parts: usize,
    /// Parts of which requests are refused.
    pub quarantined_parts: usize,
}

/// One request or part, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// What was asked.
    pub asked: Asked,
    /// How it stands.
    pub standing: Standing,
    /// Time until nothing of it counts any more.
    pub counts_for: Duration,
    /// Times that this node has refused it.
    pub refused: u64,
}

/// The requests that one node knows; pure, and merged with what others know by [`Self::merge`].
#[derive(Clone, Debug)]
pub struct Quarantine {
    pub(super) settings: QuarantineSettings,
    pub(super) suspects: BTreeMap<Fingerprint, Suspect>,
}

impl Quarantine {
    /// Nothing known.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            suspects: BTreeMap::new(),
        }
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// What may be done with a request or a part, by itself.
    pub fn standing(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> Standing {
        self.suspects
            .get(fingerprint)
            .map_or(Standing::Free { crashes: 0 }, |suspect| {
                self.standing_of(fingerprint, suspect, now)
            })
    }

    fn standing_of(&self, fingerprint: &Fingerprint, suspect: &Suspect, now: MonotonicTime) -> Standing {
        let crashes = suspect.crashes(now);
        if crashes + 1 < self.settings.crashes {
            return Standing::Free { crashes };
        }
        let lasts = self.settings.lasts();
        let attribution = attribute(fingerprint, suspect, &self.suspects, lasts, now);
        let counting = &attribution.counting_until;
        let remaining = suspect.time_until_fewer_than(self.settings.crashes, now);
        if fingerprint.is_part() && suspect.was_answered_before(lasts, now) && !suspect.is_confirmed(now) {
            let most = self.settings.answered_part_crashes;
            let last_free = counting.get(most.saturating_sub(2));
            let has_waited = last_free.is_some_and(|until| now + lasts >= *until + ANSWER_AWAITED);
            return match has_waited {
                false => Standing::Free { crashes },
                true if counting.len() < most => Standing::Suspected { crashes },
                true => Standing::Quarantined { crashes, remaining },
            };
        }
        if counting.len() >= self.settings.crashes {
            return Standing::Quarantined { crashes, remaining };
        }
        if !counting.is_empty() && counting.len() + 1 == self.settings.crashes {
            return Standing::Suspected { crashes };
        }
        Standing::Free { crashes }
    }

    /// Whether a run on trial has crashed an engine. A quarantined request without one may only have run beside the cause.
    pub fn is_confirmed(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> bool {
        let suspect = self.suspects.get(fingerprint);
        suspect.is_some_and(|suspect| suspect.is_confirmed(now))
    }

    /// Other requests that are charged with an engine's crash.
    pub fn others_charged(&self, fingerprint: &Fingerprint, engine: SubjectHandle) -> usize {
        let others = self.suspects.iter().filter(|(other, _)| *other != fingerprint);
        others
            .filter(|(_, suspect)| suspect.is_charged_with(engine))
            .count()
    }

    /// When another node turned out to have claimed the run that confirms or clears a quarantined request.
    pub fn claimed_elsewhere_at(&self, fingerprint: &Fingerprint) -> Option<MonotonicTime> {
        self.suspects.get(fingerprint)?.claimed_elsewhere_at
    }

    /// Another node has claimed the run that confirms or clears a quarantined request.
    pub fn note_claimed_elsewhere(&mut self, fingerprint: &Fingerprint, now: MonotonicTime) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.claimed_elsewhere_at.get_or_insert(now);
        }
    }

    /// Everything known of one request; absent if nothing is.
    pub fn report(&self, fingerprint: &Fingerprint, now: MonotonicTime) -> Option<SuspectReport> {
        let suspect = self.suspects.get(fingerprint)?;
        Some(suspect.report(*fingerprint, now))
    }

    /// This node saw an engine crash while the request was under way there beside others; the new standing, or nothing where
    /// that was known.
    pub fn note_crash(
        &mut self,
        fingerprint: Fingerprint,
        asked: &Asked,
        engine: SubjectHandle,
        now: MonotonicTime,
    ) -> Option<Standing> {
        self.charge(fingerprint, asked, engine, false, now)
    }

    /// The same for a request that was on trial.
    pub fn note_trial_crash(
        &mut self,
        fingerprint: Fingerprint,
        asked: &Asked,
        engine: SubjectHandle,
        now: MonotonicTime,
    ) -> Option<Standing> {
        self.charge(fingerprint, asked, engine, true, now)
    }

    fn charge(
        &mut self,
        fingerprint: Fingerprint,
        asked: &Asked,
        engine: SubjectHandle,
        is_isolated: bool,
        now: MonotonicTime,
    ) -> Option<Standing> {
        if !self.settings.enabled {
            return None;
        }
        let counts_until = now + self.settings.lasts();
        let least_notable = self.least_notable();
        let suspect = self.entry(fingerprint, asked, now);
        if !suspect.add(engine, counts_until, is_isolated) {
            return None;
        }
        suspect.seen_here = true;
        suspect.note_count(least_notable, now);
        suspect.notify_until = now + NOTIFICATION_PERIOD;
        Some(self.standing(&fingerprint, now))
    }

    /// An engine that lives answered a request that was sent at `sent_at`: nothing counts any more against what it holds, unless a
    /// trial has confirmed that since. Whether something was cleared.
    pub fn note_answered(
        &mut self,
        fingerprint: &Fingerprint,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let suspect = self.suspects.get(fingerprint);
        let confirmed_until = suspect.and_then(|suspect| suspect.confirmed_until(now));
        let was_sent_before = confirmed_until.is_some_and(|until| sent_at + self.settings.lasts() < until);
        !was_sent_before && self.clear(fingerprint, now)
    }

    /// Engines have answered a part or a request before some of the crashes with which it is charged; whether that was not known.
    pub fn note_answered_before(
        &mut self,
        fingerprint: &Fingerprint,
        answered_at: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let lasts = self.settings.lasts();
        let Some(suspect) = self.suspects.get_mut(fingerprint) else {
            return false;
        };
        let is_news = suspect.note_answered(answered_at + lasts);
        if is_news {
            suspect.notify_until = now + NOTIFICATION_PERIOD;
        }
        is_news
    }

    /// An operator lifts a request or a part: nothing counts against it any more, nor against parts for whose crashes it accounted.
    /// Whether something did.
    pub fn lift(&mut self, fingerprint: &Fingerprint, now: MonotonicTime) -> bool {
        let Some(suspect) = self.suspects.get(fingerprint) else {
            return false;
        };
        let engines: BTreeSet<SubjectHandle> =
            suspect.counting_engines(now).map(|(engine, _)| engine).collect();
        let is_accounted_for = |other: &Suspect| {
            let mut crashes = other.counting_engines(now).peekable();
            crashes.peek().is_some() && crashes.all(|(engine, _)| engines.contains(&engine))
        };
        let parts: Vec<Fingerprint> = self
            .suspects
            .iter()
            .filter(|(other, suspect)| other.is_part() && is_accounted_for(suspect))
            .map(|(other, _)| *other)
            .collect();
        for part in parts.iter().filter(|part| *part != fingerprint) {
            self.clear(part, now);
        }
        self.clear(fingerprint, now)
    }

    /// Nothing counts against a request or a part any more. Whether something did.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: MonotonicTime) -> bool {
        self.clear_through(fingerprint, now + self.settings.lasts(), now)
    }

    fn clear_through(
        &mut self,
        fingerprint: &Fingerprint,
        through: MonotonicTime,
        now: MonotonicTime,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(fingerprint) else {
            return false;
        };
        let cleared = suspect.clear(through, now);
        if cleared {
            suspect.notify_until = now + NOTIFICATION_PERIOD;
        }
        cleared
    }

    /// Merges another node's report; the new standing if it has changed something.
    pub fn merge(&mut self, report: &SuspectReport, now: MonotonicTime) -> Option<Standing> {
        if !self.settings.enabled
            || (report.crashes.is_empty() && !self.suspects.contains_key(&report.fingerprint))
        {
            return None;
        }
        let longest = self.settings.lasts();
        let least_notable = self.least_notable();
        let ends = |time: Duration| now + time.min(longest);
        let suspect = self.entry(report.fingerprint, &report.asked, now);
        // A time of zero says that nothing was forgiven.
        let mut changed = !report.cleared_for.is_zero() && suspect.clear(ends(report.cleared_for), now);
        for crash in &report.crashes {
            changed |= suspect.add(crash.engine, ends(crash.counts_for), crash.is_isolated);
        }
        if changed {
            suspect.note_count(least_notable, now);
            suspect.notify_until = now + NOTIFICATION_PERIOD;
        }
        changed.then(|| self.standing(&report.fingerprint, now))
    }

    /// Merges another node's confirmation; whether it has changed something.
    pub fn merge_confirmation(&mut self, confirmation: &ConfirmationReport, now: MonotonicTime) -> bool {
        let Some(suspect) = self.suspects.get_mut(&confirmation.fingerprint) else {
            return false;
        };
        let mut changed = false;
        for engine in &confirmation.engines {
            changed |= suspect.confirm(*engine);
        }
        if changed {
            suspect.notify_until = now + NOTIFICATION_PERIOD;
        }
        changed
    }

    /// Crashes from which on a subject may be restricted, so that nodes which have seen none of them have to know of it, and of
    /// answers to it.
    fn least_notable(&self) -> usize {
        self.settings.crashes.saturating_sub(1).max(1)
    }

    fn entry(&mut self, fingerprint: Fingerprint, asked: &Asked, now: MonotonicTime) -> &mut Suspect {
        self.forget(now);
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(now);
        }
        self.suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(asked.clone()))
    }

    /// Forgets the request with the fewest and oldest crashes where there are too many.
    fn make_room(&mut self, now: MonotonicTime) {
        if self.suspects.len() < self.settings.most_requests {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crashes(now), suspect.counts_until()));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Forgets what no longer counts.
    pub fn forget(&mut self, now: MonotonicTime) {
        self.suspects.retain(|_, suspect| !suspect.is_over(now));
    }

    /// Whether there are changes to report.
    pub fn has_changes(&self, now: MonotonicTime) -> bool {
        self.suspects.values().any(|suspect| suspect.notify_until > now)
    }

    /// Words for others.
    pub fn reports(&self, selection: Selection, now: MonotonicTime) -> Vec<SuspectReport> {
        self.suspects
            .iter()
            .filter(|(fingerprint, suspect)| self.is_selected(fingerprint, suspect, selection, now))
            .map(|(fingerprint, suspect)| suspect.report(*fingerprint, now))
            .collect()
    }

    fn is_selected(
        &self,
        fingerprint: &Fingerprint,
        suspect: &Suspect,
        selection: Selection,
        now: MonotonicTime,
    ) -> bool {
        let has_changed = suspect.notify_until > now;
        let is_restricted = || {
            let standing = self.standing_of(fingerprint, suspect, now);
            !matches!(standing, Standing::Free { .. })
        };
        match selection {
            Selection::SeenHere => has_changed && suspect.seen_here,
            Selection::Changes => has_changed && (suspect.seen_here || suspect.was_notable),
            Selection::RestrictedChanges => has_changed && suspect.was_notable,
            Selection::Restricted => is_restricted(),
        }
    }

    /// Reports that the store lacks: requests with one more crash to go, so that a fleet that is started again as a whole
    /// keeps them; written by the nodes that saw a crash.
    pub fn not_stored(&self, now: MonotonicTime) -> Vec<SuspectReport> {
        let restricted = self.suspects.iter().filter(|(fingerprint, suspect)| {
            suspect.seen_here && !matches!(self.standing_of(fingerprint, suspect, now), Standing::Free { .. })
        });
        restricted
            .map(|(fingerprint, suspect)| (suspect, suspect.report(*fingerprint, now)))
            .filter(|(suspect, report)| report.evidence() > suspect.stored)
            .map(|(_, report)| report)
            .collect()
    }

    /// Requests that the store may still have though nothing counts against them any more.
    pub fn stored_in_vain(&self, now: MonotonicTime) -> Vec<Fingerprint> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| suspect.may_be_stored && suspect.crashes(now) == 0)
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Requests of which a store lacks evidence, or has some though nothing counts any more, by the evidence that its rows have.
    pub fn differing_from(
        &self,
        stored: &BTreeMap<Fingerprint, usize>,
        now: MonotonicTime,
    ) -> Vec<Fingerprint> {
        let differs = |fingerprint: &Fingerprint, suspect: &Suspect| {
            let stored = stored.get(fingerprint).copied().unwrap_or(0);
            if suspect.crashes(now) == 0 {
                return stored > 0;
            }
            let is_restricted = !matches!(self.standing_of(fingerprint, suspect, now), Standing::Free { .. });
            is_restricted && suspect.report(*fingerprint, now).evidence() > stored
        };
        self.suspects
            .iter()
            .filter(|(fingerprint, suspect)| differs(fingerprint, suspect))
            .map(|(fingerprint, _)| *fingerprint)
            .collect()
    }

    /// Everything known of one request, to be stored: from now on the store may have it. Absent if nothing is known.
    pub fn begin_storing(&mut self, fingerprint: &Fingerprint, now: MonotonicTime) -> Option<SuspectReport> {
        let suspect = self.suspects.get_mut(fingerprint)?;
        suspect.may_be_stored = true;
        Some(suspect.report(*fingerprint, now))
    }

    /// The store has so much evidence against a request.
    pub fn note_stored(&mut self, fingerprint: &Fingerprint, evidence: usize) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.stored = evidence;
            suspect.may_be_stored = evidence > 0;
        }
    }

    /// This node refuses a request because of the subject.
    pub fn note_refused(&mut self, fingerprint: &Fingerprint, now: MonotonicTime) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.refused += 1;
            suspect.held_back_since.get_or_insert(now);
        }
    }

    /// How many requests stand how.
    pub fn counts(&self, now: MonotonicTime) -> Counts {
        let mut counts = Counts::default();
        for (fingerprint, suspect) in &self.suspects {
            match (self.standing_of(fingerprint, suspect, now), fingerprint.is_part()) {
                (Standing::Free { .. }, _) => {}
                (Standing::Suspected { .. }, false) => counts.suspected += 1,
                (Standing::Suspected { .. }, true) => counts.suspected_parts += 1,
                (Standing::Quarantined { .. }, false) => counts.quarantined += 1,
                (Standing::Quarantined { .. }, true) => counts.quarantined_parts += 1,
            }
        }
        counts
    }

    /// Every request and part against which something counts, for operators.
    pub fn entries(&self, now: MonotonicTime) -> Vec<Entry> {
        let counting = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.crashes(now) > 0);
        counting
            .map(|(fingerprint, suspect)| Entry {
                fingerprint: *fingerprint,
                asked: suspect.asked.clone(),
                standing: self.standing_of(fingerprint, suspect, now),
                counts_for: suspect.counts_until().since(now),
                refused: suspect.refused,
            })
            .collect()
    }
}
