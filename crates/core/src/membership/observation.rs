//! Engines that this node watches, and what it publishes about them.

use super::beat::{CompactLoad, LoadBeat, Reach};
use super::detector::{Belief, DetectorLimits, Watch};
use super::gossiper::Gossiper;
use super::record::{EngineRecord, Liveness, Record, RecordBody, RecordKey, RecordVersion};
use super::rendezvous::{WATCHERS_PER_ENGINE, rank};
use super::store::Merged;
use super::subject::SubjectHandle;
use super::view::{liveness, strip_load};
use crate::engine::EngineStatus;
use crate::identity::EngineId;
use crate::machine::MachineService;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes of one load beat on the wire, rounded up.
const LOAD_BEAT_BYTES: u64 = 18;

/// Load intervals that the second watcher waits before it publishes in place of the first.
const DEPUTY_INTERVALS: u32 = 3;

/// Times that the second watcher of an engine waits longer between questions than the first.
const DEPUTY_PATIENCE: u32 = 3;

/// Nodes from which on the budgets hold as they are set.
const LARGE_FLEET_NODES: u64 = 100;

/// Longer than any silence; stands for "not silent".
const NEVER: Duration = Duration::from_secs(u32::MAX as u64);

/// What came of asking an engine for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It answered.
    Answered(EngineStatus),
    /// It did not.
    Missed,
}

/// One engine to ask for its status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchedEngine {
    /// The engine.
    pub engine: EngineId,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Whether this node is the first of the watchers.
    pub first: bool,
    /// Time until it should be asked again.
    pub interval: Duration,
}

/// One engine that this node watches.
#[derive(Clone, Debug)]
pub struct EngineWatch {
    pub(super) watch: Watch,
    missed: u32,
    first: bool,
    engine: EngineId,
    address: SocketAddr,
    next_load: MonotonicTime,
}

impl Gossiper {
    /// Engines that this node should ask for their status, and how often.
    pub fn watched_engines(&mut self, now: MonotonicTime) -> Vec<WatchedEngine> {
        self.refresh_engine_watches(now);
        let interval = self.poll_interval();
        let hurried = Duration::from_millis(self.config.load_interval_millis);
        let watches = self.engine_watches.iter();
        watches
            .map(|(handle, watch)| {
                let accused = self.store.held(*handle).map(|fact| liveness(&fact.record));
                let in_doubt = watch.missed > 0 || accused == Some(Liveness::Suspect);
                WatchedEngine {
                    engine: watch.engine.clone(),
                    address: watch.address,
                    first: watch.first,
                    interval: match (in_doubt, watch.first) {
                        (true, _) => hurried,
                        (false, true) => interval,
                        (false, false) => interval * DEPUTY_PATIENCE,
                    },
                }
            })
            .collect()
    }

    /// Takes in what came of asking a watched engine.
    pub fn observe_engine(&mut self, engine: &EngineId, observation: Observation, now: MonotonicTime) {
        let key = RecordKey::Engine(engine.clone());
        let handle = SubjectHandle::of(&key);
        let load_interval = self.load_interval();
        let Some(watch) = self.engine_watches.get_mut(&handle) else {
            return;
        };
        let Observation::Answered(status) = observation else {
            watch.missed = watch.missed.saturating_add(1);
            return;
        };
        watch.missed = 0;
        watch.watch.contact(now);
        let due = now >= watch.next_load;
        let first = watch.first;
        if due {
            watch.next_load = now + load_interval;
        }
        let load = CompactLoad::of(&status.load);
        self.publish_status(handle, status, now);
        if due && (first || self.load_is_old(handle, load_interval * DEPUTY_INTERVALS, now)) {
            self.publish_load(handle, load, now);
        }
    }

    /// Time between two load beats of an engine; grows with the zone so that the bytes a second stay the same.
    pub fn load_interval(&self) -> Duration {
        let engines = u64::try_from(self.zone_engine_count()).unwrap_or(u64::MAX);
        let bytes = engines * LOAD_BEAT_BYTES * u64::from(self.config.beat_sends);
        self.interval_for(bytes, self.config.load_bytes_per_second)
    }

    /// Time between two status questions to one engine; grows with the engines watched, so that the bytes stay the
    /// same. The second watcher of an engine asks less often; it is there to confirm a death.
    pub fn poll_interval(&self) -> Duration {
        let (first, second): (Vec<&EngineWatch>, Vec<&EngineWatch>) =
            self.engine_watches.values().partition(|watch| watch.first);
        let asked = first.len() * DEPUTY_PATIENCE as usize + second.len();
        let bytes = u64::try_from(asked).unwrap_or(u64::MAX) * self.config.poll_bytes;
        self.interval_for(
            bytes / u64::from(DEPUTY_PATIENCE),
            self.config.poll_bytes_per_second,
        )
    }

    /// Time over which the bytes keep to a budget. A fleet below the size the budgets are made for may spend more
    /// on fresh reports, in proportion.
    fn interval_for(&self, bytes: u64, bytes_per_second: u64) -> Duration {
        let nodes = u64::try_from(self.peers.len() + 1).unwrap_or(u64::MAX);
        let budget = bytes_per_second * LARGE_FLEET_NODES.max(nodes) / nodes;
        let millis = bytes * 1_000 / budget.max(1);
        Duration::from_millis(millis.max(self.config.load_interval_millis))
    }

    fn zone_engine_count(&self) -> usize {
        self.engines_built_at
            .map(|(_, engines)| engines)
            .unwrap_or_default()
    }

    fn publish_status(&mut self, handle: SubjectHandle, status: EngineStatus, now: MonotonicTime) {
        let Some(held) = self.store.held(handle) else {
            return;
        };
        let RecordBody::Engine(engine) = &held.record.body else {
            return;
        };
        let held_version = held.record.version;
        if status.incarnation < held_version.incarnation {
            return;
        }
        let restarted = status.incarnation > held_version.incarnation;
        let version = RecordVersion {
            incarnation: status.incarnation,
            sequence: if restarted { 1 } else { held_version.sequence + 1 },
        };
        let body = EngineRecord {
            liveness: Liveness::Alive,
            status: Some(status),
            ..engine.clone()
        };
        let mut record = Record {
            key: held.record.key.clone(),
            version,
            age_millis: 0,
            body: RecordBody::Engine(body),
        };
        strip_load(&mut record);
        if record.body != held.record.body || restarted {
            self.write(record, now);
        }
    }

    fn load_is_old(&self, handle: SubjectHandle, limit: Duration, now: MonotonicTime) -> bool {
        let beat = self.store.load_beat(handle, now);
        beat.is_none_or(|beat| Duration::from_millis(u64::from(beat.age_tenths) * 100) > limit)
    }

    fn publish_load(&mut self, engine: SubjectHandle, load: CompactLoad, now: MonotonicTime) {
        let held = self
            .store
            .load_beat(engine, now)
            .map(|beat| beat.sequence)
            .unwrap_or_default();
        let beat = LoadBeat {
            engine,
            sequence: held.wrapping_add(1),
            age_tenths: 0,
            load,
        };
        if self.store.merge_load(beat, now) == Merged::Newer {
            self.loads
                .push(engine, self.config.beat_sends, Reach::of(beat.sequence));
        }
    }

    /// Chooses anew which engines this node watches, when the records or the members changed.
    pub(super) fn refresh_engine_watches(&mut self, now: MonotonicTime) {
        if self
            .engines_built_at
            .is_some_and(|(position, _)| position == self.store.facts_position())
        {
            return;
        }
        let candidates = self.task_candidates();
        let mut watches = BTreeMap::new();
        let mut zone_engines = 0;
        for (handle, fact) in self.store.facts() {
            let (RecordKey::Engine(engine), RecordBody::Engine(body)) = (&fact.record.key, &fact.record.body)
            else {
                continue;
            };
            if body.zone != self.identity.zone {
                continue;
            }
            zone_engines += 1;
            let Some(address) = engine_address(body.service) else {
                continue;
            };
            let Some(rank) = rank(handle, self.own, &candidates, WATCHERS_PER_ENGINE) else {
                continue;
            };
            let kept = self
                .engine_watches
                .remove(&handle)
                .filter(|kept| kept.address == address);
            let mut watch = kept.unwrap_or_else(|| EngineWatch {
                watch: Watch::begin(now),
                missed: 0,
                first: false,
                engine: engine.clone(),
                address,
                next_load: now,
            });
            watch.first = rank == 0;
            watches.insert(handle, watch);
        }
        self.engine_watches = watches;
        self.engines_built_at = Some((self.store.facts_position(), zone_engines));
    }

    /// Nodes of the own zone that can be given a task: this one and those that live and stay.
    pub(super) fn task_candidates(&self) -> Vec<SubjectHandle> {
        let stays = |handle: &SubjectHandle| {
            let held = self.store.held(*handle);
            held.is_some_and(|fact| matches!(liveness(&fact.record), Liveness::Alive | Liveness::Suspect))
        };
        let peers = self.peers.zone_peers().iter().map(|peer| peer.handle);
        let mut candidates: Vec<SubjectHandle> = peers.filter(stays).collect();
        if self.own_liveness == Liveness::Alive || candidates.is_empty() {
            candidates.push(self.own);
        }
        candidates
    }

    pub(super) fn judge_engines(&mut self, now: MonotonicTime) {
        let base = self.limits();
        let own = self.own;
        let mut verdicts = Vec::new();
        for (handle, watch) in &mut self.engine_watches {
            let (Some(fact), Some(held_since)) = (self.store.held(*handle), self.store.held_since(*handle))
            else {
                continue;
            };
            let silent = watch.missed >= self.config.missed_polls;
            let limits = DetectorLimits {
                suspect_after: if silent { base.suspect_after } else { NEVER },
                ..base
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
        for (handle, verdict) in verdicts {
            self.write_verdict(handle, verdict, now);
        }
    }
}

/// Address of an engine; absent for a node.
pub fn engine_address(service: MachineService) -> Option<SocketAddr> {
    match service {
        MachineService::Node { .. } => None,
        MachineService::ModelEngine { address } | MachineService::ApplicationEngine { address } => {
            Some(address)
        }
    }
}
