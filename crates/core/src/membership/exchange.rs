//! Sending: pushes within the budget, and comparison of facts by digest.

use super::beat::Reach;
use super::budget::HEADER_BYTES;
use super::events::Outgoing;
use super::gossiper::{Gossiper, HURRIED_DIGEST};
use super::subject::SubjectHandle;
use super::wire::{
    DIGEST_GROUPS, Datagram, FORMAT, Fact, MAXIMUM_DATAGRAM_BYTES, Part, Summary, SummaryEntry, encode,
};
use crate::time::MonotonicTime;
use rand::seq::SliceRandom;
use rand::{Rng, RngCore};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of a datagram left for its sender and the counts of its parts.
const FRAME_RESERVE: usize = 60;

/// Bytes of a head, rounded up.
const HEAD_BYTES: usize = 48;

/// Bytes of facts, beats or summaries in one datagram.
const PAYLOAD_BYTES: usize = MAXIMUM_DATAGRAM_BYTES - FRAME_RESERVE - HEAD_BYTES;

/// Peers that hot facts are pushed to in one tick.
const PUSHES_PER_TICK: usize = 2;

/// Ticks between two datagrams that carry beats alone.
const TICKS_PER_BEAT_PUSH: u64 = 2;

/// Most bytes of beats in one datagram, so that they leave room in the budget.
const BEAT_BYTES: usize = 700;

/// Most groups whose versions are told at once.
const GROUPS_PER_SUMMARY: usize = 3;

/// Bytes of a datagram of beats besides the beats, headers included.
const BEAT_FRAME_BYTES: u64 = 80;

/// Part of the burst that pushes leave to comparisons, which repair what pushes miss.
const COMPARISON_RESERVE_DIVISOR: u64 = 8;

/// Most datagrams of facts that answer one digest.
const COPIES_PER_DIGEST: usize = 6;

/// Time after its start in which a node compares facts often, since it missed what was pushed before.
const JOINING: Duration = Duration::from_secs(15);

/// Time between digests of a node that joins.
const JOINING_DIGEST_MILLIS: u64 = 1_000;

/// Groups that differ beyond which facts are fetched in bulk rather than by datagrams.
const MOST_GROUPS_BY_DATAGRAM: usize = 12;

/// Digests in a hundred that go to a seed or a node that counts as dead, so that a healed cut is noticed.
const OUTSIDE_PERCENT: u32 = 15;

impl Gossiper {
    pub(super) fn spread_due(
        &mut self,
        now: MonotonicTime,
        random: &mut dyn RngCore,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if self.ticks.is_multiple_of(TICKS_PER_BEAT_PUSH) {
            self.push_beats(now, random, outgoing);
        }
        let reserve = self.spread_bucket.burst_bytes() / COMPARISON_RESERVE_DIVISOR;
        if self.spread_bucket.available(now) < reserve {
            return;
        }
        for _ in 0..PUSHES_PER_TICK {
            if !self.facts.is_empty() || self.head_sends > 0 {
                self.push_facts(now, random, outgoing);
            }
        }
    }

    fn push_facts(&mut self, now: MonotonicTime, random: &mut dyn RngCore, outgoing: &mut Vec<Outgoing>) {
        let (to, distance) = match self.peers.choose(random) {
            Some(peer) => (peer.address, peer.distance),
            None if !self.seeds.is_empty() => (
                self.seeds[random.random_range(0..self.seeds.len())],
                Reach::Everywhere,
            ),
            None => return,
        };
        let mut parts = Vec::new();
        if self.head_sends > 0
            && let Some(head) = self.head
        {
            parts.push(Part::Head(head));
        }
        let facts = self.pending_facts(distance, now);
        let handles: Vec<SubjectHandle> = facts
            .iter()
            .map(|fact| SubjectHandle::of(&fact.record.key))
            .collect();
        if !facts.is_empty() {
            parts.push(Part::Facts(facts));
        }
        if !parts.is_empty() && self.send_spread(to, parts, distance, now, outgoing) {
            self.head_sends = self.head_sends.saturating_sub(1);
            self.facts.sent(&handles);
        }
    }

    fn push_beats(&mut self, now: MonotonicTime, random: &mut dyn RngCore, outgoing: &mut Vec<Outgoing>) {
        let Some(peer) = self.peers.choose(random) else {
            return;
        };
        let available = self.beat_bucket.available(now).saturating_sub(BEAT_FRAME_BYTES);
        let room = BEAT_BYTES.min(usize::try_from(available).unwrap_or(usize::MAX));
        let mut parts = Vec::new();
        let beats = self.add_beats(peer.distance, room, now, &mut parts);
        if parts.is_empty() {
            return;
        }
        let datagram = Datagram {
            format: FORMAT,
            sender: self.sender(now),
            parts,
        };
        let bytes = encode(&datagram);
        let cost = u64::try_from(bytes.len()).unwrap_or(u64::MAX) + HEADER_BYTES;
        if !self.beat_bucket.take(cost, now) {
            self.counters.held_back += 1;
            return;
        }
        self.count_sent(cost, peer.distance);
        outgoing.push(Outgoing {
            to: peer.address,
            bytes,
        });
        self.loads.sent(&beats);
        self.beats.sent(&beats);
    }

    fn pending_facts(&self, distance: Reach, now: MonotonicTime) -> Vec<Fact> {
        let pending = self.facts.pending(distance);
        fill(
            pending.filter_map(|pending| self.store.fact(pending.handle, now)),
            PAYLOAD_BYTES,
        )
        .0
    }

    /// Adds loads and node beats; gives their subjects.
    fn add_beats(
        &self,
        distance: Reach,
        room: usize,
        now: MonotonicTime,
        parts: &mut Vec<Part>,
    ) -> Vec<SubjectHandle> {
        let nodes = self.beats.pending(distance);
        let nodes = nodes.filter_map(|pending| self.store.node_beat(pending.handle, now));
        let (nodes, used) = fill(nodes, room / 3);
        let loads = self.loads.pending(distance);
        let loads = loads.filter_map(|pending| self.store.load_beat(pending.handle, now));
        let (loads, _) = fill(loads, room - used);
        let handles = loads
            .iter()
            .map(|beat| beat.engine)
            .chain(nodes.iter().map(|beat| beat.node));
        let handles = handles.collect();
        if !loads.is_empty() {
            parts.push(Part::Loads(loads));
        }
        if !nodes.is_empty() {
            parts.push(Part::Nodes(nodes));
        }
        handles
    }

    pub(super) fn digest_when_due(
        &mut self,
        now: MonotonicTime,
        random: &mut dyn RngCore,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if now < self.next_digest {
            return;
        }
        let joining = now.since(self.started) < JOINING;
        let usual = self.config.digest_interval_millis;
        let interval = if joining {
            usual.min(JOINING_DIGEST_MILLIS)
        } else {
            usual
        };
        let jittered = interval / 2 + random.random_range(0..=interval);
        self.next_digest = now + Duration::from_millis(jittered);
        let outside = random.random_range(0..100) < OUTSIDE_PERCENT || self.peers.is_empty();
        let peer = if outside {
            self.peers.choose_dead(random)
        } else {
            self.peers.choose(random)
        };
        let seed = self.seeds.get(random.random_range(0..self.seeds.len().max(1)));
        let to = match (peer, seed) {
            (Some(peer), _) => (peer.address, peer.distance),
            (None, Some(seed)) => (*seed, Reach::Everywhere),
            (None, None) => return,
        };
        let digest = Part::Digest(self.store.digest());
        self.send_spread(to.0, vec![digest], to.1, now, outgoing);
    }

    /// Sends what the sender of a digest lacks, or the versions of what differs.
    pub(super) fn answer_digest(
        &mut self,
        digest: &[[u8; 4]],
        from: SocketAddr,
        now: MonotonicTime,
        random: &mut dyn RngCore,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if digest.len() != DIGEST_GROUPS {
            return;
        }
        let own = self.store.digest();
        let mut differing: Vec<usize> = (0..DIGEST_GROUPS)
            .filter(|group| own[*group] != digest[*group])
            .collect();
        let joining = now.since(self.started) < JOINING;
        if differing.len()
            > if joining {
                GROUPS_PER_SUMMARY
            } else {
                MOST_GROUPS_BY_DATAGRAM
            }
        {
            self.ask_for_bulk(from, now);
            self.send_spread(from, vec![Part::FarApart], Reach::Zone, now, outgoing);
            return;
        }
        differing.shuffle(random);
        let empty_there = |group: &usize| digest[*group] == [0; 4];
        let (lacking, differing): (Vec<usize>, Vec<usize>) = differing.into_iter().partition(empty_there);
        let lacking: Vec<SubjectHandle> = lacking
            .into_iter()
            .flat_map(|group| self.store.summary(u8::try_from(group).unwrap_or_default()))
            .map(|entry| entry.handle)
            .collect();
        self.send_copies(&lacking, from, now, outgoing);
        let mut summary = Summary {
            groups: Vec::new(),
            entries: Vec::new(),
        };
        for group in differing.into_iter().take(GROUPS_PER_SUMMARY) {
            let group = u8::try_from(group).unwrap_or_default();
            let entries = self.store.summary(group);
            if encode(&summary.entries).len() + encode(&entries).len() > PAYLOAD_BYTES - DIGEST_GROUPS {
                break;
            }
            summary.groups.push(group);
            summary.entries.extend(entries);
        }
        if !summary.groups.is_empty() {
            self.send_spread(from, vec![Part::Summary(summary)], Reach::Zone, now, outgoing);
        }
    }

    /// Asks for what the summary has newer and sends what it has older.
    pub(super) fn answer_summary(
        &mut self,
        summary: &Summary,
        from: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let mut newer_here = Vec::new();
        let mut wanted = Vec::new();
        let rank = |entry: &SummaryEntry| (entry.version, entry.content);
        for theirs in &summary.entries {
            match self.store.summary_entry(theirs.handle) {
                Some(own) if rank(&own) > rank(theirs) => newer_here.push(own.handle),
                Some(own) if rank(&own) == rank(theirs) => {}
                _ => wanted.push(theirs.handle),
            }
        }
        for group in &summary.groups {
            let missing = self.store.summary(*group).into_iter().map(|entry| entry.handle);
            newer_here.extend(
                missing.filter(|handle| !summary.entries.iter().any(|theirs| theirs.handle == *handle)),
            );
        }
        // Fewer differences are what is under way anyhow; hurrying for them would cost more than they do.
        if summary.groups.len() >= GROUPS_PER_SUMMARY {
            self.next_digest = self.next_digest.min(now + HURRIED_DIGEST);
        }
        self.send_copies(&newer_here, from, now, outgoing);
        wanted.truncate(PAYLOAD_BYTES / (size_of::<SubjectHandle>() + 1));
        if !wanted.is_empty() {
            self.send_spread(from, vec![Part::Want(wanted)], Reach::Zone, now, outgoing);
        }
    }

    pub(super) fn answer_want(
        &mut self,
        handles: &[SubjectHandle],
        from: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        self.send_copies(handles, from, now, outgoing);
    }

    pub(super) fn send_copy(
        &mut self,
        handle: SubjectHandle,
        to: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        self.send_copies(&[handle], to, now, outgoing);
    }

    fn send_copies(
        &mut self,
        handles: &[SubjectHandle],
        to: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        let known: Vec<SubjectHandle> = handles
            .iter()
            .copied()
            .filter(|handle| self.store.held(*handle).is_some())
            .collect();
        let mut left = known.as_slice();
        for _ in 0..COPIES_PER_DIGEST {
            let facts = left.iter().filter_map(|handle| self.store.fact(*handle, now));
            let (facts, _) = fill(facts, PAYLOAD_BYTES);
            if facts.is_empty() {
                return;
            }
            left = left.get(facts.len()..).unwrap_or_default();
            if !self.send_spread(to, vec![Part::Copies(facts)], Reach::Zone, now, outgoing) {
                return;
            }
        }
    }

    /// Sends one datagram if the budget allows.
    pub(super) fn send_spread(
        &mut self,
        to: SocketAddr,
        parts: Vec<Part>,
        distance: Reach,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) -> bool {
        let datagram = Datagram {
            format: FORMAT,
            sender: self.sender(now),
            parts,
        };
        let bytes = encode(&datagram);
        let cost = u64::try_from(bytes.len()).unwrap_or(u64::MAX) + HEADER_BYTES;
        if bytes.len() > MAXIMUM_DATAGRAM_BYTES || !self.spread_bucket.take(cost, now) {
            self.counters.held_back += 1;
            return false;
        }
        self.count_sent(cost, distance);
        outgoing.push(Outgoing { to, bytes });
        true
    }

    pub(super) fn count_sent(&mut self, cost: u64, distance: Reach) {
        self.counters.datagrams_out += 1;
        self.counters.bytes_out += cost;
        if distance == Reach::Everywhere {
            self.counters.bytes_out_far += cost;
        }
    }
}

/// Takes items while their encoded bytes fit; gives them and their bytes.
fn fill<T: serde::Serialize>(items: impl Iterator<Item = T>, limit: usize) -> (Vec<T>, usize) {
    let mut taken = Vec::new();
    let mut used = 0;
    for item in items {
        let bytes = encode(&item).len();
        if bytes > limit {
            // Would never fit; it must not keep back what waits behind it.
            continue;
        }
        if used + bytes > limit {
            break;
        }
        used += bytes;
        taken.push(item);
    }
    (taken, used)
}
