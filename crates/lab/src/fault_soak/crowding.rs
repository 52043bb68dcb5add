//! Times in which most new connections of all callers come to one node, then to another; and the judgement of what callers get there.

use super::deployment::Deployment;
use super::late_readers::Quiet;
use super::oracle::Violation;
use super::record::SeenCall;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Part of the new connections that come to the crowded node.
const SHARE: f64 = 0.9;

/// Part of the run after which the first node is crowded, and for which each of the nodes is.
const BEGINS_AFTER: f64 = 0.35;
const LASTS: f64 = 0.25;

/// Nodes that are crowded, one after the other.
const NODES: usize = 2;

/// Pause between two looks at whether the run ends.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Numbers from which these draws are counted, so that they are not those of callers.
const CROWDING: u64 = 1_700_000;

/// Time after which requests at the crowded node are judged.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Requests that must have been read, before and while a node is crowded, for the shares to be compared.
const MIN_COMPARED: usize = 20;

/// Part of the share that was served before which must be served while a node is crowded.
const MIN_SHARE: f64 = 0.75;

/// The node to which most new connections come.
#[derive(Debug, Default)]
pub struct Crowded(Mutex<Option<usize>>);

impl Crowded {
    /// The node, while there is one.
    pub fn node(&self) -> Option<usize> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A node for a new connection.
    pub fn draw(&self, nodes: usize, random: &mut ChaCha8Rng) -> usize {
        match self.node() {
            Some(node) if random.random_bool(SHARE) => node,
            _ => random.random_range(0..nodes),
        }
    }

    fn set(&self, node: Option<usize>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = node;
    }
}

/// A time in which a node was crowded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdedSpan {
    /// The node.
    pub node: usize,
    /// From when on, from the start of the callers.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// Crowds one node after the other; which, and when.
pub(super) fn run(
    deployment: &Deployment,
    seed: u64,
    length: Duration,
    begun: Instant,
    stop: &AtomicBool,
) -> Vec<CrowdedSpan> {
    let nodes = deployment.targets().nodes;
    let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(CROWDING));
    let first = random.random_range(0..nodes);
    let mut spans = Vec::new();
    wait_until(length.mul_f64(BEGINS_AFTER), begun, stop);
    for number in 0..NODES.min(nodes) {
        let node = (first + number) % nodes;
        let from = begun.elapsed();
        deployment.crowded.set(Some(node));
        wait_until(from + length.mul_f64(LASTS), begun, stop);
        spans.push(CrowdedSpan {
            node,
            from,
            until: begun.elapsed(),
        });
    }
    deployment.crowded.set(None);
    spans
}

fn wait_until(at: Duration, begun: Instant, stop: &AtomicBool) {
    while begun.elapsed() < at && !stop.load(Ordering::Relaxed) {
        thread::sleep(LOOK_INTERVAL);
    }
}

/// Requests of usual callers where nothing else was wrong, and those that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Served {
    /// Sent.
    pub sent: usize,
    /// Answered with a whole success.
    pub served: usize,
}

impl Served {
    fn of<'a>(calls: impl Iterator<Item = &'a SeenCall>) -> Self {
        let mut count = Self::default();
        for call in calls {
            let answer = call.answer.as_ref();
            count.sent += 1;
            count.served += usize::from(answer.is_some_and(|answer| answer.status == 200 && answer.whole));
        }
        count
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// What callers got before a node was crowded, and there while it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrowdedCount {
    /// The node.
    pub node: usize,
    /// At all nodes before any was crowded.
    pub before: Served,
    /// At the crowded node, from the contact time on.
    pub crowded: Served,
}

impl fmt::Display for CrowdedCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { before, crowded, .. } = self;
        write!(
            formatter,
            "{} of {} served before, {} of {} at the crowded node",
            before.served, before.sent, crowded.served, crowded.sent
        )
    }
}

/// What became of the requests of usual callers.
pub fn count(spans: &[CrowdedSpan], calls: &[SeenCall], quiet: &Quiet<'_>) -> Vec<CrowdedCount> {
    let Some(first) = spans.iter().map(|span| span.from).min() else {
        return Vec::new();
    };
    let usual = || {
        calls
            .iter()
            .filter(|call| call.request.starts_with("caller"))
            .filter(|call| quiet.covers(call) && quiet.has_all_engines(call))
    };
    let before = Served::of(usual().filter(|call| call.sent_at + call.took < first));
    spans
        .iter()
        .map(|span| CrowdedCount {
            node: span.node,
            before,
            crowded: Served::of(usual().filter(|call| {
                let is_judged = (span.from + CONTACT..span.until).contains(&call.sent_at);
                call.node == span.node && is_judged
            })),
        })
        .collect()
}

/// Crowded nodes at which callers were served far less often than before.
pub fn judge(counts: &[CrowdedCount]) -> Vec<Violation> {
    let too_few = counts.iter().filter(|count| {
        count.before.sent >= MIN_COMPARED
            && count.crowded.sent >= MIN_COMPARED
            && count.crowded.share() < count.before.share() * MIN_SHARE
    });
    too_few
        .map(|count| Violation::UnservedAtCrowdedNode(*count))
        .collect()
}
