//! Probes between the nodes of a zone, and what their silence leads to.

use super::beat::Reach;
use super::budget::HEADER_BYTES;
use super::detector::{Belief, Watch};
use super::events::Outgoing;
use super::gossiper::Gossiper;
use super::peers::Peer;
use super::record::{Liveness, RecordBody};
use super::rendezvous::{WATCHERS_PER_NODE, rank};
use super::subject::{SubjectHandle, mix};
use super::view::{liveness, set_liveness};
use super::wire::{Datagram, FORMAT, Part, Sender, encode};
use crate::identity::ZoneId;
use crate::time::MonotonicTime;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// One node that this node probes.
#[derive(Clone, Debug)]
pub struct NodeWatch {
    pub(super) watch: Watch,
    pub(super) address: SocketAddr,
    pub(super) incarnation: u64,
    pub(super) next_probe: MonotonicTime,
}

impl Gossiper {
    /// Nodes that this node probes.
    pub fn watched_nodes(&self) -> impl Iterator<Item = SubjectHandle> {
        self.node_watches.keys().copied()
    }

    pub(super) fn refresh_members(&mut self, now: MonotonicTime) {
        if self
            .peers
            .refresh(self.own, &self.identity.zone, &self.regions, &self.store)
        {
            self.choose_watched_nodes(now);
        }
    }

    fn choose_watched_nodes(&mut self, now: MonotonicTime) {
        let (zones, everyone) = self.living_by_zone();
        let mut watches = BTreeMap::new();
        for peer in self.peers.all() {
            let Some((zone, incarnation)) = self.zone_and_incarnation(peer.handle) else {
                continue;
            };
            let near = zones.get(&zone).map(Vec::as_slice).unwrap_or_default();
            let near: Vec<SubjectHandle> = near
                .iter()
                .copied()
                .filter(|other| *other != peer.handle)
                .collect();
            let enough = near.len() >= WATCHERS_PER_NODE;
            if enough && zone != self.identity.zone {
                continue;
            }
            // A zone with too few nodes is watched by the others too, or nobody could confirm a death there.
            let watchers = if enough { near } else { everyone.clone() };
            let watchers: Vec<SubjectHandle> = watchers
                .into_iter()
                .filter(|other| *other != peer.handle)
                .collect();
            if rank(peer.handle, self.own, &watchers, WATCHERS_PER_NODE).is_none() {
                continue;
            }
            let kept = self.node_watches.remove(&peer.handle);
            let kept = kept.filter(|kept| kept.incarnation == incarnation && kept.address == peer.address);
            let watch = kept.unwrap_or_else(|| self.begin_node_watch(peer, incarnation, now));
            watches.insert(peer.handle, watch);
        }
        self.node_watches = watches;
    }

    /// Nodes that can watch, this one included, by zone and all together.
    ///
    /// A suspect is not among them: of several nodes that die together, those left watch each other's dead.
    fn living_by_zone(&self) -> (BTreeMap<ZoneId, Vec<SubjectHandle>>, Vec<SubjectHandle>) {
        let mut zones: BTreeMap<ZoneId, Vec<SubjectHandle>> = BTreeMap::new();
        let mut everyone = Vec::new();
        for (handle, fact) in self.store.facts() {
            if let RecordBody::Node(node) = &fact.record.body
                && matches!(node.liveness, Liveness::Alive | Liveness::Leaving)
            {
                zones.entry(node.zone.clone()).or_default().push(handle);
                everyone.push(handle);
            }
        }
        (zones, everyone)
    }

    fn zone_and_incarnation(&self, handle: SubjectHandle) -> Option<(ZoneId, u64)> {
        let fact = self.store.held(handle)?;
        match &fact.record.body {
            RecordBody::Node(node) => Some((node.zone.clone(), fact.record.version.incarnation)),
            RecordBody::Engine(_) => None,
        }
    }

    fn begin_node_watch(&self, peer: Peer, incarnation: u64, now: MonotonicTime) -> NodeWatch {
        // Watches that begin together must not probe together.
        let spread = mix(peer.handle.number() ^ self.own.number()) % self.config.probe_interval_millis;
        let next_probe = now + Duration::from_millis(spread);
        NodeWatch {
            watch: Watch::begin(now),
            address: peer.address,
            incarnation,
            next_probe,
        }
    }

    fn is_living(&self, handle: SubjectHandle) -> bool {
        self.store
            .held(handle)
            .is_some_and(|fact| liveness(&fact.record) != Liveness::Dead)
    }

    pub(super) fn probe_when_due(&mut self, now: MonotonicTime, outgoing: &mut Vec<Outgoing>) {
        let interval = Duration::from_millis(self.config.probe_interval_millis);
        let mut due = Vec::new();
        for (handle, watch) in &mut self.node_watches {
            if now < watch.next_probe {
                continue;
            }
            watch.next_probe = now + interval;
            // A peer that was just heard needs no probe.
            if now.since(watch.watch.last_contact()) * 2 >= interval {
                due.push((*handle, watch.address));
            }
        }
        for (target, address) in due {
            self.send_probe(address, Part::Probe { target }, now, outgoing);
        }
    }

    pub(super) fn answer_probe(
        &mut self,
        target: SubjectHandle,
        sender: Sender,
        from: SocketAddr,
        now: MonotonicTime,
        outgoing: &mut Vec<Outgoing>,
    ) {
        if target != self.own {
            return;
        }
        self.send_probe(from, Part::ProbeAnswer, now, outgoing);
        let accused = self.store.held(sender.handle).map(|fact| liveness(&fact.record));
        if matches!(accused, Some(Liveness::Suspect | Liveness::Dead) | None) {
            // The sender lives; it learns from this fact what is said of it and refutes.
            self.send_copy(sender.handle, from, now, outgoing);
        }
    }

    pub(super) fn judge_nodes(&mut self, now: MonotonicTime) {
        let limits = self.limits();
        let own = self.own;
        let mut verdicts = Vec::new();
        for (handle, watch) in &mut self.node_watches {
            let (Some(fact), Some(held_since)) = (self.store.held(*handle), self.store.held_since(*handle))
            else {
                continue;
            };
            let belief = Belief {
                liveness: liveness(&fact.record),
                observer: fact.observer,
                held_since,
            };
            if let Some(verdict) = watch.watch.verdict(own, belief, &limits, now) {
                verdicts.push((*handle, verdict));
            }
        }
        if !verdicts.is_empty() && self.hears_nobody(now) {
            return;
        }
        for (handle, verdict) in verdicts {
            self.write_verdict(handle, verdict, now);
        }
    }

    /// A node that none of several watched nodes answers is itself cut off, and accuses nobody.
    fn hears_nobody(&self, now: MonotonicTime) -> bool {
        let limits = self.limits();
        let living: BTreeSet<SubjectHandle> = self
            .node_watches
            .keys()
            .copied()
            .filter(|handle| self.is_living(*handle))
            .collect();
        let heard = living.iter().filter_map(|handle| self.node_watches.get(handle));
        let mut heard = heard.filter(|watch| now.since(watch.watch.last_contact()) < limits.suspect_after);
        living.len() > 1 && heard.next().is_none()
    }

    pub(super) fn write_verdict(&mut self, handle: SubjectHandle, verdict: Liveness, now: MonotonicTime) {
        let Some(fact) = self.store.held(handle) else {
            return;
        };
        let mut record = fact.record.clone();
        record.version.sequence += 1;
        record.age_millis = 0;
        set_liveness(&mut record, verdict);
        self.write(record, now);
    }

    fn send_probe(&mut self, to: SocketAddr, part: Part, now: MonotonicTime, outgoing: &mut Vec<Outgoing>) {
        let datagram = Datagram {
            format: FORMAT,
            sender: self.sender(now),
            parts: vec![part],
        };
        let bytes = encode(&datagram);
        let cost = u64::try_from(bytes.len()).unwrap_or(u64::MAX) + HEADER_BYTES;
        if !self.probe_bucket.take(cost, now) {
            self.counters.held_back += 1;
            return;
        }
        self.count_sent(cost, Reach::Zone);
        outgoing.push(Outgoing { to, bytes });
    }
}
