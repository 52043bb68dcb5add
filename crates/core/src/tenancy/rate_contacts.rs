//! Which of the nodes that may own buckets can be reached, and which have ended, by probing.
//!
//! A silent node may have ended, be suspended or be cut off. Its machine tells these apart: it refuses a connection to an address
//! at which no process listens, accepts one for a suspended process, and does not answer through a cut. Only a node that has ended
//! is known to grant nothing, so its buckets are taken over at once and it no longer counts among all nodes:
//!
//! ```text
//! ended        = the last probe was refused, and nothing was heard of the node since that probe began
//! reserve part = (reached others + 1) / (others that have not ended + 1), both without the owner
//! ```
//!
//! The reserve parts of disjoint partitions add up to one: the partition of the owner does not use the reserve.

use crate::membership::subject::SubjectHandle;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Shortest time between two probes of a node.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which the result of a probe says whether a node is reached; a probe itself takes some of it.
const REACHED_LIFETIME: Duration = Duration::from_secs(1);

/// Time after which a probe is forgotten; longer than nodes are remembered that have left.
const PROBE_RETENTION: Duration = Duration::from_secs(60);

/// Outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The node's machine accepted the connection.
    Reached,
    /// No process listens at the node's address.
    Refused,
    /// No answer in time.
    NoAnswer,
}

/// The probes of one node.
#[derive(Clone, Copy, Debug)]
struct Probe {
    /// When the last one began.
    began_at: MonotonicTime,
    /// Outcome of the last one that is over, and when that one began.
    last: Option<(ProbeOutcome, MonotonicTime)>,
}

/// The probes of other nodes by one node.
#[derive(Clone, Debug, Default)]
pub struct RateContacts {
    probes: BTreeMap<SubjectHandle, Probe>,
}

impl RateContacts {
    /// Those nodes of which no probe began within [`PROBE_INTERVAL`].
    pub fn due(&self, nodes: &[SubjectHandle], now: MonotonicTime) -> Vec<SubjectHandle> {
        let is_due = |node: &SubjectHandle| {
            let probe = self.probes.get(node);
            probe.is_none_or(|probe| now.since(probe.began_at) >= PROBE_INTERVAL)
        };
        nodes.iter().copied().filter(is_due).collect()
    }

    /// Begins a probe of those nodes for which it is due, and names them.
    pub fn begin(&mut self, nodes: &[SubjectHandle], now: MonotonicTime) -> Vec<SubjectHandle> {
        self.probes
            .retain(|_, probe| now.since(probe.began_at) < PROBE_RETENTION);
        let due = self.due(nodes, now);
        for node in &due {
            let last = self.probes.get(node).and_then(|probe| probe.last);
            self.probes.insert(*node, Probe { began_at: now, last });
        }
        due
    }

    /// Notes the outcome of the probe that began last; true if it shows for the first time that the node has ended.
    pub fn note(&mut self, node: SubjectHandle, outcome: ProbeOutcome) -> bool {
        let Some(probe) = self.probes.get_mut(&node) else {
            return false;
        };
        let was_refused = matches!(probe.last, Some((ProbeOutcome::Refused, _)));
        // A lost packet does not bring a process back: what was refused stands until something is heard of the node.
        if !(was_refused && outcome == ProbeOutcome::NoAnswer) {
            probe.last = Some((outcome, probe.began_at));
        }
        outcome == ProbeOutcome::Refused && !was_refused
    }

    /// Whether a node has ended that was heard last at this time.
    pub fn has_ended(&self, node: SubjectHandle, heard_at: MonotonicTime) -> bool {
        let last = self.probes.get(&node).and_then(|probe| probe.last);
        last.is_some_and(|(outcome, began_at)| outcome == ProbeOutcome::Refused && began_at >= heard_at)
    }

    /// Nodes that have ended and are no longer among those that this node knows; others may still count them.
    pub fn ended_and_forgotten(&self, is_known: impl Fn(SubjectHandle) -> bool) -> usize {
        let refused = |probe: &Probe| matches!(probe.last, Some((ProbeOutcome::Refused, _)));
        let ended = self.probes.iter().filter(|(_, probe)| refused(probe));
        ended.filter(|(node, _)| !is_known(**node)).count()
    }

    /// Part of the reserve that this node may grant in place of a silent owner. `others` are the other nodes that may own buckets
    /// and have not ended.
    pub fn reserve_part(&self, owner: SubjectHandle, others: &[SubjectHandle], now: MonotonicTime) -> f64 {
        let is_reached = |node: &SubjectHandle| {
            let last = self.probes.get(node).and_then(|probe| probe.last);
            last.is_some_and(|(outcome, began_at)| {
                outcome == ProbeOutcome::Reached && now.since(began_at) < REACHED_LIFETIME
            })
        };
        let others = || others.iter().filter(|node| **node != owner);
        let reached = others().filter(|node| is_reached(node)).count();
        (reached + 1) as f64 / (others().count() + 1) as f64
    }
}
