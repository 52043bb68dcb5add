//! Judges what engines said of themselves, announced drains and backoffs, from what reached them afterwards.
//!
//! A node has read an answer by the time at which the caller has its own: what callers send to that node later must not reach
//! the engine, whether the node reaches the store and its peers or not.

use super::crashes::{CONTACT, CrashingArrival};
use super::deployment::BACK_AFTER;
use super::disturbances::Disturbances;
use super::oracle::{EngineRecords, Violation};
use super::record::SeenCall;
use super::resumers::is_resumer;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after a backoff or a limit for which an engine may still take less than others.
const RETURNS_WITHIN: Duration = Duration::from_secs(3);

/// Time after the announcement of a drain within which another engine has come in the place of the draining one.
const LONGEST_DRAIN: Duration = Duration::from_secs(15);

/// What excuses a node.
pub struct Excuses<'a> {
    /// When nodes were started anew or stood still.
    pub restarts: &'a Disturbances,
    /// When nodes ran another build.
    pub on_other_build: &'a Disturbances,
    /// When the links to engines were struck, by the number of the engine's place: a refusal may not have come through.
    pub engine_links: &'a Disturbances,
}

impl Excuses<'_> {
    fn cover(&self, node: usize, from: Duration, until: Duration) -> bool {
        let span = until.saturating_sub(from);
        !(self.restarts.in_touch(node, until, span) && self.on_other_build.in_touch(node, until, span))
    }

    fn cover_link(&self, engine: &str, from: Duration, until: Duration) -> bool {
        let span = until.saturating_sub(from) + CONTACT;
        place_of(engine).is_none_or(|place| !self.engine_links.in_touch(place, until, span))
    }
}

/// The number of the place of a start that is named `engine-PLACE-...`.
fn place_of(engine: &str) -> Option<usize> {
    engine.split('-').nth(1)?.parse().ok()
}

/// A request at the door of one start of an engine.
struct Arrival<'a> {
    engine: &'a str,
    at: Duration,
    refused: bool,
    call: &'a SeenCall,
}

impl Arrival<'_> {
    /// When its node had passed on this engine's answer; absent where the caller got none, or that of another engine.
    fn answered_at(&self) -> Option<Duration> {
        let name = self.engine.split('@').next()?;
        let signature = self.call.answer.as_ref()?.signature.as_deref()?;
        let is_its_answer = signature.strip_prefix("signed-by-") == Some(name);
        is_its_answer.then(|| self.call.sent_at + self.call.took)
    }
}

/// What callers sent, as it reached engines, in the order of time.
fn arrivals<'a>(records: &'a EngineRecords, calls: &'a [SeenCall], begun: Instant) -> Vec<Arrival<'a>> {
    let calls: BTreeMap<&str, &SeenCall> = calls.iter().map(|call| (call.request.as_str(), call)).collect();
    let known = records.arrivals.iter().filter_map(|(_, arrival)| {
        Some(Arrival {
            engine: &arrival.engine,
            at: arrival.at.saturating_duration_since(begun),
            refused: arrival.refused,
            call: calls.get(arrival.request.as_str())?,
        })
    });
    let mut known: Vec<Arrival<'_>> = known.collect();
    known.sort_by_key(|arrival| arrival.at);
    known
}

/// Requests that reached an engine from a node that had passed on an answer in which the engine announced its drain.
pub fn judge_drains(
    records: &EngineRecords,
    calls: &[SeenCall],
    excuses: &Excuses<'_>,
    begun: Instant,
) -> Vec<Violation> {
    let arrivals = arrivals(records, calls, begun);
    let mut violations = Vec::new();
    for drain in &records.drains {
        let from = drain.from.saturating_duration_since(begun);
        let mut known_at: BTreeMap<usize, Duration> = BTreeMap::new();
        let there = arrivals.iter().filter(|arrival| arrival.engine == drain.engine);
        let there: Vec<_> = there.filter(|arrival| arrival.at >= from).collect();
        for arrival in there.iter().filter(|arrival| !arrival.refused) {
            if let Some(answered_at) = arrival.answered_at() {
                let known = known_at.entry(arrival.call.node).or_insert(answered_at);
                *known = answered_at.min(*known);
            }
        }
        for arrival in there {
            let known = known_at.get(&arrival.call.node).copied();
            let Some(known) = known.filter(|known| arrival.call.sent_at > *known) else {
                continue;
            };
            if !excuses.cover(arrival.call.node, known, arrival.at) {
                violations.push(Violation::SentToDrainingEngine {
                    request: arrival.call.request.clone(),
                    engine: drain.engine.clone(),
                    after_millis: (arrival.at - known).as_millis() as u64,
                });
            }
        }
    }
    violations
}

/// Requests that reached an engine from a node that it had asked to back off, before the backoff was over.
pub fn judge_backoffs(
    records: &EngineRecords,
    calls: &[SeenCall],
    excuses: &Excuses<'_>,
    begun: Instant,
) -> Vec<Violation> {
    let arrivals = arrivals(records, calls, begun);
    let by_request: BTreeMap<&str, &SeenCall> =
        calls.iter().map(|call| (call.request.as_str(), call)).collect();
    let mut violations = Vec::new();
    for record in &records.backoffs {
        let Some(refused) = by_request.get(record.request.as_str()) else {
            continue;
        };
        let at = record.at.saturating_duration_since(begun);
        let until = at + record.backoff;
        // A caller that leaves its stream may do so before its node has read the refusal of a continuation.
        let was_read = refused.answer.is_some() && !is_resumer(&refused.request);
        let known = was_read.then(|| refused.sent_at + refused.took);
        let early = arrivals.iter().find(|arrival| {
            let is_later = known.is_some_and(|known| arrival.call.sent_at > known);
            let is_again = arrival.call.request == refused.request && arrival.at > at;
            arrival.engine == record.engine
                && arrival.call.node == refused.node
                && arrival.at < until
                && (is_later || is_again)
                && !excuses.cover(refused.node, at, arrival.at)
                && !excuses.cover_link(&record.engine, at, arrival.at)
        });
        violations.extend(early.map(|arrival| Violation::SentWithinBackoff {
            request: arrival.call.request.clone(),
            engine: record.engine.clone(),
            left_millis: (until - arrival.at).as_millis() as u64,
        }));
    }
    violations
}

/// A time for which an engine took less than usual.
struct Impaired<'a> {
    engine: &'a str,
    from: Duration,
    until: Duration,
}

fn impaired<'a>(
    records: &'a EngineRecords,
    crashing: &'a [CrashingArrival],
    begun: Instant,
) -> Vec<Impaired<'a>> {
    let since_begun = |at: Instant| at.saturating_duration_since(begun);
    let backoffs = records.backoffs.iter().map(|record| Impaired {
        engine: &record.engine,
        from: since_begun(record.at),
        until: since_begun(record.at) + record.backoff.mul_f64(1.1) + RETURNS_WITHIN,
    });
    let limits = records.limits.iter().map(|record| Impaired {
        engine: &record.engine,
        from: since_begun(record.from),
        until: record
            .until
            .map_or(Duration::MAX, |until| since_begun(until) + RETURNS_WITHIN),
    });
    let drains = records.drains.iter().map(|record| Impaired {
        engine: &record.engine,
        from: since_begun(record.from),
        until: since_begun(record.from) + LONGEST_DRAIN,
    });
    let crashes = crashing.iter().filter(|arrival| arrival.crashed);
    let crashes = crashes.map(|arrival| Impaired {
        engine: &arrival.engine,
        from: arrival.at,
        until: arrival.at + BACK_AFTER + RETURNS_WITHIN,
    });
    backoffs.chain(limits).chain(drains).chain(crashes).collect()
}

/// Requests that were refused although nothing struck and at most one engine of each pool took less than usual, so that every
/// stage had another one.
pub fn judge_refusals(
    records: &EngineRecords,
    calls: &[SeenCall],
    crashing: &[CrashingArrival],
    is_quiet: impl Fn(&SeenCall) -> bool,
    begun: Instant,
) -> Vec<Violation> {
    let impaired = impaired(records, crashing, begun);
    let refused = calls.iter().filter(|call| {
        let status = call.answer.as_ref().map(|answer| answer.status);
        matches!(status, Some(429 | 503)) && is_quiet(call)
    });
    let with_others_free = refused.filter(|call| {
        let until = call.sent_at + call.took;
        let mut engines: Vec<&str> = impaired
            .iter()
            .filter(|one| one.from <= until && one.until >= call.sent_at)
            .map(|one| one.engine)
            .collect();
        engines.sort_unstable();
        engines.dedup();
        engines.len() <= 1
    });
    with_others_free
        .map(|call| Violation::RefusedWithEnginesFree(call.request.clone()))
        .collect()
}
