//! Judges whether callers of nodes that have lost their paths to all engines are served as those of the others.

use super::crashes::CONTACT;
use super::disturbances::Disturbances;
use super::record::SeenCall;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Time after the begin of a partition from which its report counts requests; earlier than its judgement.
const REPORTED_FROM: Duration = Duration::from_secs(1);

/// Length of the moments in which requests are compared, in milliseconds.
const COMPARED_MILLIS: u128 = 500;

/// Requests at nodes that are not cut off from which on they are compared with.
const MIN_OTHERS: usize = 10;

/// Failed requests that are no violation, beside one in [`REQUESTS_PER_FAILURE`].
const MAX_FAILURES: usize = 10;

/// See [`MAX_FAILURES`].
const REQUESTS_PER_FAILURE: usize = 50;

/// Nodes without paths to the engines, for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Partition {
    /// The nodes.
    pub nodes: BTreeSet<usize>,
    /// When it began, from the start of the callers.
    pub from: Duration,
    /// When it ended.
    pub until: Duration,
}

/// Requests of some nodes, and how many were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// Requests.
    pub sent: usize,
    /// Those with a whole success.
    pub served: usize,
}

impl ServedCount {
    fn add(&mut self, call: &SeenCall) {
        let answer = call.answer.as_ref();
        self.sent += 1;
        self.served += usize::from(answer.is_some_and(|answer| answer.status == 200 && answer.whole));
    }

    fn part(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    fn failed(self) -> usize {
        self.sent - self.served
    }
}

/// Requests while nodes were partitioned from all engines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartitionCount {
    /// At these nodes.
    pub cut_off: ServedCount,
    /// At the others.
    pub others: ServedCount,
    /// Median times of those that were served, at these nodes and at the others.
    pub medians: (Duration, Duration),
}

impl fmt::Display for PartitionCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "at nodes without engines {} of {} served (median {} ms), at the others {} of {} ({} ms)",
            self.cut_off.served,
            self.cut_off.sent,
            self.medians.0.as_millis(),
            self.others.served,
            self.others.sent,
            self.medians.1.as_millis()
        )
    }
}

/// Partitions in which requests at nodes without engines were served worse than is promised.
pub fn judge(
    partitions: &[Partition],
    calls: &[SeenCall],
    disturbances: &Disturbances,
) -> Vec<PartitionCount> {
    let judged = partitions.iter().map(|partition| {
        let in_touch = |call: &SeenCall| disturbances.in_touch(call.node, call.sent_at, CONTACT);
        count_one(partition, partitions, calls, CONTACT, in_touch)
    });
    judged.filter(is_broken).collect()
}

/// Counts over all partitions, from a second after each began.
pub fn count(partitions: &[Partition], calls: &[SeenCall]) -> PartitionCount {
    let counts = partitions.iter().map(|partition| {
        (
            partition,
            count_one(partition, partitions, calls, REPORTED_FROM, |_| true),
        )
    });
    let mut all = PartitionCount::default();
    for (_, one) in counts {
        for (sum, part) in [(&mut all.cut_off, one.cut_off), (&mut all.others, one.others)] {
            sum.sent += part.sent;
            sum.served += part.served;
        }
        all.medians.0 = all.medians.0.max(one.medians.0);
        all.medians.1 = all.medians.1.max(one.medians.1);
    }
    all
}

fn is_broken(count: &PartitionCount) -> bool {
    let (cut_off, others) = (count.cut_off, count.others);
    others.sent >= MIN_OTHERS
        && 3.0 * cut_off.part() < 2.0 * others.part()
        && cut_off.failed() > MAX_FAILURES + cut_off.sent / REQUESTS_PER_FAILURE
}

fn count_one(
    partition: &Partition,
    all: &[Partition],
    calls: &[SeenCall],
    after: Duration,
    includes: impl Fn(&SeenCall) -> bool,
) -> PartitionCount {
    let is_cut_off = |call: &SeenCall| {
        let mut of_node = all.iter().filter(|other| other.nodes.contains(&call.node));
        of_node.any(|other| (other.from..=other.until).contains(&call.sent_at))
    };
    let mut count = PartitionCount::default();
    let (mut own_times, mut other_times) = (Vec::new(), Vec::new());
    let span = partition.from + after..partition.until;
    let counted: Vec<&SeenCall> = calls
        .iter()
        .filter(|call| span.contains(&call.sent_at) && includes(call))
        .collect();
    // What else strikes changes what is served from one moment to the next, so only requests of the same moments are compared.
    let moment = |call: &SeenCall| call.sent_at.as_millis() / COMPARED_MILLIS;
    let others = counted.iter().filter(|call| !is_cut_off(call));
    let compared: BTreeSet<u128> = others.map(|call| moment(call)).collect();
    for call in counted.iter().filter(|call| compared.contains(&moment(call))) {
        let (served, times) = if partition.nodes.contains(&call.node) {
            (&mut count.cut_off, &mut own_times)
        } else if !is_cut_off(call) {
            (&mut count.others, &mut other_times)
        } else {
            continue;
        };
        let before = served.served;
        served.add(call);
        if served.served > before {
            times.push(call.took);
        }
    }
    count.medians = (median(own_times), median(other_times));
    count
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
