//! Callers whose request crashes the engine that runs it, and who send it again and again, to any node.

use super::callers::{Caller, Content};
use super::deployment::Deployment;
use super::record::{CallKind, SeenCall};
use crate::users_platform::CRASHING_BODY;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How their requests' names begin.
const PREFIX: &str = "crasher";

/// Whether a request is one of theirs.
pub(super) fn is_crasher(request: &str) -> bool {
    request.starts_with(PREFIX)
}

/// Pauses between two sendings of a request, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 100..900;

/// Part of the sendings that go to several nodes at once.
const AT_ONCE: f64 = 0.15;

/// Nodes that are sent it at once.
const COPIES: usize = 3;

/// Numbers from which these callers are counted, so that their draws are not those of others.
const CRASHERS: u64 = 500_000;

/// One caller; its request is the same each time, but for its name.
pub struct Crasher {
    number: u64,
    kind: CallKind,
    random: ChaCha8Rng,
    sent: u64,
}

impl Crasher {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        let kind = if number.is_multiple_of(2) {
            CallKind::Again
        } else {
            CallKind::Once
        };
        Self {
            number,
            kind,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(CRASHERS + number)),
            sent: 0,
        }
    }

    /// What it asks for.
    pub fn body(&self) -> String {
        format!("{CRASHING_BODY}, number {}", self.number)
    }

    /// Sends its request until told to stop; what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let copies = if self.random.random_bool(AT_ONCE) {
                COPIES
            } else {
                1
            };
            let nodes: Vec<usize> = (0..copies)
                .map(|_| self.random.random_range(0..deployment.targets().nodes))
                .collect();
            seen.extend(self.send(deployment, &nodes, begun));
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
        }
        seen
    }

    fn send(&mut self, deployment: &Deployment, nodes: &[usize], begun: Instant) -> Vec<SeenCall> {
        let body = self.body();
        thread::scope(|scope| {
            let calls: Vec<_> = nodes
                .iter()
                .map(|node| {
                    self.sent += 1;
                    // The last letter names the tenant, which is the same each time.
                    let request = format!("{PREFIX}{}-{}-{}", self.number, self.sent, self.number);
                    let mut caller = Caller::new(self.sent, CRASHERS + self.number);
                    let content = Content {
                        request,
                        kind: self.kind,
                        body: &body,
                        parts: None,
                        reads_after: Duration::ZERO,
                        takes_up: None,
                        leaves_after: None,
                    };
                    scope.spawn(move || caller.send(deployment.address(*node), *node, content, begun))
                })
                .collect();
            let seen = calls.into_iter().filter_map(|call| call.join().ok());
            seen.collect()
        })
    }
}
