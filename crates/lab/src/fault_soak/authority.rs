//! Judges who acts for all at the platform's interface: one holder for each fencing token, no lower token after a higher one, and
//! holders that don't take turns.

use super::crashes::CONTACT;
use super::disturbances::Disturbances;
use super::oracle::Violation;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which a lease lasts: holders that take turns within it held it at once.
pub const LEASE: Duration = Duration::from_secs(3);

/// Time after the end of a disruption, of a sender or of the platform, within which what arrives had been sent before.
pub const THAW: Duration = Duration::from_millis(300);

/// One report or order that the interface took.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenDutyCall {
    /// The duty and what it is about.
    pub subject: String,
    /// The machine that gave it, by its number.
    pub node: usize,
    /// The fencing token that it bears.
    pub token: u64,
    /// When it was carried out, from the start of the callers.
    pub at: Duration,
    /// Whether the interface deferred it.
    pub deferred: bool,
}

/// What is known of the deployment when the calls came.
#[derive(Clone, Copy, Debug)]
pub struct Circumstances<'a> {
    /// Whether the interface refuses lower tokens than one seen.
    pub fences_checked: bool,
    /// When the platform, its store or its interface, was disrupted.
    pub platform: &'a Disturbances,
    /// When nodes were thawed or their links healed.
    pub heals: &'a Disturbances,
    /// When nodes were struck by anything.
    pub nodes: &'a Disturbances,
}

impl Circumstances<'_> {
    /// Whether a call counts for the order of tokens and holders. One that the interface deferred had arrived while the platform was
    /// disrupted: when it is carried out is not its sender's doing.
    fn counts(&self, call: &SeenDutyCall) -> bool {
        !call.deferred
            && self.platform.in_touch(call.node, call.at, THAW)
            && self.heals.in_touch(call.node, call.at, THAW)
    }

    /// Whether a call counts among turns: where fences are checked, those of nodes in touch only.
    fn counts_as_turn(&self, call: &SeenDutyCall) -> bool {
        self.counts(call) && (!self.fences_checked || self.nodes.in_touch(call.node, call.at, CONTACT))
    }
}

/// Every way in which two acted at once, over the calls in the order in which they were carried out.
pub fn judge(calls: &[SeenDutyCall], circumstances: &Circumstances<'_>) -> Vec<Violation> {
    let mut of_subjects: BTreeMap<&str, Vec<&SeenDutyCall>> = BTreeMap::new();
    for call in calls {
        of_subjects.entry(call.subject.as_str()).or_default().push(call);
    }
    let mut violations = Vec::new();
    for calls in of_subjects.values() {
        violations.extend(shared_tokens(calls));
        if !circumstances.fences_checked {
            violations.extend(lower_tokens(calls, circumstances));
        }
        violations.extend(turns(calls, circumstances));
    }
    violations
}

/// Two holders with one token break the rule whatever was disrupted and whenever their calls were carried out.
fn shared_tokens(calls: &[&SeenDutyCall]) -> Vec<Violation> {
    let mut holders: BTreeMap<u64, BTreeSet<usize>> = BTreeMap::new();
    for call in calls {
        holders.entry(call.token).or_default().insert(call.node);
    }
    let shared = holders.into_iter().filter(|(_, nodes)| nodes.len() > 1);
    shared
        .map(|(token, nodes)| Violation::TwoHolders {
            subject: subject_of(calls),
            token,
            nodes,
        })
        .collect()
}

/// Calls that count with a lower token than one that the platform had seen, whether or not that one counts; the first of each node
/// and token.
fn lower_tokens(calls: &[&SeenDutyCall], circumstances: &Circumstances<'_>) -> Vec<Violation> {
    let mut highest = 0;
    let mut found = BTreeSet::new();
    let mut violations = Vec::new();
    for call in calls {
        if call.token < highest && circumstances.counts(call) && found.insert((call.node, call.token)) {
            violations.push(Violation::LowerToken {
                subject: call.subject.clone(),
                node: call.node,
                token: call.token,
                seen: highest,
                at_millis: millis(call.at),
            });
        }
        highest = highest.max(call.token);
    }
    violations
}

/// Holders that act in the order A, B, A within the time of a lease.
fn turns(calls: &[&SeenDutyCall], circumstances: &Circumstances<'_>) -> Vec<Violation> {
    let counted: Vec<&&SeenDutyCall> = calls
        .iter()
        .filter(|call| circumstances.counts_as_turn(call))
        .collect();
    let mut violations = Vec::new();
    for (place, third) in counted.iter().enumerate() {
        let before = &counted[..place];
        let Some(second) = before.last().filter(|call| call.node != third.node) else {
            continue;
        };
        let Some(first) = before.iter().rev().find(|call| call.node == third.node) else {
            continue;
        };
        let within = third.at.saturating_sub(first.at);
        if within < LEASE {
            violations.push(Violation::HoldersTookTurns {
                subject: third.subject.clone(),
                nodes: [third.node, second.node],
                at_millis: millis(third.at),
                within_millis: millis(within),
            });
        }
    }
    violations
}

fn subject_of(calls: &[&SeenDutyCall]) -> String {
    calls.first().map_or(String::new(), |call| call.subject.clone())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
