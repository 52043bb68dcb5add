//! Callers whose requests, no two alike, share parts of their prompts: some with a part that crashes engines, others without it; and
//! the judgement of what the others get while engines crash.

use super::callers::{Caller, Content};
use super::crashes::{CONTACT, CrashingArrival};
use super::deployment::Deployment;
use super::late_readers::Quiet;
use super::oracle::Violation;
use super::record::{CallKind, SeenCall};
use crate::users_platform::{CRASHING_PART, CrashCause, SLOW_ANSWER_BODY};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How the names of requests with a crashing part begin, and those of requests that share only the other parts.
const CRASHING_PREFIX: &str = "part-crasher";
const SOUND_PREFIX: &str = "sharer";

/// Sound callers beside each caller whose requests crash engines.
pub const SOUND_CALLERS: u64 = 3;

/// Pauses between two requests, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 60..400;

/// Part of the run in which no request crashes engines, so that there is something to compare with.
const CALM_SHARE: f64 = 0.25;

/// Part of the requests that are sent to several nodes at once.
const AT_ONCE: f64 = 0.2;

/// Nodes that get requests at once.
const COPIES: usize = 3;

/// Numbers from which these callers are counted, so that their draws are not those of others.
const SHARERS: u64 = 1_300_000;

/// Crashes after which requests with the part must not go on, and from which on the others are judged.
const CRASHES: usize = 5;

/// Requests that must have been sent, in calm and while engines crash, for the shares to be compared.
const MIN_COMPARED: usize = 20;

/// Part of the share that begins in calm which must begin while engines crash.
const MIN_SHARE: f64 = 0.5;

/// Whether a request holds a part that crashes engines.
pub(super) fn is_part_crasher(request: &str) -> bool {
    request.starts_with(CRASHING_PREFIX)
}

/// Name of the part that a group's requests crash engines with.
fn crashing_part(group: u64) -> String {
    format!("{CRASHING_PART}{group}")
}

/// One caller.
pub struct Sharer {
    group: u64,
    is_crashing: bool,
    random: ChaCha8Rng,
    caller: Caller,
    name: String,
    sent: u64,
}

impl Sharer {
    /// A caller of a group whose requests crash engines.
    pub fn crashing(seed: u64, group: u64) -> Self {
        Self::new(seed, group, 0, true)
    }

    /// A caller of the group that shares all parts but that.
    pub fn sound(seed: u64, group: u64, number: u64) -> Self {
        Self::new(seed, group, number + 1, false)
    }

    fn new(seed: u64, group: u64, number: u64, is_crashing: bool) -> Self {
        let prefix = if is_crashing {
            CRASHING_PREFIX
        } else {
            SOUND_PREFIX
        };
        let own = SHARERS + group * (SOUND_CALLERS + 1) + number;
        Self {
            group,
            is_crashing,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(own)),
            caller: Caller::new(seed, own),
            name: format!("{prefix}{group}-{number}"),
            sent: 0,
        }
    }

    /// Sends requests until told to stop; what it saw. Those with the crashing part come in series.
    pub fn run(
        mut self,
        deployment: &Deployment,
        length: Duration,
        begun: Instant,
        stop: &AtomicBool,
    ) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            if !self.is_crashing || begun.elapsed() >= length.mul_f64(CALM_SHARE) {
                let copies = if self.is_crashing && self.random.random_bool(AT_ONCE) {
                    COPIES
                } else {
                    1
                };
                seen.extend(self.send(deployment, copies, begun));
            }
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
        }
        seen
    }

    fn send(&mut self, deployment: &Deployment, copies: usize, begun: Instant) -> Vec<SeenCall> {
        let nodes = deployment.targets().nodes;
        let requests: Vec<Drawn> = (0..copies)
            .map(|_| {
                self.sent += 1;
                let node = self.random.random_range(0..nodes);
                let kind = if self.random.random_bool(0.5) {
                    CallKind::Again
                } else {
                    CallKind::Once
                };
                // The last letter names the tenant, which is the same for all of a group.
                let request = format!("{}-{}-{}", self.name, self.sent, self.group);
                Drawn {
                    node,
                    body: format!("{SLOW_ANSWER_BODY}, {request}"),
                    parts: self.draw_parts(),
                    request,
                    kind,
                }
            })
            .collect();
        if let [drawn] = requests.as_slice() {
            let address = deployment.address(drawn.node);
            return vec![self.caller.send(address, drawn.node, drawn.content(), begun)];
        }
        thread::scope(|scope| {
            let calls: Vec<_> = (0..)
                .zip(&requests)
                .map(|(copy, drawn)| {
                    let mut caller = Caller::new(self.sent, SHARERS + copy);
                    let address = deployment.address(drawn.node);
                    scope.spawn(move || caller.send(address, drawn.node, drawn.content(), begun))
                })
                .collect();
            calls.into_iter().filter_map(|call| call.join().ok()).collect()
        })
    }

    /// Parts of a prompt: one that all of the group share, one that some share, the crashing one at any place, and its own.
    fn draw_parts(&mut self) -> String {
        let mut parts = vec![
            format!("c{}:800", self.group),
            format!("d{}{}:100", self.group, self.random.random_range(0..8)),
        ];
        if self.is_crashing {
            let place = self.random.random_range(0..=parts.len());
            parts.insert(place, format!("{}:50", crashing_part(self.group)));
        }
        parts.push(format!("e{:x}:200", self.random.random::<u32>()));
        parts.join(",")
    }
}

/// A request that is not like any other.
struct Drawn {
    node: usize,
    request: String,
    body: String,
    parts: String,
    kind: CallKind,
}

impl Drawn {
    fn content(&self) -> Content<'_> {
        Content {
            request: self.request.clone(),
            kind: self.kind,
            body: &self.body,
            parts: Some(&self.parts),
            reads_after: Duration::ZERO,
            takes_up: None,
            leaves_after: None,
        }
    }
}

/// Requests of a group's sound callers that began at their first attempt, in calm and while engines crash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareCount {
    /// Sent before any crash, where nothing had struck.
    pub calm: Began,
    /// Sent at nodes in touch, from twice the contact time after the crash from which on they are judged, while requests with the part
    /// still came and no engine was away after a crash of another cause.
    pub late: Began,
}

/// How many requests began of those that were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Began {
    /// Sent.
    pub sent: usize,
    /// An event came.
    pub began: usize,
}

impl Began {
    fn of<'a>(calls: impl Iterator<Item = &'a SeenCall>) -> Self {
        let mut count = Self::default();
        for call in calls {
            count.sent += 1;
            count.began += usize::from(has_begun(call));
        }
        count
    }

    fn share(self) -> f64 {
        self.began as f64 / self.sent.max(1) as f64
    }
}

impl fmt::Display for ShareCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { calm, late } = self;
        write!(
            formatter,
            "{} of {} began in calm, {} of {} beside",
            calm.began, calm.sent, late.began, late.sent
        )
    }
}

fn has_begun(call: &SeenCall) -> bool {
    let answer = call.answer.as_ref();
    answer.is_some_and(|answer| answer.status == 200 && answer.body.contains("\n\n"))
}

/// What became of the requests of each group's sound callers.
pub fn count(
    calls: &[SeenCall],
    crashing: &[CrashingArrival],
    quiet: &Quiet<'_>,
) -> BTreeMap<u64, ShareCount> {
    let groups = calls.iter().filter_map(|call| group_of(call, SOUND_PREFIX));
    let groups: BTreeSet<u64> = groups.collect();
    groups
        .into_iter()
        .map(|group| (group, count_group(group, calls, crashing, quiet)))
        .collect()
}

fn count_group(
    group: u64,
    calls: &[SeenCall],
    crashing: &[CrashingArrival],
    quiet: &Quiet<'_>,
) -> ShareCount {
    let crashes = crashes_of(group, crashing);
    let judged = judged_span(group, calls, &crashes);
    let sound = || {
        calls
            .iter()
            .filter(|call| group_of(call, SOUND_PREFIX) == Some(group))
    };
    let is_calm = |call: &&SeenCall| {
        let is_before = crashes
            .first()
            .is_none_or(|first| call.sent_at + call.took < *first);
        is_before && quiet.has_all_engines(call) && quiet.covers(call)
    };
    let others: Vec<Duration> = quiet
        .crashes
        .iter()
        .filter(|at| !crashes.contains(at))
        .copied()
        .collect();
    let beside_others = Quiet {
        disturbances: quiet.disturbances,
        crashes: &others,
    };
    let is_late = |call: &&SeenCall| {
        judged.is_some_and(|(from, until)| (from..=until).contains(&call.sent_at))
            && beside_others.has_all_engines(call)
            && quiet
                .disturbances
                .in_touch(call.node, call.sent_at + call.took, CONTACT)
    };
    ShareCount {
        calm: Began::of(sound().filter(is_calm)),
        late: Began::of(sound().filter(is_late)),
    }
}

/// When engines crashed under a group's part, each once, in order.
fn crashes_of(group: u64, crashing: &[CrashingArrival]) -> Vec<Duration> {
    let cause = CrashCause::Part(crashing_part(group));
    let mut ended: BTreeMap<&str, Duration> = BTreeMap::new();
    let of_cause = crashing
        .iter()
        .filter(|arrival| arrival.crashed && arrival.cause == cause);
    for arrival in of_cause {
        ended.entry(arrival.engine.as_str()).or_insert(arrival.at);
    }
    let mut times: Vec<Duration> = ended.into_values().collect();
    times.sort();
    times
}

/// From when on a group's sound requests are judged, and until when requests with its part came.
fn judged_span(group: u64, calls: &[SeenCall], crashes: &[Duration]) -> Option<(Duration, Duration)> {
    let from = *crashes.get(CRASHES - 1).or(crashes.last())? + 2 * CONTACT;
    let of_group = calls
        .iter()
        .filter(|call| group_of(call, CRASHING_PREFIX) == Some(group));
    Some((from, of_group.map(|call| call.sent_at).max()?))
}

fn group_of(call: &SeenCall, prefix: &str) -> Option<u64> {
    let rest = call.request.strip_prefix(prefix)?;
    rest.split('-').next()?.parse().ok()
}

/// Groups whose sound requests were held back for the part that they don't hold.
pub fn judge(counts: &BTreeMap<u64, ShareCount>) -> Vec<Violation> {
    let too_few = counts.iter().filter(|(_, count)| {
        count.calm.sent >= MIN_COMPARED
            && count.late.sent >= MIN_COMPARED
            && count.late.share() < count.calm.share() * MIN_SHARE
    });
    too_few
        .map(|(group, count)| Violation::SoundRequestsWithheld {
            part: crashing_part(*group),
            calm: count.calm,
            late: count.late,
        })
        .collect()
}
