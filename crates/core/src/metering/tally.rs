//! What a node that gathers usage has heard from all.

use super::counter::UsageWord;
use super::replication::{CopySubject, DigestSums, UsageAck, UsageBatch};
use super::{UnixTime, WindowNumber};
use crate::identity::{NodeId, TenantId};
use crate::membership::subject::SubjectHandle;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Windows that are remembered, counted back from the newest; their reports are made or given up by then.
const REMEMBERED: u64 = 24;

/// Silence after which a node is not waited for. It tells its counts at least once in two seconds while it lives; one
/// that is cut off serves nothing, and had told all but its last moments.
const SILENT_AFTER: Duration = Duration::from_millis(3_000);

/// Time for which a new holder of the lease waits for nodes that it has not heard yet: they tell it their counts within
/// 0.2 s of its first digest, and repeat lost ones every 0.6 s.
const GATHER_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a new holder waits longer for nodes that it knows to live, where a digest or an answer to it was lost.
const GATHER_LIMIT: Duration = Duration::from_secs(5);

/// Time after a window's end for which copies of a node's counts are awaited when the node is gone without having told
/// all. Replicas send them from [`COPY_AFTER`] on and repeat them once.
const COPIES_WITHIN: Duration = Duration::from_millis(2_400);

/// Time after a window's end at which a replica takes it that a node that has not told all will not do so.
const COPY_AFTER: Duration = Duration::from_millis(1_200);

/// Silence of a node after which its counts are copied to the holder of the lease; a node that lives tells them itself.
const COPY_SILENCE: Duration = Duration::from_millis(1_500);

/// Tenants whose sums one digest contains for a window at most; each takes some ten bytes. Larger counts go first.
const MAX_TENANTS_PER_DIGEST: usize = 50;

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
    began_in: WindowNumber,
}

impl Told {
    fn merge(&mut self, word: &UsageWord) {
        self.began_in = self.began_in.max(word.began_in);
        for (tenant, count) in &word.counts {
            let known = self.counts.entry(tenant.clone()).or_default();
            *known = (*known).max(*count);
        }
        self.total = self.total.max(word.total);
        self.ended |= word.ended;
    }

    fn word(&self, window: WindowNumber) -> UsageWord {
        UsageWord {
            window,
            began_in: self.began_in,
            total: self.total,
            ended: self.ended,
            counts: self.counts.clone().into_iter().collect(),
        }
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
    heard: BTreeMap<Incarnation, Heard>,
    /// Nodes that were heard in any way, and when last.
    alive: BTreeMap<NodeId, UnixTime>,
    /// What other processes counted at least, by the sums that a holder of the lease knew.
    floors: BTreeMap<WindowNumber, TenantCounts>,
    /// This process, which the floors leave out.
    own: Option<Incarnation>,
    /// When this node began to gather for all; absent where it has done so from the start.
    gathering_since: Option<UnixTime>,
    /// Windows before this one were forgotten.
    oldest: WindowNumber,
}

/// What is known of a process that told its counts itself.
#[derive(Clone, Copy, Debug)]
struct Heard {
    first: UnixTime,
    last: UnixTime,
    /// The window in which it began.
    began_in: WindowNumber,
}

impl UsageTally {
    /// A tally of windows of a length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            windows: BTreeMap::new(),
            heard: BTreeMap::new(),
            alive: BTreeMap::new(),
            floors: BTreeMap::new(),
            own: None,
            gathering_since: None,
            oldest: WindowNumber::default(),
        }
    }

    /// Takes a word from its process itself; the highest count wins, so that one that comes late or twice changes
    /// nothing.
    pub fn take(&mut self, from: &Incarnation, word: &UsageWord, now: UnixTime) {
        if !self.merge(from, word, now) {
            return;
        }
        let heard = self.heard.entry(from.clone()).or_insert(Heard {
            first: now,
            last: now,
            began_in: word.began_in,
        });
        heard.last = heard.last.max(now);
        heard.began_in = heard.began_in.max(word.began_in);
    }

    /// Takes a copy of a process's word from another node, which says nothing of whether that process lives.
    pub fn take_copy(&mut self, of: &Incarnation, word: &UsageWord, now: UnixTime) {
        self.merge(of, word, now);
    }

    /// The acknowledgement of a batch that was taken; absent where nothing of it has ended, or the counts of a window are
    /// not all here yet.
    pub fn ack(&self, batch: &UsageBatch, own: SubjectHandle) -> Option<UsageAck> {
        let from = batch.incarnation();
        let ended = batch.words.iter().filter(|word| word.ended);
        let whole = ended.filter(|word| self.has_told_all(word.window, &from));
        let ended: Vec<_> = whole.map(|word| (word.window, word.total)).collect();
        (!ended.is_empty()).then_some(UsageAck {
            from: own,
            start: batch.start,
            ended,
        })
    }

    /// Takes the sums that a holder of the lease knew. What this process itself had counted by now is in them at most, so
    /// the rest was counted by others; it stays true while this process counts on.
    pub fn take_sums(&mut self, own: &Incarnation, sums: &DigestSums, now: UnixTime) {
        for (window, counts) in sums {
            if !self.is_open(*window, now) {
                continue;
            }
            let told = self.windows.get(window).and_then(|told| told.get(own));
            let floor = self.floors.entry(*window).or_default();
            for (tenant, count) in counts {
                let own = told.and_then(|told| told.counts.get(tenant)).copied();
                let others = u64::from(count.saturating_sub(own.unwrap_or_default()));
                let known = floor.entry(tenant.clone()).or_default();
                *known = (*known).max(others);
            }
        }
        self.own = Some(own.clone());
        self.forget_old(now);
    }

    /// Notes that a node was heard in any way, such as by a word of its work.
    pub fn note_alive(&mut self, node: &NodeId, at: UnixTime) {
        match self.alive.get_mut(node) {
            Some(last) => *last = (*last).max(at),
            None => drop(self.alive.insert(node.clone(), at)),
        }
    }

    /// Notes that this node gathers for all from now on: what others told its predecessor must come first.
    pub fn begin_gathering(&mut self, now: UnixTime) {
        self.gathering_since = Some(now);
    }

    /// Whether this node began to gather a short time ago, so that nodes which live may not have told it anything.
    pub fn is_gathering(&self, now: UnixTime) -> bool {
        self.gathers_for_less_than(GATHER_LIMIT, now)
    }

    fn gathers_for_less_than(&self, time: Duration, now: UnixTime) -> bool {
        let since = self.gathering_since;
        since.is_some_and(|since| now.since(since) < time)
    }

    /// Whether every node that lived in a window has told all of it or is gone, and copies of what those had told have
    /// had time to come.
    pub fn is_whole(&self, window: WindowNumber, now: UnixTime) -> bool {
        // Replicas send copies to a holder that tells them so.
        let awaits_copies =
            self.gathering_since.is_some() && now < window.end(self.length).later(COPIES_WITHIN);
        !self.gathers_for_less_than(GATHER_TIME, now)
            && self.missing(window, now).is_empty()
            && !(awaits_copies && self.gone(window, now) > 0)
    }

    /// Nodes that live and have not told all of a window. A process that began later has nothing to tell of it.
    pub fn missing(&self, window: WindowNumber, now: UnixTime) -> Vec<&NodeId> {
        let told = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(heard.last) < SILENT_AFTER);
        let told = told.filter(|(from, heard)| self.owes(window, from, heard));
        let mut missing: BTreeSet<&NodeId> = told.map(|(from, _)| &from.node).collect();
        let alive = self
            .alive
            .iter()
            .filter(|(_, last)| now.since(**last) < SILENT_AFTER);
        missing.extend(
            alive
                .map(|(node, _)| node)
                .filter(|node| self.latest_owes(window, node)),
        );
        missing.into_iter().collect()
    }

    /// Processes that have told some of a window and are gone without having told all. Counts of their last moments are
    /// lost; what they told before is summed.
    pub fn gone(&self, window: WindowNumber, now: UnixTime) -> usize {
        let told = self.windows.get(&window).into_iter().flatten();
        let told = told.filter(|(_, told)| !told.is_whole());
        told.filter(|(from, _)| {
            let heard = self.heard.get(from);
            heard.is_none_or(|heard| now.since(heard.last) >= SILENT_AFTER || self.is_superseded(from, heard))
        })
        .count()
    }

    /// The first window in which anything began.
    pub fn first_counted(&self) -> Option<WindowNumber> {
        let counted = |told: &&BTreeMap<Incarnation, Told>| told.values().any(|told| told.total > 0);
        let mut windows = self.windows.iter();
        windows.find(|(_, told)| counted(told)).map(|(window, _)| *window)
    }

    /// Nodes that told their counts themselves.
    pub fn nodes(&self) -> usize {
        let nodes: BTreeSet<&NodeId> = self.heard.keys().map(|from| &from.node).collect();
        nodes.len()
    }

    /// Requests that began in a window, as far as they are known: what this process counted, and of the others what they
    /// told or what a holder of the lease knew of them, whichever is more.
    pub fn counts(&self, window: WindowNumber) -> TenantCounts {
        let told = self.windows.get(&window).into_iter().flatten();
        let (own, others): (Vec<_>, Vec<_>) = told.partition(|(from, _)| self.own.as_ref() == Some(*from));
        let mut sums = TenantCounts::new();
        add(&mut sums, others.into_iter().map(|(_, told)| told));
        for (tenant, floor) in self.floors.get(&window).into_iter().flatten() {
            let sum = sums.entry(tenant.clone()).or_default();
            *sum = (*sum).max(*floor);
        }
        add(&mut sums, own.into_iter().map(|(_, told)| told));
        sums.retain(|_, count| *count > 0);
        sums
    }

    /// The sums of the last two windows from `open_from` on, as a digest tells them.
    pub fn digest_sums(&self, open_from: WindowNumber, now: UnixTime) -> DigestSums {
        let present = WindowNumber::of(now, self.length);
        let first = open_from.0.max(present.0.saturating_sub(1));
        let windows = (first..=present.0).map(WindowNumber);
        let sums = windows.map(|window| {
            let mut counts: Vec<(TenantId, u32)> = self
                .counts(window)
                .into_iter()
                .map(|(tenant, count)| (tenant, u32::try_from(count).unwrap_or(u32::MAX)))
                .collect();
            counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
            counts.truncate(MAX_TENANTS_PER_DIGEST);
            (window, counts)
        });
        sums.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    /// What other processes told this node of windows from `open_from` on and the holder of the lease may lack: processes
    /// that are silent, and did not tell all or told it before the present holder was heard at `holder_since`.
    pub fn copies(
        &self,
        own: &NodeId,
        open_from: WindowNumber,
        holder_since: UnixTime,
        now: UnixTime,
    ) -> Vec<(CopySubject, UsageWord)> {
        let ended = self
            .windows
            .range(open_from..)
            .filter(|(window, _)| now >= window.end(self.length).later(COPY_AFTER));
        let mut copies = Vec::new();
        for (window, told) in ended {
            let is_new_holder = holder_since > window.end(self.length);
            let silent = told.iter().filter(|(from, _)| {
                let heard = self.heard.get(from);
                from.node != *own && heard.is_some_and(|heard| now.since(heard.last) >= COPY_SILENCE)
            });
            for (from, told) in silent.filter(|(_, told)| is_new_holder || !told.is_whole()) {
                let subject = CopySubject {
                    window: *window,
                    of: from.clone(),
                };
                copies.push((subject, told.word(*window)));
            }
        }
        copies
    }

    /// Merges a word; false where its window is too old or in the future.
    fn merge(&mut self, from: &Incarnation, word: &UsageWord, now: UnixTime) -> bool {
        if !self.is_open(word.window, now) {
            return false;
        }
        let window = self.windows.entry(word.window).or_default();
        window.entry(from.clone()).or_default().merge(word);
        self.forget_old(now);
        true
    }

    fn is_open(&self, window: WindowNumber, now: UnixTime) -> bool {
        let present = WindowNumber::of(now, self.length);
        window.0 <= present.0 + 1 && window.0 + REMEMBERED >= present.0
    }

    fn forget_old(&mut self, now: UnixTime) {
        let present = WindowNumber::of(now, self.length);
        let oldest = WindowNumber(present.0.saturating_sub(REMEMBERED));
        if oldest <= self.oldest {
            return;
        }
        self.oldest = oldest;
        self.windows.retain(|window, _| *window >= oldest);
        self.floors.retain(|window, _| *window >= oldest);
        let horizon = oldest.begin(self.length);
        self.heard.retain(|_, heard| heard.last >= horizon);
        self.alive.retain(|_, last| *last >= horizon);
    }

    /// Whether a process that was heard has not told all of a window in which it ran.
    fn owes(&self, window: WindowNumber, from: &Incarnation, heard: &Heard) -> bool {
        heard.began_in <= window && !self.has_told_all(window, from) && !self.is_superseded(from, heard)
    }

    /// Whether the process of a node that was heard last has not told all of a window, or none was heard.
    fn latest_owes(&self, window: WindowNumber, node: &NodeId) -> bool {
        let latest = self.starts_of(node).max_by_key(|(_, heard)| heard.last);
        latest.is_none_or(|(from, heard)| heard.began_in <= window && !self.has_told_all(window, from))
    }

    /// Whether a later process of the same node was heard since.
    fn is_superseded(&self, from: &Incarnation, heard: &Heard) -> bool {
        self.starts_of(&from.node)
            .any(|(other, later)| other.start != from.start && later.first > heard.last)
    }

    fn starts_of(&self, node: &NodeId) -> impl Iterator<Item = (&Incarnation, &Heard)> {
        let first = Incarnation {
            node: node.clone(),
            start: 0,
        };
        let last = Incarnation {
            node: node.clone(),
            start: u64::MAX,
        };
        self.heard.range(first..=last)
    }

    fn has_told_all(&self, window: WindowNumber, from: &Incarnation) -> bool {
        let told = self.windows.get(&window).and_then(|told| told.get(from));
        told.is_some_and(Told::is_whole)
    }
}

fn add<'a>(sums: &mut TenantCounts, told: impl Iterator<Item = &'a Told>) {
    for (tenant, count) in told.flat_map(|told| &told.counts) {
        *sums.entry(tenant.clone()).or_default() += u64::from(*count);
    }
}
