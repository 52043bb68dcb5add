//! What a node does with what others tell it.

use super::beat::{LoadBeat, NodeBeat, Reach};
use super::events::{GossipEvent, Outgoing};
use super::gossiper::Gossiper;
use super::record::{Liveness, RecordBody};
use super::store::Merged;
use super::subject::SubjectHandle;
use super::view::liveness;
use super::wire::{Fact, Head, Part, Sender};
use crate::time::MonotonicTime;
use std::net::SocketAddr;
use std::time::Duration;

/// Silence of a zone after which the next datagram from it starts a comparison of facts.
const ZONE_SILENCE: Duration = Duration::from_secs(5);

/// Time between two bulk transfers to one node.
const BULK_INTERVAL: Duration = Duration::from_secs(2);

impl Gossiper {
    /// Every fact with its present age, for a peer that fetches in bulk.
    pub fn bulk(&self, now: MonotonicTime) -> Vec<Fact> {
        let handles: Vec<SubjectHandle> = self.store.facts().map(|(handle, _)| handle).collect();
        handles
            .into_iter()
            .filter_map(|handle| self.store.fact(handle, now))
            .collect()
    }

    /// Takes in what was fetched in bulk. Others fetch for themselves, so nothing of it is passed on.
    pub fn merge_bulk(&mut self, facts: Vec<Fact>, now: MonotonicTime) {
        self.merge_facts(facts, 0, now);
    }

    /// Asks for a bulk transfer, unless one was asked for just now.
    pub(super) fn ask_for_bulk(&mut self, from: SocketAddr, now: MonotonicTime) {
        if now >= self.next_bulk {
            self.next_bulk = now + BULK_INTERVAL;
            self.next_digest = self.next_digest.min(now + BULK_INTERVAL);
            self.events.push(GossipEvent::FactsDiffer { from });
        }
    }

    pub(super) fn merge_facts(&mut self, facts: Vec<Fact>, sends: u8, now: MonotonicTime) {
        for fact in facts {
            let handle = SubjectHandle::of(&fact.record.key);
            if handle == self.own {
                self.hear_about_self(fact, now);
                continue;
            }
            match self.store.merge(fact, now) {
                Merged::Newer => {
                    self.counters.facts_new += 1;
                    if sends > 0 {
                        self.push_fact(handle, sends, now);
                    }
                }
                Merged::Known => self.counters.facts_known += 1,
                Merged::Older => {
                    // The sender is behind; what is held here is pushed once more and reaches it by chance or digest.
                    self.counters.facts_known += 1;
                }
                Merged::Refused => {}
            }
        }
    }

    /// Refutes what others say of this node, except that its machine is to be taken away.
    fn hear_about_self(&mut self, fact: Fact, now: MonotonicTime) {
        let Some(held) = self.store.held(self.own) else {
            return;
        };
        let echo = fact.record.version == held.record.version && fact.record.body == held.record.body;
        if echo || fact.record.version < held.record.version {
            return;
        }
        if fact.record.version.incarnation > self.identity.incarnation {
            self.identity.incarnation = fact.record.version.incarnation + 1;
            self.own_sequence = 0;
        } else {
            self.own_sequence = self.own_sequence.max(fact.record.version.sequence);
        }
        let same_process = fact.record.version.incarnation == self.identity.incarnation;
        if same_process && liveness(&fact.record) == Liveness::Leaving && self.own_liveness == Liveness::Alive
        {
            self.own_liveness = Liveness::Leaving;
            self.events.push(GossipEvent::OwnMachineLeaving);
        }
        self.counters.refutations += 1;
        self.publish_own(now);
    }

    pub(super) fn merge_loads(&mut self, loads: Vec<LoadBeat>, now: MonotonicTime) {
        for beat in loads {
            match self.store.merge_load(beat, now) {
                Merged::Newer => {
                    self.counters.loads_new += 1;
                    self.loads
                        .push(beat.engine, self.config.beat_sends, Reach::of(beat.sequence));
                }
                Merged::Known | Merged::Older => self.counters.loads_known += 1,
                Merged::Refused => {}
            }
        }
    }

    pub(super) fn merge_node_beats(&mut self, beats: Vec<NodeBeat>, now: MonotonicTime) {
        for beat in beats.into_iter().filter(|beat| beat.node != self.own) {
            if self.store.merge_node_beat(beat, now) == Merged::Newer {
                self.beats
                    .push(beat.node, self.config.beat_sends, Reach::of(beat.sequence));
            }
        }
    }

    pub(super) fn hear_head(&mut self, head: Head, from: SocketAddr) {
        if head.generation > self.generation() {
            self.events.push(GossipEvent::HeadHeard { head, from });
        }
    }

    /// Learns from the mere arrival of a datagram: contact, confirmation, and who is behind.
    pub(super) fn note_sender(
        &mut self,
        sender: Sender,
        from: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if sender.generation < self.generation()
            && let Some(head) = self.head
        {
            self.send_spread(from, vec![Part::Head(head)], Reach::Zone, now, outgoing);
        }
        let Some(fact) = self.store.held(sender.handle) else {
            return;
        };
        let RecordBody::Node(node) = &fact.record.body else {
            return;
        };
        let zone = node.zone.clone();
        if fact.record.version.incarnation == sender.incarnation
            && let Some(watch) = self.node_watches.get_mut(&sender.handle)
        {
            watch.watch.contact(now);
        }
        let foreign = zone != self.identity.zone;
        self.note_confirmation(sender, foreign, now);
        let heard = self.zones_heard.insert(zone, now);
        let after_silence = heard.is_none_or(|heard| now.since(heard) >= ZONE_SILENCE);
        if foreign && after_silence {
            let digest = Part::Digest(self.store.digest());
            self.send_spread(from, vec![digest], Reach::Everywhere, now, outgoing);
        }
    }

    /// A node of another zone at the same generation confirms it now; one of this zone passes on what it knows.
    fn note_confirmation(&mut self, sender: Sender, foreign: bool, now: MonotonicTime) {
        if now < self.confirms_from || self.head.is_none() || sender.generation != self.generation() {
            return;
        }
        if foreign {
            self.confirmed_at = Some(now);
        } else if sender.confirmed_tenths < u16::MAX {
            let age = Duration::from_millis(u64::from(sender.confirmed_tenths) * 100);
            self.confirmed_at = self.confirmed_at.max(now.earlier(age));
        }
    }
}
