//! Paths between zones: whether what leaves one zone reaches the engines of another, as far as requests show.
//!
//! A zone that is cut off by silent loss looks from outside like many engines that fall silent at once. Each is learned
//! of alone, by a request that waits for it; other engines read prompts later because they try to fetch KV caches from
//! there. So a path is suspected when several engines beyond it have fallen silent and none has answered since those
//! requests were sent. Then its far side is neither chosen nor fetched from, but for a trial now and then. The first
//! answer lets load return step by step.
//!
//! Engines that are dark while their neighbours answer never make a path suspected: each answer over the path clears
//! what spoke against it. A path is the same in both directions. Within a zone there is none.
//!
//! What is seen over a path counts for three: the path itself, and the paths of each of its zones to all others taken
//! together. Where a zone is cut off from everybody, the evidence of all others is gathered three times as fast as on any
//! one path; where only two zones are, answers from the rest keep the trust in the other paths.

use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::slow_start::SlowStart;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Engines beyond a path that must fall silent before it is suspected: two may crash together by chance.
const SILENT_ENGINES: usize = 3;

/// The same while load returns, when there is reason to doubt.
const SILENT_ENGINES_AGAIN: usize = 2;

/// Time within which they must: longer than requests wait for a silent engine, shorter than the time between two crashes
/// that have nothing to do with each other.
const WITHIN: Duration = Duration::from_millis(2_000);

/// Mean gaps between answers after which their absence is no chance. An answer whose time is known only as later than its
/// sending counts as a gap of zero, so the mean is about half of the true one. Where answers come independently of each other one
/// gap in 160,000 is as long; 8 means, one in 3,000, suspected two paths of 32 within five seconds in which every fifth
/// engine was dark and none was cut off.
const QUIET_GAPS: f64 = 12.0;

/// Share of a new gap in the mean of gaps.
const GAP_SHARE: f64 = 0.1;

/// Longest gap that is taken for one: an outage says nothing of the usual time between answers.
const LONGEST_GAP: Duration = Duration::from_millis(500);

/// First time between two trials of a suspected path. A trial costs its caller the longest wait for a connection, 250 ms.
const FIRST_TRIAL_AFTER: Duration = Duration::from_millis(500);

/// Longest time between two trials: a path that works again is found out no later.
const LONGEST_TRIAL_AFTER: Duration = Duration::from_millis(2_000);

/// A change of what is believed of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// One of its zones.
    pub zone: ZoneId,
    /// The other; absent: every other.
    pub other_zone: Option<ZoneId>,
    /// What is believed now.
    pub state: PathState,
    /// Engines that fell silent since the last answer.
    pub silent_engines: usize,
    /// Time since the belief before, or since the last answer where a path has become suspected.
    pub elapsed: Duration,
}

/// What is believed of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// What is sent arrives.
    Trusted,
    /// Nothing seems to arrive.
    Suspected,
    /// An answer has come; load returns.
    Recovering,
}

impl PathState {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Trusted => "trusted",
            Self::Suspected => "suspected",
            Self::Recovering => "returns",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Trusted,
    Suspected {
        since: MonotonicTime,
        next_trial_at: MonotonicTime,
        trial_after: Duration,
    },
    Recovering {
        returning: SlowStart,
    },
}

/// An engine that did not answer over a path.
#[derive(Clone, Debug)]
struct Silence {
    engine: SubjectHandle,
    /// Zone of the node that asked it.
    from: ZoneId,
    /// Zone of the engine.
    to: ZoneId,
    sent_at: MonotonicTime,
    at: MonotonicTime,
}

impl Silence {
    fn new(
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        sent_at: MonotonicTime,
        at: MonotonicTime,
    ) -> Self {
        Self {
            engine,
            from: from.clone(),
            to: to.clone(),
            sent_at,
            at,
        }
    }
}

#[derive(Clone, Debug)]
struct Path {
    zone: ZoneId,
    /// Absent: the paths to all other zones together.
    other_zone: Option<ZoneId>,
    /// When the last answer came over it, at the earliest.
    answered_at: MonotonicTime,
    /// Mean time between two answers, in seconds; absent until there were two.
    mean_gap: Option<f64>,
    /// Engines that fell silent since then.
    silent: Vec<Silence>,
    phase: Phase,
}

/// What is believed of all paths; a fleet has few zones, so they are searched one by one.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    paths: Vec<Path>,
    changes: Vec<PathChange>,
}

/// Most changes that wait to be taken.
const MAX_PENDING_CHANGES: usize = 64;

impl Paths {
    /// Notes that an engine in zone `to` did not answer a request from zone `from`; `engines` are known there.
    pub fn record_silence(
        &mut self,
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        engines: usize,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.learn(from, to);
        let silence = Silence::new(from, to, engine, sent_at, now);
        let paths = self.paths.iter_mut().filter(|path| path.concerns(from, to));
        let changes = paths.filter_map(|path| path.on_silence(&silence, engines, now));
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_CHANGES);
    }

    /// The same from another placer's word. Answers are not told, so it counts only for the paths of a zone to all
    /// others, over which this placer sees most answers of its own, and only where those have stopped.
    pub fn record_reported_silence(
        &mut self,
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        engines: usize,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.learn(from, to);
        let silence = Silence::new(from, to, engine, sent_at, now);
        let paths = self.paths.iter_mut().filter(|path| path.concerns(from, to));
        let to_all = paths.filter(|path| path.other_zone.is_none() && path.has_gone_quiet(now));
        let changes = to_all.filter_map(|path| path.on_silence(&silence, engines, now));
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_CHANGES);
    }

    /// Notes that an answer has come from zone `to` for a request from zone `from`, at `now` or later.
    pub fn record_answer(&mut self, from: &ZoneId, to: &ZoneId, now: MonotonicTime) {
        self.learn(from, to);
        let paths = self.paths.iter_mut().filter(|path| path.concerns(from, to));
        let changes = paths.filter_map(|path| path.on_answer(now));
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_CHANGES);
    }

    /// Notes that a request is sent: over a suspected path it is a trial, and the next one has to wait.
    pub fn record_request(&mut self, from: &ZoneId, to: &ZoneId, now: MonotonicTime) {
        let paths = self.paths.iter_mut().filter(|path| path.concerns(from, to));
        paths.for_each(|path| path.on_sent(now));
    }

    /// Whether a request may go from a zone to another, by a number drawn for it; one that may not be repeated is no
    /// trial.
    pub fn admits(
        &self,
        from: &ZoneId,
        to: &ZoneId,
        drawn: u64,
        may_be_trial: bool,
        now: MonotonicTime,
    ) -> bool {
        let mut paths = self.paths.iter().filter(|path| path.phase != Phase::Trusted);
        paths.all(|path| !path.concerns(from, to) || path.admits(drawn, may_be_trial, now))
    }

    /// Whether a KV cache may be moved between two zones.
    pub fn allows_transfer(&self, one: &ZoneId, other: &ZoneId) -> bool {
        let mut suspected = self.paths.iter().filter(|path| path.is_suspected());
        !suspected.any(|path| path.concerns(one, other))
    }

    /// Changes of belief since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    /// Keeps the path between two zones and those of each to all others, unless they are known.
    fn learn(&mut self, from: &ZoneId, to: &ZoneId) {
        if from == to {
            return;
        }
        let is_known = |path: &Path| path.other_zone.is_some() && path.concerns(from, to);
        if self.paths.iter().any(is_known) {
            return;
        }
        self.paths.push(Path::new(from, Some(to)));
        for zone in [from, to] {
            let mut known = self.paths.iter();
            if !known.any(|path| path.other_zone.is_none() && path.zone == *zone) {
                self.paths.push(Path::new(zone, None));
            }
        }
    }
}

impl Path {
    fn new(zone: &ZoneId, other_zone: Option<&ZoneId>) -> Self {
        Self {
            zone: zone.clone(),
            other_zone: other_zone.cloned(),
            answered_at: MonotonicTime::default(),
            mean_gap: None,
            silent: Vec::new(),
            phase: Phase::Trusted,
        }
    }

    /// Whether what is sent between two zones takes it.
    fn concerns(&self, from: &ZoneId, to: &ZoneId) -> bool {
        if from == to {
            return false;
        }
        match &self.other_zone {
            None => self.zone == *from || self.zone == *to,
            Some(other) => (self.zone == *from && *other == *to) || (self.zone == *to && *other == *from),
        }
    }

    fn is_suspected(&self) -> bool {
        matches!(self.phase, Phase::Suspected { .. })
    }

    fn admits(&self, drawn: u64, may_be_trial: bool, now: MonotonicTime) -> bool {
        match self.phase {
            Phase::Trusted => true,
            Phase::Suspected { next_trial_at, .. } => may_be_trial && now >= next_trial_at,
            Phase::Recovering { returning, .. } => returning.admits(drawn, now),
        }
    }

    fn on_silence(&mut self, silence: &Silence, engines: usize, now: MonotonicTime) -> Option<PathChange> {
        if self.answered_at > silence.sent_at {
            return None;
        }
        let is_kept = |other: &Silence| other.engine != silence.engine && now.since(other.at) < WITHIN;
        self.silent.retain(is_kept);
        self.silent.push(silence.clone());
        let needed = match self.phase {
            Phase::Suspected { .. } => return None,
            Phase::Recovering { .. } => SILENT_ENGINES_AGAIN,
            Phase::Trusted => SILENT_ENGINES.min(engines.max(SILENT_ENGINES_AGAIN)),
        };
        if self.silent.len() < needed || !self.is_seen_from_enough_zones() {
            return None;
        }
        self.phase = Phase::Suspected {
            since: now,
            next_trial_at: now + FIRST_TRIAL_AFTER,
            trial_after: FIRST_TRIAL_AFTER,
        };
        Some(self.change(PathState::Suspected, now.since(self.answered_at)))
    }

    /// Whether the paths to all others failed towards more than one of them: otherwise it may be that one which is cut
    /// off.
    fn is_seen_from_enough_zones(&self) -> bool {
        let far = |silence: &Silence| {
            if silence.from == self.zone {
                silence.to.clone()
            } else {
                silence.from.clone()
            }
        };
        let first = self.silent.first().map(far);
        self.other_zone.is_some() || self.silent.iter().any(|silence| Some(far(silence)) != first)
    }

    fn on_answer(&mut self, now: MonotonicTime) -> Option<PathChange> {
        self.observe_gap(now);
        self.answered_at = self.answered_at.max(now);
        let change = match self.phase {
            Phase::Suspected { since, .. } if now > since => {
                let returning = SlowStart::begin(now);
                self.phase = Phase::Recovering { returning };
                Some(self.change(PathState::Recovering, now.since(since)))
            }
            Phase::Recovering { returning } if returning.is_over(now) => {
                self.phase = Phase::Trusted;
                Some(self.change(PathState::Trusted, returning.elapsed(now)))
            }
            _ => None,
        };
        self.silent.clear();
        change
    }

    fn observe_gap(&mut self, now: MonotonicTime) {
        if self.answered_at == MonotonicTime::default() {
            return;
        }
        let gap = now.since(self.answered_at).min(LONGEST_GAP).as_secs_f64();
        let mean = self.mean_gap.unwrap_or(gap);
        self.mean_gap = Some(mean + GAP_SHARE * (gap - mean));
    }

    /// Whether answers have stayed away for so long that it is no chance.
    fn has_gone_quiet(&self, now: MonotonicTime) -> bool {
        let quiet = now.since(self.answered_at).as_secs_f64();
        self.mean_gap.is_some_and(|mean| quiet >= mean * QUIET_GAPS)
    }

    fn on_sent(&mut self, now: MonotonicTime) {
        if let Phase::Suspected {
            next_trial_at,
            trial_after,
            ..
        } = &mut self.phase
        {
            *trial_after = (*trial_after * 2).min(LONGEST_TRIAL_AFTER);
            *next_trial_at = now + *trial_after;
        }
    }

    fn change(&self, state: PathState, elapsed: Duration) -> PathChange {
        PathChange {
            zone: self.zone.clone(),
            other_zone: self.other_zone.clone(),
            state,
            silent_engines: self.silent.len(),
            elapsed,
        }
    }
}
