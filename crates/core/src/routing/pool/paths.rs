//! Failure detection for the network paths between zones, based on which requests are answered.
//!
//! If packets to a zone are dropped, all its engines stop answering at once. Detecting each engine separately costs a
//! timed out request per engine, and delays prefill at engines that try to fetch KV caches from the zone. Therefore a
//! path becomes suspected when several engines beyond it did not answer and no answer arrived since those requests were
//! sent. The zone beyond a suspected path gets only occasional trial requests and no KV cache is fetched from it. After
//! the first answer, load returns gradually.
//!
//! Each answer over a path clears its recorded unanswered requests, so an engine that fails while others in its zone
//! answer does not make the path suspected. A path covers both directions. There is no path within a zone.
//!
//! Each observation counts for three paths: the path between the two zones, and for each of the two zones the combined
//! path to all other zones. If a zone is isolated, its combined path collects evidence from all other zones and is
//! suspected sooner than any single path. If only two zones lose contact, answers from other zones keep the combined
//! paths trusted.

use crate::identity::ZoneId;
use crate::membership::subject::SubjectHandle;
use crate::routing::slow_start::SlowStart;
use crate::time::MonotonicTime;
use std::time::Duration;

/// Minimum number of unresponsive engines at which a trusted path becomes suspected; two may crash at the same time by
/// chance.
const MIN_UNRESPONSIVE_ENGINES: usize = 3;

/// Minimum number of unresponsive engines at which a recovering path becomes suspected again. Lower than for a trusted
/// path, because the recent interruption is a reason to doubt it.
const MIN_UNRESPONSIVE_ENGINES_RECOVERING: usize = 2;

/// Time window in which unanswered requests count together. Longer than the request timeout, and shorter than the usual
/// time between unrelated crashes.
const UNANSWERED_REQUEST_WINDOW: Duration = Duration::from_millis(2_000);

/// Minimum time without an answer, as a multiple of the mean time between answers, at which a path counts as quiet.
/// With 8, two of 32 paths were falsely suspected within five seconds while every fifth engine was down. An answer that
/// is only known to be later than its request counts as a gap of zero, which lowers the mean.
const MIN_QUIET_TO_MEAN_GAP_RATIO: f64 = 12.0;

/// Weight of the latest gap between two answers in the moving average.
const ANSWER_GAP_WEIGHT: f64 = 0.1;

/// Maximum gap between two answers that enters the moving average; longer gaps are clamped, so that an outage does not
/// distort it.
const MAX_ANSWER_GAP: Duration = Duration::from_millis(500);

/// Initial interval between trial requests over a suspected path, and minimum time between the end of one that was not answered
/// and the next. A trial may delay its caller by the maximum wait for a connection, 250 ms, or for an answer.
const INITIAL_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum interval between trial requests over a suspected path. Limits the time until a restored path is detected.
const MAX_TRIAL_INTERVAL: Duration = Duration::from_millis(2_000);

/// A change of the state of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathChange {
    /// One end of the path.
    pub zone: ZoneId,
    /// The other end; absent for the combined path to all other zones.
    pub other_zone: Option<ZoneId>,
    /// The new state.
    pub state: PathState,
    /// Number of engines that did not answer since the last answer.
    pub unresponsive_engines: usize,
    /// Time spent in the previous state; for a path that became suspected, time since the last answer.
    pub elapsed: Duration,
}

/// State of a path as inferred from answers and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Requests are answered.
    Trusted,
    /// The path seems to be interrupted.
    Suspected,
    /// An answer arrived over a suspected path; load returns gradually.
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
        trial_interval: Duration,
    },
    Recovering {
        slow_start: SlowStart,
    },
}

/// A request to an engine in another zone that timed out without an answer.
#[derive(Clone, Debug)]
struct UnansweredRequest {
    engine: SubjectHandle,
    /// Zone of the node that sent the request.
    from: ZoneId,
    /// Zone of the engine.
    to: ZoneId,
    sent_at: MonotonicTime,
    timed_out_at: MonotonicTime,
}

impl UnansweredRequest {
    fn new(
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        sent_at: MonotonicTime,
        timed_out_at: MonotonicTime,
    ) -> Self {
        Self {
            engine,
            from: from.clone(),
            to: to.clone(),
            sent_at,
            timed_out_at,
        }
    }
}

#[derive(Clone, Debug)]
struct Path {
    zone: ZoneId,
    /// Absent for the combined path to all other zones.
    other_zone: Option<ZoneId>,
    /// Earliest possible time of the last answer.
    answered_at: MonotonicTime,
    /// Moving average of the time between two answers, in seconds; absent before the second answer.
    mean_answer_gap: Option<f64>,
    /// Unanswered requests since the last answer, at most one per engine.
    unanswered_requests: Vec<UnansweredRequest>,
    phase: Phase,
}

/// States of all paths. A fleet has few zones, so lookups are linear.
#[derive(Clone, Debug, Default)]
pub struct Paths {
    paths: Vec<Path>,
    changes: Vec<PathChange>,
}

/// Maximum number of changes queued until the next call of [`Paths::take_changes`].
const MAX_PENDING_PATH_CHANGES: usize = 64;

impl Paths {
    /// Records that an engine in zone `to` did not answer a request from zone `from`. `engine_count` is the number
    /// of engines known in zone `to`.
    pub fn record_unanswered_request(
        &mut self,
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        engine_count: usize,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.add_missing_paths(from, to);
        let request = UnansweredRequest::new(from, to, engine, sent_at, now);
        let paths = self.paths.iter_mut().filter(|path| path.connects(from, to));
        let changes = paths.filter_map(|path| {
            path.on_own_trial_unanswered(sent_at, now);
            path.on_unanswered_request(&request, engine_count, now)
        });
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_PATH_CHANGES);
    }

    /// Records an unanswered request that another placer reported. Placers don't report answers, so the request counts
    /// only for combined paths without recent answers to this placer.
    pub fn record_reported_unanswered_request(
        &mut self,
        from: &ZoneId,
        to: &ZoneId,
        engine: SubjectHandle,
        engine_count: usize,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.add_missing_paths(from, to);
        let request = UnansweredRequest::new(from, to, engine, sent_at, now);
        let paths = self.paths.iter_mut().filter(|path| path.connects(from, to));
        let combined = paths.filter(|path| path.other_zone.is_none() && path.lacks_recent_answer(now));
        let changes = combined.filter_map(|path| path.on_unanswered_request(&request, engine_count, now));
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_PATH_CHANGES);
    }

    /// Records that zone `to` answered a request from zone `from`, at `now` or later.
    pub fn record_answer(&mut self, from: &ZoneId, to: &ZoneId, now: MonotonicTime) {
        self.add_missing_paths(from, to);
        let paths = self.paths.iter_mut().filter(|path| path.connects(from, to));
        let changes = paths.filter_map(|path| path.on_answer(now));
        self.changes.extend(changes);
        self.changes.truncate(MAX_PENDING_PATH_CHANGES);
    }

    /// Records that a request is sent. Over a suspected path it is a trial and increases the interval to the next one.
    pub fn record_request(&mut self, from: &ZoneId, to: &ZoneId, now: MonotonicTime) {
        let paths = self.paths.iter_mut().filter(|path| path.connects(from, to));
        paths.for_each(|path| path.on_request_sent(now));
    }

    /// Whether a request may be sent from one zone to another. `draw` is a random number of the request. A request that
    /// must not be repeated can't be a trial.
    pub fn admits(
        &self,
        from: &ZoneId,
        to: &ZoneId,
        draw: u64,
        may_be_trial: bool,
        now: MonotonicTime,
    ) -> bool {
        let mut paths = self.paths.iter().filter(|path| path.phase != Phase::Trusted);
        paths.all(|path| !path.connects(from, to) || path.admits(draw, may_be_trial, now))
    }

    /// Whether KV caches may be transferred between two zones: no path between them is suspected.
    pub fn allows_transfer(&self, zone: &ZoneId, other_zone: &ZoneId) -> bool {
        let mut suspected = self.paths.iter().filter(|path| path.is_suspected());
        !suspected.any(|path| path.connects(zone, other_zone))
    }

    /// Takes the state changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    /// Adds the path between two zones and their combined paths, unless present.
    fn add_missing_paths(&mut self, from: &ZoneId, to: &ZoneId) {
        if from == to {
            return;
        }
        let is_known = |path: &Path| path.other_zone.is_some() && path.connects(from, to);
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
            mean_answer_gap: None,
            unanswered_requests: Vec::new(),
            phase: Phase::Trusted,
        }
    }

    /// Whether requests between two zones use this path.
    fn connects(&self, from: &ZoneId, to: &ZoneId) -> bool {
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

    fn admits(&self, draw: u64, may_be_trial: bool, now: MonotonicTime) -> bool {
        match self.phase {
            Phase::Trusted => true,
            Phase::Suspected { next_trial_at, .. } => may_be_trial && now >= next_trial_at,
            Phase::Recovering { slow_start, .. } => slow_start.admits(draw, now),
        }
    }

    fn on_unanswered_request(
        &mut self,
        request: &UnansweredRequest,
        engine_count: usize,
        now: MonotonicTime,
    ) -> Option<PathChange> {
        if self.answered_at > request.sent_at {
            return None;
        }
        let is_recent = |other: &UnansweredRequest| {
            other.engine != request.engine && now.since(other.timed_out_at) < UNANSWERED_REQUEST_WINDOW
        };
        self.unanswered_requests.retain(is_recent);
        self.unanswered_requests.push(request.clone());
        let min_unanswered_requests = match self.phase {
            Phase::Suspected { .. } => return None,
            Phase::Recovering { .. } => MIN_UNRESPONSIVE_ENGINES_RECOVERING,
            Phase::Trusted => {
                MIN_UNRESPONSIVE_ENGINES.min(engine_count.max(MIN_UNRESPONSIVE_ENGINES_RECOVERING))
            }
        };
        if self.unanswered_requests.len() < min_unanswered_requests
            || !self.has_unanswered_requests_of_enough_zones()
        {
            return None;
        }
        self.phase = Phase::Suspected {
            since: now,
            next_trial_at: now + INITIAL_TRIAL_INTERVAL,
            trial_interval: INITIAL_TRIAL_INTERVAL,
        };
        Some(self.change(PathState::Suspected, now.since(self.answered_at)))
    }

    /// For a combined path, whether the unanswered requests involve more than one other zone. Otherwise the other zone
    /// may be the one that is isolated.
    fn has_unanswered_requests_of_enough_zones(&self) -> bool {
        let remote_zone = |request: &UnansweredRequest| {
            if request.from == self.zone {
                request.to.clone()
            } else {
                request.from.clone()
            }
        };
        let first_zone = self.unanswered_requests.first().map(remote_zone);
        self.other_zone.is_some()
            || self
                .unanswered_requests
                .iter()
                .any(|request| Some(remote_zone(request)) != first_zone)
    }

    fn on_answer(&mut self, now: MonotonicTime) -> Option<PathChange> {
        self.observe_answer_gap(now);
        self.answered_at = self.answered_at.max(now);
        let change = match self.phase {
            Phase::Suspected { since, .. } if now > since => {
                let slow_start = SlowStart::begin(now);
                self.phase = Phase::Recovering { slow_start };
                Some(self.change(PathState::Recovering, now.since(since)))
            }
            Phase::Recovering { slow_start } if slow_start.is_over(now) => {
                self.phase = Phase::Trusted;
                Some(self.change(PathState::Trusted, slow_start.elapsed(now)))
            }
            _ => None,
        };
        self.unanswered_requests.clear();
        change
    }

    fn observe_answer_gap(&mut self, now: MonotonicTime) {
        if self.answered_at == MonotonicTime::default() {
            return;
        }
        let gap = now.since(self.answered_at).min(MAX_ANSWER_GAP).as_secs_f64();
        let mean = self.mean_answer_gap.unwrap_or(gap);
        self.mean_answer_gap = Some(mean + ANSWER_GAP_WEIGHT * (gap - mean));
    }

    /// Whether there has been no answer for much longer than the mean gap.
    fn lacks_recent_answer(&self, now: MonotonicTime) -> bool {
        let quiet_seconds = now.since(self.answered_at).as_secs_f64();
        self.mean_answer_gap
            .is_some_and(|mean| quiet_seconds >= mean * MIN_QUIET_TO_MEAN_GAP_RATIO)
    }

    fn on_request_sent(&mut self, now: MonotonicTime) {
        if let Phase::Suspected {
            next_trial_at,
            trial_interval,
            ..
        } = &mut self.phase
        {
            *trial_interval = (*trial_interval * 2).min(MAX_TRIAL_INTERVAL);
            *next_trial_at = now + *trial_interval;
        }
    }

    /// Delays the next trial: the last one may have waited longer than the interval, and the next request would wait as well.
    fn on_own_trial_unanswered(&mut self, sent_at: MonotonicTime, now: MonotonicTime) {
        if let Phase::Suspected {
            since, next_trial_at, ..
        } = &mut self.phase
            && sent_at >= *since
        {
            *next_trial_at = (*next_trial_at).max(now + INITIAL_TRIAL_INTERVAL);
        }
    }

    fn change(&self, state: PathState, elapsed: Duration) -> PathChange {
        PathChange {
            zone: self.zone.clone(),
            other_zone: self.other_zone.clone(),
            state,
            unresponsive_engines: self.unanswered_requests.len(),
            elapsed,
        }
    }
}
