//! Requests of the fleet's mix, placed by one placer in virtual time.

use super::ZONES;
use shelfjunction_core::forwarding::{CallerLimits, ForwardingConfig, ModelTraits, PoolConfig, PoolId};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::routing::pool::{
    Admission, KvCacheSource, PoolAdmission, PoolQuery, PoolRoute, PoolRouter, PoolTicket, PoolWeights,
    PromptPart, PromptShape, RequestConstraints, RequestTiming,
};
use shelfjunction_core::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The pool.
pub(super) const POOL: &str = "lm";
/// Its model.
pub(super) const MODEL: &str = "m";
/// Requests that an engine runs at once.
pub(super) const PLACES: u32 = 64;

/// Tokens of KV cache that fit into an engine's memory.
const CACHE_TOKENS: u64 = 400_000;
/// Tokens that an engine reads in a second.
const READING_PACE: f64 = 36_700.0;
/// Seconds that an output takes.
const OUTPUT_SECONDS: f64 = 0.5;
/// Requests in a second, over the whole fleet.
const REQUESTS_PER_SECOND: u64 = 430;
/// Length of the run.
const SECONDS: u64 = 20;
/// Kinds of request: parts to choose from, tokens of the shared part, own tokens, target in milliseconds.
const KINDS: [(u64, u32, u32, u64); 3] = [
    (848, 13_300, 3_720, 1_000),
    (888, 6_300, 2_890, 800),
    (1_428, 350, 1_110, 600),
];

/// What the requests met.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Requests.
    pub requests: usize,
    /// Of them, those expected in time when they were admitted.
    pub in_time: usize,
    /// Engines that a choice looks at, on average.
    pub looked_at: f64,
    /// Microseconds that a choice took, on average, on this machine.
    pub choice_micros: f64,
}

/// A router that knows the pool and no engine.
pub(super) fn router(weights: PoolWeights) -> PoolRouter {
    let mut router = PoolRouter::new(weights);
    router.on_config(&ForwardingConfig {
        version: 1,
        routes: Vec::new(),
        pools: vec![PoolConfig {
            id: PoolId(POOL.to_owned()),
            connection_limit: 2_100,
            model: Some(ModelTraits {
                places: PLACES,
                cache_tokens: CACHE_TOKENS,
                transfer_lifetime: Duration::from_secs(5),
                move_seconds: Some(4e-7),
                role_change: Duration::from_secs(3),
            }),
            scaling: None,
        }],
        limits: CallerLimits::default(),
        tenants: None,
    });
    router
}

/// What ends when.
enum Ending {
    Read(PoolTicket, PromptShape),
    Answered(PoolTicket),
}

/// Places the requests of some seconds.
pub(super) fn serve(router: &mut PoolRouter) -> Served {
    let mut served = Served::default();
    let mut endings: BTreeMap<(u64, u64), Ending> = BTreeMap::new();
    let (mut looked_at, mut took) = (0, Duration::ZERO);
    for number in 0..REQUESTS_PER_SECOND * SECONDS {
        let micros = number * 1_000_000 / REQUESTS_PER_SECOND;
        let now = MonotonicTime::default() + Duration::from_micros(10_000_000 + micros);
        while let Some(entry) = endings.first_entry().filter(|entry| entry.key().0 <= micros) {
            end(router, entry.remove(), now);
        }
        let (prompt, target) = prompt(number);
        let prefixes = prompt.prefixes();
        let (pool, zone) = (
            PoolId(POOL.to_owned()),
            ZoneId::new(ZONES[number as usize % ZONES.len()]),
        );
        let query = PoolQuery {
            from_this_node: true,
            pool: &pool,
            prompt: Some(&prompt),
            prefixes: &prefixes,
            zone: &zone,
            region: None,
            excluded: &[],
            last_resort: false,
            constraints: RequestConstraints::default(),
            rank: 0,
            remaining: Duration::from_secs(6),
            slot_max_wait: Duration::ZERO,
            draw: shelfjunction_core::membership::subject::mix(number),
            origin: None,
        };
        let timing = RequestTiming {
            target: Duration::from_millis(target),
            remaining: Duration::from_secs(6),
            is_retry: false,
        };
        let begun = Instant::now();
        let decision = router.admit_or_grow(&query, timing, &PoolAdmission::default(), now);
        took += begun.elapsed();
        looked_at += router.engines().count();
        served.requests += 1;
        served.in_time += usize::from(decision.admission == Admission::InTime);
        let ends_at = |seconds: f64| (micros + (seconds * 1e6) as u64, number);
        match decision.route {
            PoolRoute::Split { prefill, .. } => {
                let delay = router.prefill_delay(&prefill.id, &query, now).unwrap_or_default();
                let ticket = router.on_prompt_sent(&prefill.id, &query, now);
                endings.insert(ends_at(delay.as_secs_f64()), Ending::Read(ticket, prompt));
            }
            PoolRoute::Whole(engine) => {
                let ticket = router.on_output_sent(&engine.id, &query, KvCacheSource::Prefill, now);
                let reading = f64::from(prompt.tokens) * 2.0 / READING_PACE;
                endings.insert(ends_at(reading + OUTPUT_SECONDS), Ending::Answered(ticket));
            }
            PoolRoute::Nowhere => {}
        }
    }
    let requests = served.requests.max(1) as f64;
    served.looked_at = looked_at as f64 / requests;
    served.choice_micros = took.as_secs_f64() * 1e6 / requests;
    served
}

fn end(router: &mut PoolRouter, ending: Ending, now: MonotonicTime) {
    match ending {
        Ending::Read(ticket, prompt) => router.on_prompt_prefilled(&ticket, &prompt.prefixes(), now),
        Ending::Answered(ticket) => router.on_completed(&ticket),
    }
}

/// A request's prompt and its target, in milliseconds.
fn prompt(number: u64) -> (PromptShape, u64) {
    let drawn = shelfjunction_core::membership::subject::mix(number);
    let (parts, shared, own, target) = KINDS[(drawn % 3) as usize];
    let part = |name: u64, tokens| PromptPart { name, tokens };
    let shape = PromptShape {
        model: MODEL.to_owned(),
        parts: vec![
            part((drawn >> 8) % parts + parts * 10_000, shared),
            part(drawn | 1 << 63, own),
        ],
        tokens: shared + own,
        output_tokens: 120,
        output_estimate: None,
    };
    (shape, target)
}
