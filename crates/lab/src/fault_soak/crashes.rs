//! Judges how far requests were sent on that crash engines, over all nodes and all starts of them.

use super::disturbances::Disturbances;
use super::oracle::Violation;
use super::record::SeenCall;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Engines that may crash under one request before it counts.
const CRASHES: usize = 3;

/// Time within which nodes in touch have to know of the last of them.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Arrivals at engines that may follow later.
const LATE_ARRIVALS: usize = 3;

/// A crashing request as it reached an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashingArrival {
    /// What it asked for.
    pub content: String,
    /// The attempt.
    pub request: String,
    /// The start of the engine.
    pub engine: String,
    /// Whether the engine crashed over it.
    pub crashed: bool,
    /// When it came, from the start of the callers.
    pub at: Duration,
}

/// What became of one crashing request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashCount {
    /// Engines that crashed under it.
    pub ended: usize,
    /// Arrivals that were sent by nodes in touch later than the contact time after the third crash.
    pub late: usize,
}

/// What became of each crashing request, by what it asked for.
pub fn count(
    calls: &[SeenCall],
    arrivals: &[CrashingArrival],
    disturbances: &Disturbances,
) -> BTreeMap<String, CrashCount> {
    let node_of: BTreeMap<&str, usize> = calls
        .iter()
        .map(|call| (call.request.as_str(), call.node))
        .collect();
    let contents: BTreeSet<&str> = arrivals.iter().map(|arrival| arrival.content.as_str()).collect();
    contents
        .into_iter()
        .map(|content| {
            let mut of_content: Vec<_> = arrivals
                .iter()
                .filter(|arrival| arrival.content == content)
                .collect();
            of_content.sort_by_key(|arrival| arrival.at);
            (content.to_owned(), count_one(&of_content, &node_of, disturbances))
        })
        .collect()
}

fn count_one(
    arrivals: &[&CrashingArrival],
    node_of: &BTreeMap<&str, usize>,
    disturbances: &Disturbances,
) -> CrashCount {
    let mut ended: BTreeMap<&str, Duration> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.crashed) {
        ended.entry(arrival.engine.as_str()).or_insert(arrival.at);
    }
    let mut times: Vec<Duration> = ended.values().copied().collect();
    times.sort();
    let late = times.get(CRASHES - 1).map_or(0, |third| {
        let after = *third + CONTACT;
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
pub fn judge(counts: &BTreeMap<String, CrashCount>) -> Vec<Violation> {
    counts
        .iter()
        .filter(|(_, count)| count.late > LATE_ARRIVALS)
        .map(|(content, count)| Violation::SentOnAfterCrashes {
            content: content.clone(),
            ended: count.ended,
            late: count.late,
        })
        .collect()
}
