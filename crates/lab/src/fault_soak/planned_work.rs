//! Planned work alone: stops, reloads, configurations and replaced engines in series that overlap, and the judgement of what it cut.
//!
//! ```text
//! cut      a request that reached an engine and whose connection ended without a whole answer, unless
//!          its deadline had passed, or
//!          its node was told to stop before, the request was sent at most 3 s after that,
//!          and it was cut in the last sixth of the grace
//! ```

use super::bound_callers::{self, is_bound, is_heedless};
use super::callers;
use super::oracle::Violation;
use super::places::GRACE;
use super::record::SeenCall;
use super::resumers::is_resumer;
use super::schedule::{Fault, ScheduledFault, Targets};
use crate::relay::LinkFault;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Pauses between two pieces of work, in milliseconds; each lasts longer.
const PAUSE_MILLIS: Range<u64> = 100..700;

/// Lengths of series, and times for which engines drain before they end, in milliseconds.
const LENGTH_MILLIS: Range<u64> = 500..3_000;

/// Number of the stream of draws for silences.
const SILENCES_STREAM: u64 = 3;

/// Times for which an engine that works says nothing, and pauses between two such, in milliseconds.
const SILENCE_MILLIS: Range<u64> = 500..1_500;

/// Time after the signal to stop within which a request must have been sent whose cut in the last part of the grace is allowed.
const SENT_AFTER_STOP: Duration = Duration::from_secs(3);

/// Signal to a node to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopRecord {
    /// The node.
    pub node: usize,
    /// When, from the start of the callers.
    pub at: Duration,
}

/// Requests that reached engines, and those of them that were cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CutCount {
    /// Requests that reached engines.
    pub reached: usize,
    /// Those of them whose connections ended without a whole answer as is allowed.
    pub allowed: usize,
    /// Those that were cut otherwise.
    pub cut: usize,
    /// Requests of callers bound to a node that got no answer on a connection that was to stay open, and reached no engine.
    pub unread: usize,
}

impl fmt::Display for CutCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            reached,
            allowed,
            cut,
            unread,
        } = self;
        write!(
            formatter,
            "of {reached} requests at engines {cut} cut by planned work, {allowed} as is allowed; {unread} unanswered on connections in use that no engine had"
        )
    }
}

/// Draws the work of a run; the same seed gives the same work.
pub fn draw(seed: u64, length: Duration, targets: Targets) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = Vec::new();
    let mut at = Duration::from_millis(random.random_range(PAUSE_MILLIS));
    while at < length {
        schedule.push(ScheduledFault {
            at,
            lasts: Duration::from_millis(random.random_range(LENGTH_MILLIS)),
            fault: draw_work(&mut random, targets),
        });
        at += Duration::from_millis(random.random_range(PAUSE_MILLIS));
    }
    schedule
}

/// Draws times at which engines that work say nothing for a second or so and then go on; the same seed gives the same times.
pub fn draw_silences(seed: u64, length: Duration, targets: Targets) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(SILENCES_STREAM);
    let mut draw_time = || Duration::from_millis(random.random_range(SILENCE_MILLIS));
    let mut schedule = Vec::new();
    let mut at = draw_time();
    while at < length {
        schedule.push((at, draw_time()));
        at += draw_time();
    }
    let of_engine = |(at, lasts)| ScheduledFault {
        at,
        lasts,
        fault: Fault::EngineLink(random.random_range(0..targets.engines), LinkFault::Silent),
    };
    schedule.into_iter().map(of_engine).collect()
}

fn draw_work(random: &mut ChaCha8Rng, targets: Targets) -> Fault {
    let node = random.random_range(0..targets.nodes);
    let engine = random.random_range(0..targets.engines);
    match random.random_range(0..16) {
        0..4 => Fault::Stop(node),
        4 => Fault::StopInSeries,
        5..7 => Fault::Reload(node),
        7..9 => Fault::ReloadAndStop(node),
        9..11 => Fault::Reconfigure,
        11 => Fault::ReconfigureInSeries,
        _ => Fault::ReplaceInOrder(engine),
    }
}

/// Judges requests that were sent while nothing but planned work went on; `reached` names those that reached engines. Callers that take
/// streams up are left out: they leave by themselves, and their engines break off.
pub fn judge(
    calls: &[SeenCall],
    reached: &BTreeSet<String>,
    stops: &[StopRecord],
) -> (CutCount, Vec<Violation>) {
    let at_engines = calls
        .iter()
        .filter(|call| reached.contains(&call.request) && !is_resumer(&call.request));
    let ended: Vec<&SeenCall> = at_engines
        .clone()
        .filter(|call| !call.answer.as_ref().is_some_and(|answer| answer.whole))
        .collect();
    let (allowed, cut): (Vec<_>, Vec<_>) = ended.into_iter().partition(|call| is_allowed(call, stops));
    let count = CutCount {
        reached: at_engines.count(),
        allowed: allowed.len(),
        cut: cut.len(),
        unread: calls.iter().filter(|call| is_unread(call, reached)).count(),
    };
    let cut = cut
        .into_iter()
        .map(|call| Violation::CutOff(call.request.clone()));
    (count, cut.collect())
}

fn is_unread(call: &SeenCall, reached: &BTreeSet<String>) -> bool {
    let expects_answer = is_bound(&call.request) && !is_heedless(&call.request);
    call.answer.is_none() && expects_answer && !reached.contains(&call.request)
}

/// Deadline that a request had.
fn deadline(call: &SeenCall) -> Duration {
    if is_bound(&call.request) {
        return bound_callers::DEADLINE;
    }
    callers::DEADLINE
}

fn is_allowed(call: &SeenCall, stops: &[StopRecord]) -> bool {
    let ended_at = call.sent_at + call.took;
    let by_stop = stops.iter().any(|stop| {
        let last_sixth = stop.at + GRACE * 5 / 6..=stop.at + GRACE;
        stop.node == call.node && call.sent_at <= stop.at + SENT_AFTER_STOP && last_sixth.contains(&ended_at)
    });
    by_stop || call.took >= deadline(call)
}
