//! What a node that gathers usage has heard from all.

use super::counter::UsageWord;
use super::{UnixTime, WindowNumber};
use crate::identity::{NodeId, TenantId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Windows that are remembered, counted back from the newest; their reports are made or given up by then.
const REMEMBERED: u64 = 24;

/// Silence after which a node is not waited for. It tells its counts at least once in two seconds while it lives; one
/// that is cut off serves nothing, and had told all but its last moments.
const SILENT_AFTER: Duration = Duration::from_millis(3_000);

/// Requests that began in a window, by tenant.
pub type TenantCounts = BTreeMap<TenantId, u64>;

/// One start of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The node.
    pub node: NodeId,
    /// Number that the process drew at its start.
    pub start: u64,
}

#[derive(Clone, Debug, Default)]
struct Told {
    counts: BTreeMap<TenantId, u32>,
    total: u32,
    ended: bool,
}

impl Told {
    fn merge(&mut self, word: &UsageWord) {
        for (tenant, count) in &word.counts {
            let known = self.counts.entry(tenant.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.total = self.total.max(word.total);
        self.ended |= word.ended;
    }

    fn is_whole(&self) -> bool {
        let known: u64 = self.counts.values().map(|count| u64::from(*count)).sum();
        self.ended && known >= u64::from(self.total)
    }
}

/// What was heard of each window.
#[derive(Clone, Debug)]
pub struct UsageTally {
    length: Duration,
    windows: BTreeMap<WindowNumber, BTreeMap<Incarnation, Told>>,
    heard: BTreeMap<NodeId, Heard>,
}

/// What is known of a node that was heard.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: UnixTime,
    /// The window in which its present process began.
    began_in: WindowNumber,
}

impl UsageTally {
    /// A tally of windows of a length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Takes a word; the highest count wins, so that one that comes late or twice changes nothing.
    pub fn take(&mut self, from: &Incarnation, word: &UsageWord, now: UnixTime) {
        let present = WindowNumber::of(now, self.length);
        if word.window.0 > present.0 + 1 || word.window.0 + REMEMBERED < present.0 {
            return;
        }
        let heard = self.heard.entry(from.node.clone()).or_insert(Heard {
            at: now,
            began_in: word.began_in,
        });
        heard.at = now;
        heard.began_in = heard.began_in.max(word.began_in);
        let window = self.windows.entry(word.window).or_default();
        window.entry(from.clone()).or_default().merge(word);
        let oldest = present.0.saturating_sub(REMEMBERED);
        self.windows.retain(|number, _| number.0 >= oldest);
        let horizon = WindowNumber(oldest).begin(self.length);
        self.heard.retain(|_, heard| heard.at >= horizon);
    }

    /// Whether every node that is heard has told all of a window.
    pub fn is_whole(&self, window: WindowNumber, now: UnixTime) -> bool {
        self.missing(window, now).is_empty()
    }

    /// Nodes that are heard and have not told all of a window. A process that began later has nothing to tell, and what
    /// its predecessor did not tell is lost.
    pub fn missing(&self, window: WindowNumber, now: UnixTime) -> Vec<&NodeId> {
        let heard = self.heard.iter();
        heard
            .filter(|(_, heard)| now.since(heard.at) < SILENT_AFTER)
            .filter(|(_, heard)| heard.began_in <= window)
            .filter(|(node, _)| !self.has_told_all(window, node))
            .map(|(node, _)| node)
            .collect()
    }

    /// The first window in which anything began.
    pub fn first_counted(&self) -> Option<WindowNumber> {
        let counted = |told: &&BTreeMap<Incarnation, Told>| told.values().any(|told| told.total > 0);
        let mut windows = self.windows.iter();
        windows.find(|(_, told)| counted(told)).map(|(window, _)| *window)
    }

    /// Nodes that were heard.
    pub fn nodes(&self) -> usize {
        self.heard.len()
    }

    fn has_told_all(&self, window: WindowNumber, node: &NodeId) -> bool {
        let told = self.windows.get(&window);
        told.is_some_and(|told| {
            told.iter()
                .any(|(incarnation, told)| incarnation.node == *node && told.is_whole())
        })
    }

    /// Requests that began in a window.
    pub fn counts(&self, window: WindowNumber) -> TenantCounts {
        let mut sums = TenantCounts::new();
        let told = self.windows.get(&window).into_iter().flat_map(BTreeMap::values);
        for (tenant, count) in told.flat_map(|told| &told.counts) {
            *sums.entry(tenant.clone()).or_default() += u64::from(*count);
        }
        sums
    }
}
