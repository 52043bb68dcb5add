//! Callers whose streams take seconds, so that many are under way whenever something strikes.

use super::callers::{Caller, Content};
use super::deployment::Deployment;
use super::record::{CallKind, SeenCall};
use crate::users_platform::{LASTING_ANSWER_BODY, STALLING_ANSWER_BODY};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Begin of the names of their requests.
const PREFIX: &str = "streamer";

/// Numbers from which these callers are counted, so that their draws are not those of others.
const STREAMERS: u64 = 900_000;

/// Pause between two requests, so that a node that is down is not asked at once again.
const PAUSE: Duration = Duration::from_millis(50);

/// Streams whose engines say nothing for a while.
const STALLING_PART: f64 = 0.25;

/// One caller.
pub struct Streamer {
    number: u64,
    random: ChaCha8Rng,
    caller: Caller,
    sent: u64,
}

impl Streamer {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(STREAMERS + number)),
            caller: Caller::new(seed, STREAMERS + number),
            sent: 0,
        }
    }

    /// Asks for streams until told to stop; what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let node = self.random.random_range(0..deployment.targets().nodes);
            let kind = if self.random.random_bool(0.5) {
                CallKind::Once
            } else {
                CallKind::Again
            };
            let body = if self.random.random_bool(STALLING_PART) {
                STALLING_ANSWER_BODY
            } else {
                LASTING_ANSWER_BODY
            };
            self.sent += 1;
            let content = Content {
                request: format!("{PREFIX}{}-{}", self.number, self.sent),
                kind,
                body,
                parts: None,
                reads_after: Duration::ZERO,
                takes_up: None,
                leaves_after: None,
            };
            seen.push(self.caller.send(deployment.address(node), node, content, begun));
            thread::sleep(PAUSE);
        }
        seen
    }
}

/// Whether a request is one of theirs.
pub fn is_streamer(request: &str) -> bool {
    request.starts_with(PREFIX)
}
