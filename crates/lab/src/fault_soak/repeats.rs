//! Judges the budget for repeats from what engines received, over all nodes and all starts of them.

use super::oracle::Violation;
use super::record::{CallKind, SeenCall};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The budget that the nodes were given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beyond, over all nodes.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// One arrival at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenArrival {
    /// Pool of the engine.
    pub pool: &'static str,
    /// The request.
    pub request: String,
    /// Whether only its prompt was to be read.
    pub reads_prompt: bool,
    /// Whether the engine turned it away.
    pub refused: bool,
    /// When it came, from the start of the callers.
    pub at: Duration,
}

/// What one pool was sent and what it received.
#[derive(Debug, Default)]
struct PoolTraffic {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

/// The pools whose engines received more arrivals beyond the first of each request than a window allows. A window is
/// allowed what its own requests earn, those of the window before it or those of the window half a window before it.
pub fn judge_repeats(
    calls: &[SeenCall],
    arrivals: &[SeenArrival],
    pool_of_models: &str,
    budget: &RepeatBudget,
) -> Vec<Violation> {
    let traffic = traffic(calls, arrivals, pool_of_models);
    traffic
        .into_iter()
        .filter_map(|(pool, traffic)| breach(pool, &traffic, budget))
        .collect()
}

fn traffic(
    calls: &[SeenCall],
    arrivals: &[SeenArrival],
    pool_of_models: &str,
) -> BTreeMap<&'static str, PoolTraffic> {
    let mut sorted: Vec<&SeenArrival> = arrivals.iter().collect();
    sorted.sort_by_key(|arrival| arrival.at);
    let mut pools: BTreeMap<&'static str, PoolTraffic> = BTreeMap::new();
    let mut prompts = BTreeSet::new();
    let mut arrived = BTreeSet::new();
    for arrival in &sorted {
        let traffic = pools.entry(arrival.pool).or_default();
        let request = arrival.request.as_str();
        let is_free = arrival.reads_prompt && !arrival.refused && prompts.insert(request);
        if !is_free && !arrived.insert((arrival.pool, request)) {
            traffic.repeats.push(arrival.at);
        }
    }
    let reached: BTreeSet<&str> = sorted.iter().map(|arrival| arrival.request.as_str()).collect();
    for call in calls {
        for (pool, traffic) in &mut pools {
            let may_be_for = call.kind.has_events() == (*pool == pool_of_models);
            let went_elsewhere = reached.contains(call.request.as_str())
                && !arrived.contains(&(*pool, call.request.as_str()))
                && call.kind != CallKind::Once
                && call.kind != CallKind::Again;
            if may_be_for && !went_elsewhere {
                traffic.requests.push(call.sent_at);
            }
        }
    }
    for traffic in pools.values_mut() {
        traffic.requests.sort();
    }
    pools
}

fn breach(pool: &'static str, traffic: &PoolTraffic, budget: &RepeatBudget) -> Option<Violation> {
    traffic.repeats.iter().find_map(|begin| {
        let repeats = within(&traffic.repeats, *begin, budget.window);
        let backs = [Duration::ZERO, budget.window / 2, budget.window];
        let counts = backs.map(|back| within(&traffic.requests, begin.saturating_sub(back), budget.window));
        let requests = counts.into_iter().max().unwrap_or_default();
        let allowed = budget.ratio * requests as f64 + budget.slack;
        (repeats as f64 > allowed).then(|| Violation::TooManyRepeats {
            pool: pool.to_owned(),
            from_millis: begin.as_millis() as u64,
            repeats,
            allowed: allowed as usize,
        })
    })
}

fn within(times: &[Duration], begin: Duration, length: Duration) -> usize {
    let before = |end: Duration| times.partition_point(|at| *at < end);
    before(begin + length) - before(begin)
}
