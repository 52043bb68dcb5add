//! To whom a node tells its counts, so that they outlast it and the holder of the lease.
//!
//! The holder of the lease sends every node a digest once a second. A node tells its counts to the holder and to
//! [`REPLICAS`] other nodes that rendezvous hashing of its name selects, so that no two nodes have the same replicas. Counts
//! of a window that has ended are repeated until they are acknowledged. When a node is silent and has not told all of a
//! window, or a new holder sends digests, the replicas send it copies of what they were told.
//!
//! ```text
//! lost part of a window when a part p of the nodes is killed together with the holder
//!     <= p x (REPLICATION_INTERVAL / 2 + one-way latency) / window length    (counted and not told)
//!      + p x p ^ (REPLICAS / 2) x REPLICATION_INTERVAL / window length       (told to half of the replicas only)
//!      + p x p ^ REPLICAS                                                    (told to killed nodes only)
//! p = 0.6, window of 5 s: 0.012 + 0.003 + 0.010
//! ```
//!
//! A digest also contains the holder's sums by tenant. They never exceed the true ones, so a node takes the greater of such a
//! sum and what it was told itself; when all nodes but one are killed, the last one still knows the sums of the last digest.
//!
//! Nodes of builds without these messages never acknowledge and are passed over. Where no digest is heard, a node tells
//! all placers instead, which those builds understand.

use super::counter::{UsageCounter, UsageWord, WindowTotal};
use super::tally::{Incarnation, UsageTally};
use super::{UnixTime, WindowNumber};
use crate::identity::{FencingToken, NodeId, TenantId};
use crate::membership::rendezvous;
use crate::membership::subject::SubjectHandle;
use crate::table::RowVersion;
use crate::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes to which each node tells its counts, beside the holder of the lease.
pub const REPLICAS: usize = 8;

/// A replica is told in one of so many rounds, half of the replicas in each: eight that are told every 0.4 s cost as much as six
/// that are told every 0.2 s, and less is lost when most nodes are killed.
const ROUNDS_PER_REPLICA: usize = 2;

/// Time between two tellings; half of it is lost of a killed node on average.
pub const REPLICATION_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two digests to the same node in a fleet of up to [`MAX_SUMS_PER_ROUND`] nodes.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Nodes that get the sums with a digest in one round; the others get them in turn. A digest with the sums of 16 tenants
/// takes some 350 bytes, one without 25.
pub const MAX_SUMS_PER_ROUND: usize = 100;

/// Tenants in one datagram; a name takes some ten bytes, seldom sixty.
pub const MAX_TENANTS_PER_BATCH: usize = 50;

/// Silence of the holder after which a node takes it that nobody sends digests.
const HOLDER_SILENCE: Duration = Duration::from_millis(2_500);

/// Silence of the holder after which one with a lower token is believed: the table service may have lost the lease's row.
const HOLDER_FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Time after which the holder is told again though nothing has changed, so that it knows that this node lives.
const TELL_HOLDER_AGAIN: Duration = Duration::from_millis(1_000);

/// Time after which an unacknowledged word is told again.
const RESEND_INTERVAL: Duration = Duration::from_millis(600);

/// Times that a replica is told the same; the holder is told until it acknowledges.
const MAX_ATTEMPTS: u8 = 3;

/// Tellings of ended windows without an acknowledgement after which a replica is replaced: those of two windows. With three,
/// a link that loses one datagram in ten cost nodes of a fleet of four a replica.
const MAX_UNACKNOWLEDGED: u8 = 2 * MAX_ATTEMPTS;

/// Time for which a node that did not acknowledge is no replica.
const PASSED_OVER_FOR: Duration = Duration::from_secs(30);

/// Times that the holder is sent the same copy, [`RESEND_INTERVAL`] apart.
const MAX_COPIES: u8 = 2;

/// Sums by window and tenant.
pub type DigestSums = Vec<(WindowNumber, Vec<(TenantId, u32)>)>;

/// Counts of one start of a node's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageBatch {
    /// The node that counted.
    pub node: NodeId,
    /// Start of its process.
    pub start: u64,
    /// Its counts.
    pub words: Vec<UsageWord>,
}

/// Acknowledges counts of windows that have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageAck {
    /// The node that has them.
    pub from: SubjectHandle,
    /// Start of the process that told them.
    pub start: u64,
    /// Windows with their totals.
    pub ended: Vec<(WindowNumber, u32)>,
}

/// What the holder of the lease tells every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageDigest {
    /// The holder.
    pub from: SubjectHandle,
    /// Its token.
    pub token: FencingToken,
    /// Version of the lease's row at its last renewal; absent while a renewal is not confirmed.
    pub lease_version: Option<RowVersion>,
    /// The first window whose figures are not recorded.
    pub open_from: WindowNumber,
    /// Sums that it knows; none in most digests of a large fleet.
    pub sums: DigestSums,
}

/// What a copy is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CopySubject {
    /// The window.
    pub window: WindowNumber,
    /// The process that counted.
    pub of: Incarnation,
}

/// One datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The receiver.
    pub to: SubjectHandle,
    /// Whether the sender passes on what another node told it.
    pub is_copy: bool,
    /// The counts.
    pub batch: UsageBatch,
}

/// What a dispatch is decided from.
#[derive(Clone, Copy, Debug)]
pub struct ReplicationInput<'a> {
    /// The nodes that may be replicas.
    pub candidates: &'a [SubjectHandle],
    /// Whether this process counts no more.
    pub last: bool,
    /// True time.
    pub unix: UnixTime,
    /// Time of this process.
    pub now: MonotonicTime,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    total: u32,
    ended: bool,
    at: MonotonicTime,
    attempts: u8,
}

#[derive(Clone, Debug, Default)]
struct Receiver {
    sent: BTreeMap<WindowNumber, Sent>,
    /// Counts that it was told of windows that go on.
    told: BTreeMap<WindowNumber, BTreeMap<TenantId, u32>>,
    acked: BTreeMap<WindowNumber, u32>,
    sent_at: Option<MonotonicTime>,
    /// When it was last told of a window that has ended.
    sent_ended_at: Option<MonotonicTime>,
    /// Tellings of ended windows since the last acknowledgement.
    unacknowledged: u8,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    node: SubjectHandle,
    token: FencingToken,
    open_from: WindowNumber,
    first_heard: UnixTime,
    last_heard: MonotonicTime,
}

/// One node's part in replication.
#[derive(Clone, Debug)]
pub struct UsageReplicator {
    own: SubjectHandle,
    incarnation: Incarnation,
    holder: Option<Holder>,
    receivers: BTreeMap<SubjectHandle, Receiver>,
    passed_over: BTreeMap<SubjectHandle, MonotonicTime>,
    copied: BTreeMap<CopySubject, Sent>,
    rounds: usize,
}

impl UsageReplicator {
    /// A replicator that knows no holder.
    pub fn new(own: SubjectHandle, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            holder: None,
            receivers: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            copied: BTreeMap::new(),
            rounds: 0,
        }
    }

    /// Takes a digest, another node's or that of this node itself; false if a later holder was heard before.
    pub fn on_digest(&mut self, digest: &UsageDigest, unix: UnixTime, now: MonotonicTime) -> bool {
        let known = self
            .holder
            .filter(|holder| now.since(holder.last_heard) < HOLDER_FORGOTTEN_AFTER);
        let before = known.filter(|holder| holder.token >= digest.token);
        if before.is_some_and(|holder| holder.token > digest.token) {
            return false;
        }
        if before.is_none() {
            // The new holder has nothing of what its predecessor acknowledged.
            self.receivers.remove(&digest.from);
            self.copied.clear();
        }
        let open_from = before.map_or(digest.open_from, |holder| holder.open_from.max(digest.open_from));
        self.holder = Some(Holder {
            node: digest.from,
            token: digest.token,
            open_from,
            first_heard: before.map_or(unix, |holder| holder.first_heard),
            last_heard: now,
        });
        true
    }

    /// Takes an acknowledgement.
    pub fn on_ack(&mut self, ack: &UsageAck) {
        if ack.start != self.incarnation.start {
            return;
        }
        if let Some(receiver) = self.receivers.get_mut(&ack.from) {
            receiver.unacknowledged = 0;
            receiver.acked.extend(ack.ended.iter().copied());
        }
    }

    /// Whether digests are heard, so that counts reach the holder of the lease this way.
    pub fn hears_holder(&self, now: MonotonicTime) -> bool {
        self.present_holder(now).is_some()
    }

    /// The datagrams that are due.
    pub fn dispatches(
        &mut self,
        counter: &mut UsageCounter,
        tally: &UsageTally,
        input: &ReplicationInput<'_>,
    ) -> Vec<Dispatch> {
        let holder = self.present_holder(input.now);
        let open_from = holder.map_or(WindowNumber::default(), |holder| holder.open_from);
        let mut totals = counter.totals(input.unix, input.last);
        totals.retain(|total| total.window >= open_from);
        let mut dispatches = Vec::new();
        self.rounds += 1;
        for (index, (to, is_holder)) in self.targets(holder, input).into_iter().enumerate() {
            let has_turn = (self.rounds + index).is_multiple_of(ROUNDS_PER_REPLICA);
            if !is_holder && !has_turn && !input.last {
                continue;
            }
            let receiver = self.receivers.entry(to).or_default();
            let due = receiver.take_due(&totals, is_holder, input.now);
            let words = due.into_iter().flat_map(|total| {
                let words = counter.words_for(total, MAX_TENANTS_PER_BATCH);
                words
                    .into_iter()
                    .map(|word| receiver.without_told(word))
                    .collect::<Vec<_>>()
            });
            let words: Vec<UsageWord> = words.collect();
            let batches = self.incarnation.batches(words);
            dispatches.extend(batches.into_iter().map(|batch| Dispatch {
                to,
                is_copy: false,
                batch,
            }));
        }
        if let Some(holder) = holder.filter(|holder| holder.node != self.own) {
            dispatches.extend(self.due_copies(tally, holder, input));
        }
        dispatches
    }

    fn present_holder(&self, now: MonotonicTime) -> Option<Holder> {
        self.holder
            .filter(|holder| now.since(holder.last_heard) < HOLDER_SILENCE)
    }

    /// Whom to tell: the holder of the lease, then the replicas.
    fn targets(
        &mut self,
        holder: Option<Holder>,
        input: &ReplicationInput<'_>,
    ) -> Vec<(SubjectHandle, bool)> {
        let now = input.now;
        self.pass_over_silent(holder, now);
        let holder = holder.map(|holder| holder.node);
        let may_be_replica = |node: &SubjectHandle| {
            *node != self.own && Some(*node) != holder && !self.passed_over.contains_key(node)
        };
        let candidates: Vec<SubjectHandle> =
            input.candidates.iter().copied().filter(may_be_replica).collect();
        let replicas = rendezvous::choose(self.own, &candidates, REPLICAS);
        let holder = holder.filter(|holder| *holder != self.own);
        let targets: Vec<_> = holder
            .map(|holder| (holder, true))
            .into_iter()
            .chain(replicas.into_iter().map(|replica| (replica, false)))
            .collect();
        self.receivers
            .retain(|node, _| targets.iter().any(|(target, _)| target == node));
        targets
    }

    fn pass_over_silent(&mut self, holder: Option<Holder>, now: MonotonicTime) {
        self.passed_over
            .retain(|_, since| now.since(*since) < PASSED_OVER_FOR);
        let silent = self.receivers.iter().filter(|(node, receiver)| {
            let is_holder = holder.is_some_and(|holder| holder.node == **node);
            !is_holder && receiver.is_silent(now)
        });
        let silent: Vec<SubjectHandle> = silent.map(|(node, _)| *node).collect();
        for node in silent {
            self.receivers.remove(&node);
            self.passed_over.insert(node, now);
        }
    }

    fn due_copies(
        &mut self,
        tally: &UsageTally,
        holder: Holder,
        input: &ReplicationInput<'_>,
    ) -> Vec<Dispatch> {
        self.copied
            .retain(|subject, _| subject.window >= holder.open_from);
        let own = &self.incarnation.node;
        let copies = tally.copies(own, holder.open_from, holder.first_heard, input.unix);
        let mut dispatches = Vec::new();
        for (subject, word) in copies {
            let sent = self.copied.get(&subject).copied();
            let Some(sent) = Sent::next(sent, word.total, word.ended, MAX_COPIES, input.now) else {
                continue;
            };
            let batches = subject.of.batches(split(word));
            self.copied.insert(subject, sent);
            dispatches.extend(batches.into_iter().map(|batch| Dispatch {
                to: holder.node,
                is_copy: true,
                batch,
            }));
        }
        dispatches
    }
}

impl Sent {
    /// What is remembered once something is sent; absent where it was sent often enough, or a moment ago.
    fn next(
        before: Option<Self>,
        total: u32,
        ended: bool,
        max_attempts: u8,
        now: MonotonicTime,
    ) -> Option<Self> {
        let same = before.filter(|sent| sent.total == total && sent.ended == ended);
        if same.is_some_and(|sent| sent.attempts >= max_attempts || now.since(sent.at) < RESEND_INTERVAL) {
            return None;
        }
        Some(Self {
            total,
            ended,
            at: now,
            attempts: same.map_or(1, |sent| sent.attempts.saturating_add(1)),
        })
    }
}

impl Receiver {
    /// Whether the last of several tellings should have been acknowledged by now.
    fn is_silent(&self, now: MonotonicTime) -> bool {
        let has_waited = self
            .sent_ended_at
            .is_some_and(|at| now.since(at) >= RESEND_INTERVAL);
        self.unacknowledged >= MAX_UNACKNOWLEDGED && has_waited
    }

    /// Leaves out counts of a window that goes on which the receiver was told before. One that was lost is told when it
    /// changes, and with the whole window at its end.
    fn without_told(&mut self, mut word: UsageWord) -> UsageWord {
        if word.ended {
            self.told.remove(&word.window);
            return word;
        }
        let told = self.told.entry(word.window).or_default();
        word.counts
            .retain(|(tenant, count)| told.get(tenant) != Some(count));
        told.extend(word.counts.iter().cloned());
        word
    }

    /// Takes out the windows that are to be told now.
    fn take_due(&mut self, totals: &[WindowTotal], is_holder: bool, now: MonotonicTime) -> Vec<WindowTotal> {
        let oldest = totals
            .first()
            .map_or(WindowNumber::default(), |total| total.window);
        self.sent.retain(|window, _| *window >= oldest);
        self.acked.retain(|window, _| *window >= oldest);
        self.told.retain(|window, _| *window >= oldest);
        let max_attempts = if is_holder { u8::MAX } else { MAX_ATTEMPTS };
        let mut due = Vec::new();
        for total in totals {
            let is_acked = total.ended && self.acked.get(&total.window) == Some(&total.total);
            let sent = self.sent.get(&total.window).copied();
            // Counts of a window that goes on are told when they change.
            let max_attempts = if total.ended { max_attempts } else { 1 };
            if is_acked || (!total.ended && total.total == 0) {
                continue;
            }
            if let Some(sent) = Sent::next(sent, total.total, total.ended, max_attempts, now) {
                self.sent.insert(total.window, sent);
                due.push(*total);
            }
        }
        let rested = self.sent_at.is_none_or(|at| now.since(at) >= TELL_HOLDER_AGAIN);
        if due.is_empty() && is_holder && rested {
            due.extend(totals.last().copied());
        }
        if due.iter().any(|total| total.ended) {
            self.unacknowledged = self.unacknowledged.saturating_add(1);
            self.sent_ended_at = Some(now);
        }
        if !due.is_empty() {
            self.sent_at = Some(now);
        }
        due
    }
}

impl Incarnation {
    /// Words of this process in as few batches as their tenants fit into.
    pub fn batches(&self, words: Vec<UsageWord>) -> Vec<UsageBatch> {
        let mut batches: Vec<UsageBatch> = Vec::new();
        let mut tenants = 0;
        for word in words {
            // A word takes about as much as two tenants beside its counts.
            let size = word.counts.len() + 2;
            match batches.last_mut() {
                Some(batch) if tenants + size <= MAX_TENANTS_PER_BATCH => batch.words.push(word),
                _ => {
                    tenants = 0;
                    batches.push(UsageBatch {
                        node: self.node.clone(),
                        start: self.start,
                        words: vec![word],
                    });
                }
            }
            tenants += size;
        }
        batches
    }
}

impl UsageBatch {
    /// The process that counted.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            node: self.node.clone(),
            start: self.start,
        }
    }
}

fn split(word: UsageWord) -> Vec<UsageWord> {
    if word.counts.len() <= MAX_TENANTS_PER_BATCH {
        return vec![word];
    }
    let chunks = word.counts.chunks(MAX_TENANTS_PER_BATCH);
    let part = |counts: &[(TenantId, u32)]| UsageWord {
        counts: counts.to_vec(),
        ..word.clone()
    };
    chunks.map(part).collect()
}
