//! Callers that read nothing of a long answer for some seconds, and the judgement of what they and the others get meanwhile.
//!
//! That it finds what it looks for: with nodes set to let a caller go after 0.3 s instead of 5 s, seed 1008 of the calm run finds 9
//! of 10 undisturbed late answers cut.

use super::callers::{Caller, Content, GIVES_UP};
use super::deployment::Deployment;
use super::disturbances::Disturbances;
use super::oracle::{EngineRecords, Violation, judge as judge_promises};
use super::record::{CallKind, SeenCall};
use crate::users_platform::{LONG_ANSWER_BODY, LONG_ANSWER_EVENTS, without_filling};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Begin of the names of their requests.
const PREFIX: &str = "late-reader";

/// Times for which nothing is read, in milliseconds: below the 5 s after which nodes let a caller go that takes nothing.
const READS_NOTHING_MILLIS: std::ops::Range<u64> = 1_000..3_000;

/// Pause between two requests, so that a node that is down is not asked at once again.
const PAUSE: Duration = Duration::from_millis(150);

/// Numbers from which these callers are counted, so that their draws are not those of others.
const LATE_READERS: u64 = 700_000;

/// Time before a request for which nothing may have struck, so that a request that a fault still held up is not charged to late
/// readers. With 4 s a calm run of 30 s left 2 of 32 late answers to judge, with 2 s 9 of 62.
pub const SETTLED: Duration = Duration::from_secs(2);

/// One caller.
pub struct LateReader {
    number: u64,
    random: ChaCha8Rng,
    caller: Caller,
    sent: u64,
}

impl LateReader {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(LATE_READERS + number)),
            caller: Caller::new(seed, LATE_READERS + number),
            sent: 0,
        }
    }

    /// Asks for long answers until told to stop, and reads each late; what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let node = self.random.random_range(0..deployment.targets().nodes);
            let kind = if self.random.random_bool(0.5) {
                CallKind::Once
            } else {
                CallKind::Again
            };
            let reads_after = Duration::from_millis(self.random.random_range(READS_NOTHING_MILLIS));
            self.sent += 1;
            let content = Content {
                request: format!("{PREFIX}{}-{}", self.number, self.sent),
                kind,
                body: LONG_ANSWER_BODY,
                parts: None,
                reads_after,
                takes_up: None,
                leaves_after: None,
            };
            let mut call = self.caller.send(deployment.address(node), node, content, begun);
            if let Some(answer) = &mut call.answer {
                answer.body = without_filling(&answer.body);
            }
            seen.push(call);
            thread::sleep(PAUSE);
        }
        seen
    }
}

/// Times at which nothing was wrong but that callers read late.
pub struct Quiet<'a> {
    /// Faults.
    pub disturbances: &'a Disturbances,
    /// When engines crashed over a request.
    pub crashes: &'a [Duration],
}

/// Time after a crash in which its engine may not be back.
const AWAY_AFTER_CRASH: Duration = Duration::from_secs(5);

impl Quiet<'_> {
    /// Whether no engine was away after a crash when a request came.
    pub fn has_all_engines(&self, call: &SeenCall) -> bool {
        let away = call.sent_at.saturating_sub(AWAY_AFTER_CRASH)..=call.sent_at;
        !self.crashes.iter().any(|at| away.contains(at))
    }

    /// Whether nothing struck and no engine crashed from a while before a request until its end.
    pub fn covers(&self, call: &SeenCall) -> bool {
        let from = call.sent_at.saturating_sub(SETTLED);
        let until = call.sent_at + call.took;
        let crashed = self.crashes.iter().any(|at| (from..=until).contains(at));
        !crashed && self.disturbances.none_between(from, until)
    }

    /// How many of the requests it covers.
    pub fn count(&self, late: &[SeenCall], others: &[SeenCall]) -> QuietCount {
        let covered = |calls: &[SeenCall]| calls.iter().filter(|call| self.covers(call)).count();
        QuietCount {
            late_sent: late.len(),
            late: covered(late),
            others: covered(others),
        }
    }
}

/// Requests that were judged as sent where nothing else was wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuietCount {
    /// Requests of callers that read late, at any time.
    pub late_sent: usize,
    /// Those of them that were sent where nothing else was wrong.
    pub late: usize,
    /// The others' requests that were sent where nothing else was wrong.
    pub others: usize,
}

impl fmt::Display for QuietCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} read late; where nothing struck {} of these and {} others",
            self.late_sent, self.late, self.others
        )
    }
}

/// Whether a request is one of theirs.
pub fn is_late_reader(request: &str) -> bool {
    request.starts_with(PREFIX)
}

/// What engines did for some callers, and for all others; orders stay with the others.
pub fn apart(records: &EngineRecords, is_theirs: fn(&str) -> bool) -> (EngineRecords, EngineRecords) {
    let (runs, others): (Vec<_>, Vec<_>) = records
        .runs
        .iter()
        .cloned()
        .partition(|run| is_theirs(&run.request));
    let of_late = EngineRecords {
        runs,
        ..EngineRecords::default()
    };
    let of_others = EngineRecords {
        runs: others,
        ..records.clone()
    };
    (of_late, of_others)
}

/// Promises to late readers that did not hold: those to everybody, and that an answer that has begun comes whole where nothing
/// else was wrong.
pub fn judge(calls: &[SeenCall], records: &EngineRecords, quiet: &Quiet<'_>) -> Vec<Violation> {
    let mut violations = judge_promises(calls, records, LONG_ANSWER_EVENTS);
    let cut = calls.iter().filter(|call| is_cut(call) && quiet.covers(call));
    violations.extend(cut.map(|call| Violation::CutForLateReader(call.request.clone())));
    violations
}

/// Requests of others that got no whole answer although nothing was wrong but that callers beside them read late.
pub fn judge_others(calls: &[SeenCall], quiet: &Quiet<'_>) -> Vec<Violation> {
    let unserved = calls
        .iter()
        .filter(|call| !call.answer.as_ref().is_some_and(|answer| answer.whole))
        .filter(|call| quiet.covers(call));
    unserved
        .map(|call| Violation::UnservedBesideLateReaders(call.request.clone()))
        .collect()
}

/// Whether an answer broke off before the caller gave up itself.
fn is_cut(call: &SeenCall) -> bool {
    let answer = call.answer.as_ref();
    answer.is_some_and(|answer| answer.status == 200 && !answer.whole) && call.took < GIVES_UP
}
