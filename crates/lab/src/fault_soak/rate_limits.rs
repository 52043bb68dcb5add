//! Judges the rate limits that engines named from what reached them, over all nodes and all starts of them.

use super::crashes::CONTACT;
use super::disturbances::Disturbances;
use super::oracle::Violation;
use super::record::SeenCall;
use super::spoilt::EngineArrival;
use crate::users_platform::LimitRecord;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Span over which a limit is judged.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests of a window beyond which a limit is broken: as a multiple of what it allows, and besides.
const ALLOWED_PART: f64 = 1.5;
const ALLOWED_BESIDES: f64 = 5.0;

/// A time for which one start of an engine named a limit, from the start of the callers.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSpan {
    /// The start.
    pub engine: String,
    /// Requests a second.
    pub requests_per_second: f64,
    /// When it began to name it.
    pub from: Duration,
    /// When it ended; absent where it did not, or the engine ended before.
    pub until: Option<Duration>,
}

impl LimitSpan {
    /// What an engine remembers.
    pub fn of(record: &LimitRecord, begun: Instant) -> Self {
        Self {
            engine: record.engine.clone(),
            requests_per_second: record.requests_per_second,
            from: record.from.saturating_duration_since(begun),
            until: record.until.map(|until| until.saturating_duration_since(begun)),
        }
    }
}

/// Time from which on a limit binds all nodes after one of them has passed on an answer that names it.
const TOLD_WITHIN: Duration = Duration::from_millis(500);

/// The limits of which a window held more than is allowed, of nodes that nothing had struck and that did not run another build:
/// from the contact time after they were named, and not before a node could know.
pub fn judge(
    spans: &[LimitSpan],
    arrivals: &[EngineArrival],
    calls: &[SeenCall],
    disturbances: &Disturbances,
    on_other_build: &Disturbances,
) -> Vec<Violation> {
    let nodes: BTreeMap<&str, usize> = calls
        .iter()
        .map(|call| (call.request.as_str(), call.node))
        .collect();
    let counts = |arrival: &&EngineArrival| {
        let node = nodes.get(arrival.request.as_str());
        node.is_some_and(|node| {
            disturbances.in_touch(*node, arrival.at, CONTACT)
                && on_other_build.in_touch(*node, arrival.at, CONTACT)
        })
    };
    let answered_at: BTreeMap<&str, Duration> = calls
        .iter()
        .filter(|call| call.answer.as_ref().is_some_and(|answer| answer.whole))
        .map(|call| (call.request.as_str(), call.sent_at + call.took))
        .collect();
    spans
        .iter()
        .filter_map(|span| {
            let named = arrivals
                .iter()
                .filter(|arrival| arrival.engine == span.engine && arrival.at >= span.from);
            let passed_on = named.filter_map(|arrival| answered_at.get(arrival.request.as_str()));
            let binds_from = (*passed_on.min()? + TOLD_WITHIN).max(span.from + CONTACT);
            let there = arrivals.iter().filter(|arrival| {
                arrival.engine == span.engine
                    && arrival.at >= binds_from
                    && span.until.is_none_or(|until| arrival.at < until)
            });
            let mut times: Vec<Duration> = there.filter(counts).map(|arrival| arrival.at).collect();
            times.sort_unstable();
            breach(span, &times)
        })
        .collect()
}

fn breach(span: &LimitSpan, times: &[Duration]) -> Option<Violation> {
    let allowed = ALLOWED_PART * span.requests_per_second * WINDOW.as_secs_f64() + ALLOWED_BESIDES;
    times.iter().enumerate().find_map(|(first, from)| {
        let requests = times.partition_point(|at| *at < *from + WINDOW) - first;
        (requests as f64 > allowed).then(|| Violation::BeyondRateLimit {
            engine: span.engine.clone(),
            from_millis: from.as_millis() as u64,
            requests,
            allowed: allowed as usize,
        })
    })
}
