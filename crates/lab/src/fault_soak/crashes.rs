//! Judges how far requests were sent on that crash engines, alone or by a part of their prompts, over all nodes and all starts of
//! them.

use super::disturbances::Disturbances;
use super::oracle::Violation;
use super::record::SeenCall;
use crate::users_platform::CrashCause;
use std::collections::BTreeMap;
use std::time::Duration;

/// Engines that may crash under one request before it counts.
const CRASHES_OF_REQUEST: usize = 3;

/// Engines that may crash under one part of prompts before it counts.
const CRASHES_OF_PART: usize = 5;

/// Time within which nodes in touch have to know of the last of them.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Arrivals at engines that may follow later.
const LATE_ARRIVALS: usize = 3;

/// A crashing request as it reached an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingArrival {
    /// What of it crashes engines.
    pub cause: CrashCause,
    /// The attempt.
    pub request: String,
    /// The start of the engine.
    pub engine: String,
    /// Whether the engine crashed over it.
    pub crashed: bool,
    /// When it came, from the start of the callers.
    pub at: Duration,
}

/// What became of one cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Engines that crashed under it.
    pub ended: usize,
    /// Arrivals that were sent by nodes in touch later than the contact time after the crash from which on it counts.
    pub late: usize,
}

/// What became of each cause.
pub fn count(
    calls: &[SeenCall],
    arrivals: &[CrashingArrival],
    disturbances: &Disturbances,
) -> BTreeMap<CrashCause, CrashCount> {
    let node_of: BTreeMap<&str, usize> = calls
        .iter()
        .map(|call| (call.request.as_str(), call.node))
        .collect();
    let mut by_cause: BTreeMap<&CrashCause, Vec<&CrashingArrival>> = BTreeMap::new();
    for arrival in arrivals {
        by_cause.entry(&arrival.cause).or_default().push(arrival);
    }
    by_cause
        .into_iter()
        .map(|(cause, mut of_cause)| {
            of_cause.sort_by_key(|arrival| arrival.at);
            let allowed = match cause {
                CrashCause::Request(_) => CRASHES_OF_REQUEST,
                CrashCause::Part(_) => CRASHES_OF_PART,
            };
            (
                cause.clone(),
                count_one(&of_cause, allowed, &node_of, disturbances),
            )
        })
        .collect()
}

fn count_one(
    arrivals: &[&CrashingArrival],
    allowed: usize,
    node_of: &BTreeMap<&str, usize>,
    disturbances: &Disturbances,
) -> CrashCount {
    let mut ended: BTreeMap<&str, Duration> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.crashed) {
        ended.entry(arrival.engine.as_str()).or_insert(arrival.at);
    }
    let mut times: Vec<Duration> = ended.values().copied().collect();
    times.sort();
    let late = times.get(allowed - 1).map_or(0, |last| {
        let after = *last + CONTACT;
        let late = arrivals.iter().filter(|arrival| arrival.at > after);
        late.filter(|arrival| {
            let node = node_of.get(arrival.request.as_str());
            node.is_some_and(|node| disturbances.in_touch(*node, arrival.at, CONTACT))
        })
        .count()
    });
    CrashCount {
        ended: times.len(),
        late,
    }
}

/// The requests that were sent on too often.
pub fn judge(counts: &BTreeMap<CrashCause, CrashCount>) -> Vec<Violation> {
    counts
        .iter()
        .filter(|(_, count)| count.late > LATE_ARRIVALS)
        .map(|(cause, count)| Violation::SentOnAfterCrashes {
            cause: cause.clone(),
            ended: count.ended,
            late: count.late,
        })
        .collect()
}
