//! Callers of a tenant with a rate, who ask several times what it allows, and the judgement of what reached engines.

use super::callers::{Caller, Content};
use super::deployment::Deployment;
use super::operator::RATED_TENANT;
use super::oracle::Violation;
use super::record::{CallKind, SeenCall};
use super::spoilt::EngineArrival;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How their requests' names begin.
const PREFIX: &str = "rated";

/// Pauses between two requests of a caller, in milliseconds.
const PAUSE_MILLIS: std::ops::Range<u64> = 20..80;

/// Numbers from which these callers are counted, so that their draws are not those of others.
const RATED_CALLERS: u64 = 900_000;

/// Window over which the rate is judged.
const WINDOW: Duration = Duration::from_secs(8);

/// Part of the limit of a window by which it may be exceeded.
const ALLOWED_OVERSHOOT: f64 = 0.1;

/// Tokens that each request with a prompt declares.
const REQUEST_TOKENS: f64 = 1_010.0;

/// Whether a request is one of theirs.
pub(super) fn is_rated(request: &str) -> bool {
    request.starts_with(PREFIX)
}

/// One caller.
pub struct RatedCaller {
    number: u64,
    random: ChaCha8Rng,
    caller: Caller,
}

impl RatedCaller {
    /// A caller with draws of its own.
    pub fn new(seed: u64, number: u64) -> Self {
        Self {
            number,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(RATED_CALLERS + number)),
            caller: Caller::new(seed, RATED_CALLERS + number),
        }
    }

    /// Sends requests with prompts until `stop` is set; what it saw.
    pub fn run(mut self, deployment: &Deployment, begun: Instant, stop: &AtomicBool) -> Vec<SeenCall> {
        let mut seen = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let node = self.random.random_range(0..deployment.targets().nodes);
            let content = Content {
                request: format!("{PREFIX}{}-{}", self.number, seen.len()),
                kind: CallKind::Again,
                body: "body",
                parts: None,
                reads_after: Duration::ZERO,
                takes_up: None,
                leaves_after: None,
            };
            seen.push(self.caller.send(deployment.address(node), node, content, begun));
            thread::sleep(Duration::from_millis(self.random.random_range(PAUSE_MILLIS)));
        }
        seen
    }
}

/// Windows in which more tokens of the tenant's requests were sent and reached engines than its rate allows. A request counts once,
/// at whichever engine it came first.
pub fn judge(calls: &[SeenCall], arrivals: &[EngineArrival]) -> Vec<Violation> {
    let mut first: BTreeMap<&str, Duration> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| is_rated(&arrival.request)) {
        let at = first.entry(arrival.request.as_str()).or_insert(arrival.at);
        *at = arrival.at.min(*at);
    }
    let ran = calls
        .iter()
        .filter_map(|call| Some((call.sent_at, *first.get(call.request.as_str())?)));
    let ran: Vec<(Duration, Duration)> = ran.collect();
    let limit = RATED_TENANT.per_second * WINDOW.as_secs_f64() + RATED_TENANT.burst;
    // The last request of a window may leave a debt.
    let allowed = limit * (1.0 + ALLOWED_OVERSHOOT) + REQUEST_TOKENS;
    let beyond = ran.iter().find_map(|(from, _)| {
        let until = *from + WINDOW;
        let within = ran
            .iter()
            .filter(|(sent, at)| sent >= from && *at < until)
            .count();
        let tokens = within as f64 * REQUEST_TOKENS;
        (tokens > allowed).then_some((*from, tokens))
    });
    beyond
        .map(|(from, tokens)| Violation::BeyondTenantRate {
            from_millis: from.as_millis() as u64,
            tokens: tokens as u64,
            allowed: allowed as u64,
        })
        .into_iter()
        .collect()
}
