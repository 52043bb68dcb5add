//! The membership of one node as a state machine: what comes in is merged, what must travel goes out.

use super::beat::{NodeBeat, Reach};
use super::budget::TokenBucket;
use super::config::MembershipConfig;
use super::detector::DetectorLimits;
use super::events::{GossipCounters, GossipEvent, Outgoing, OwnNode};
use super::observation::EngineWatch;
use super::peers::{PeerTable, Regions};
use super::probing::NodeWatch;
use super::record::{Liveness, RecordKey};
use super::spread::SpreadQueue;
use super::store::{Changes, Merged, RecordStore};
use super::subject::SubjectHandle;
use super::wire::{Datagram, Head, Part, Rubbish, Sender, decode};
use crate::identity::{Generation, ZoneId};
use crate::time::MonotonicTime;
use rand::RngCore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between searches for dead subjects to forget.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Gap between ticks, beyond the interval, that shows that this process stood still.
const PAUSE_TOLERANCE: Duration = Duration::from_millis(1_500);

/// Time after a pause of this process in which what lay in its socket is read.
const PAUSE_DRAIN: Duration = Duration::from_secs(1);

/// Bytes of one node beat on the wire, rounded up.
const NODE_BEAT_BYTES: u64 = 12;

/// Part of the load budget that node beats may take.
const NODE_BEAT_SHARE: u64 = 8;

/// Longest time to the next digest after a difference was found or a fact was given up.
pub(super) const HURRIED_DIGEST: Duration = Duration::from_millis(1_000);

/// Seconds of their budgets that beats and probes may use at once after a quiet time.
pub const BURST_SECONDS: u64 = 4;

/// Shortest time between two node beats of this node.
const NODE_BEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Membership of one node.
#[derive(Clone, Debug)]
pub struct Gossiper {
    pub(super) config: MembershipConfig,
    pub(super) identity: OwnNode,
    pub(super) own: SubjectHandle,
    pub(super) own_sequence: u64,
    pub(super) own_liveness: Liveness,
    pub(super) store: RecordStore,
    pub(super) peers: PeerTable,
    pub(super) regions: Regions,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) facts: SpreadQueue,
    pub(super) loads: SpreadQueue,
    pub(super) beats: SpreadQueue,
    pub(super) head: Option<Head>,
    pub(super) head_sends: u8,
    pub(super) confirmed_at: Option<MonotonicTime>,
    pub(super) spread_bucket: TokenBucket,
    pub(super) beat_bucket: TokenBucket,
    pub(super) probe_bucket: TokenBucket,
    pub(super) node_watches: BTreeMap<SubjectHandle, NodeWatch>,
    pub(super) engine_watches: BTreeMap<SubjectHandle, EngineWatch>,
    pub(super) zones_heard: BTreeMap<ZoneId, MonotonicTime>,
    pub(super) listed_live: BTreeMap<SubjectHandle, MonotonicTime>,
    pub(super) engines_built_at: Option<(u64, usize)>,
    pub(super) next_digest: MonotonicTime,
    pub(super) next_beat: MonotonicTime,
    pub(super) next_bulk: MonotonicTime,
    pub(super) next_forget: MonotonicTime,
    pub(super) started: MonotonicTime,
    pub(super) last_tick: MonotonicTime,
    pub(super) confirms_from: MonotonicTime,
    pub(super) ticks: u64,
    pub(super) beat_sequence: u32,
    pub(super) events: Vec<GossipEvent>,
    pub(super) counters: GossipCounters,
}

impl Gossiper {
    /// A node that knows itself and the addresses of some others.
    pub fn new(
        config: MembershipConfig,
        identity: OwnNode,
        seeds: Vec<SocketAddr>,
        now: MonotonicTime,
    ) -> Self {
        let own = SubjectHandle::of(&RecordKey::Node(identity.node.clone()));
        let spread_bucket = TokenBucket::new(config.spread_bytes_per_second, config.spread_burst_bytes, now);
        let probe_burst = config.probe_bytes_per_second * BURST_SECONDS;
        let probe_bucket = TokenBucket::new(config.probe_bytes_per_second, probe_burst, now);
        let beat_burst = config.beat_bytes_per_second * BURST_SECONDS;
        let beat_bucket = TokenBucket::new(config.beat_bytes_per_second, beat_burst, now);
        let regions = Regions::from([(identity.zone.clone(), identity.region.clone())]);
        let mut gossiper = Self {
            own,
            own_sequence: 0,
            own_liveness: Liveness::Alive,
            store: RecordStore::new(),
            peers: PeerTable::default(),
            regions,
            seeds: Vec::new(),
            facts: SpreadQueue::default(),
            loads: SpreadQueue::default(),
            beats: SpreadQueue::default(),
            head: None,
            head_sends: 0,
            confirmed_at: None,
            spread_bucket,
            beat_bucket,
            probe_bucket,
            node_watches: BTreeMap::new(),
            engine_watches: BTreeMap::new(),
            zones_heard: BTreeMap::new(),
            listed_live: BTreeMap::new(),
            engines_built_at: None,
            next_digest: now,
            next_beat: now,
            next_bulk: now,
            next_forget: now + FORGET_INTERVAL,
            started: now,
            last_tick: now,
            confirms_from: now,
            ticks: 0,
            beat_sequence: 0,
            events: Vec::new(),
            counters: GossipCounters::default(),
            config,
            identity,
        };
        gossiper.add_seeds(seeds);
        gossiper.publish_own(now);
        gossiper
    }

    /// Does what is due; to be called every [`MembershipConfig::tick_millis`].
    pub fn tick(&mut self, now: MonotonicTime, random: &mut dyn RngCore) -> Vec<Outgoing> {
        self.forgive_own_pause(now);
        self.ticks += 1;
        self.refresh_members(now);
        self.publish_beat_when_due(now);
        let mut outgoing = Vec::new();
        self.probe_when_due(now, &mut outgoing);
        self.judge_nodes(now);
        self.judge_engines(now);
        self.spread_due(now, random, &mut outgoing);
        self.digest_when_due(now, random, &mut outgoing);
        if now >= self.next_forget {
            self.next_forget = now + FORGET_INTERVAL;
            self.store
                .forget(Duration::from_millis(self.config.retention_millis), now);
        }
        outgoing
    }

    /// Takes in one datagram, whatever it holds.
    pub fn datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Result<Vec<Outgoing>, Rubbish> {
        self.distrust_after_pause(now);
        self.counters.datagrams_in += 1;
        self.counters.bytes_in +=
            u64::try_from(bytes.len()).unwrap_or(u64::MAX) + super::budget::HEADER_BYTES;
        let datagram = decode(bytes).and_then(|datagram| {
            if datagram.sender.handle == self.own {
                Err(Rubbish::Echo)
            } else {
                Ok(datagram)
            }
        });
        let datagram = datagram.inspect_err(|_| self.counters.rubbish += 1)?;
        Ok(self.accept(from, datagram, now, random))
    }

    fn accept(
        &mut self,
        from: SocketAddr,
        datagram: Datagram,
        now: MonotonicTime,
        random: &mut dyn RngCore,
    ) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        for part in datagram.parts {
            match part {
                Part::Probe { target } => {
                    self.answer_probe(target, datagram.sender, from, now, &mut outgoing)
                }
                Part::ProbeAnswer => {}
                Part::Facts(facts) => self.merge_facts(facts, self.config.fact_sends, now),
                Part::Copies(facts) => self.merge_facts(facts, self.copy_sends(now), now),
                Part::Loads(loads) => self.merge_loads(loads, now),
                Part::Nodes(beats) => self.merge_node_beats(beats, now),
                Part::Head(head) => self.hear_head(head, from),
                Part::Digest(digest) => self.answer_digest(&digest, from, now, random, &mut outgoing),
                Part::Summary(summary) => self.answer_summary(&summary, from, now, &mut outgoing),
                Part::FarApart => self.ask_for_bulk(from, now),
                Part::Want(handles) => self.answer_want(&handles, from, now, &mut outgoing),
            }
        }
        self.note_sender(datagram.sender, from, now, &mut outgoing);
        outgoing
    }

    /// Publishes that this node stops on purpose, or is to be taken away.
    pub fn leave(&mut self, now: MonotonicTime) {
        if self.own_liveness != Liveness::Leaving {
            self.own_liveness = Liveness::Leaving;
            self.publish_own(now);
        }
    }

    /// Takes over a checked head; a lower generation changes nothing.
    pub fn set_head(&mut self, head: Head) {
        if self.generation() < head.generation {
            self.head = Some(head);
            self.head_sends = self.config.fact_sends;
            self.next_beat = MonotonicTime::default();
        }
    }

    /// Notes that the store, asked at `asked_at`, confirmed the present head as current.
    pub fn confirm_head(&mut self, asked_at: MonotonicTime) {
        self.confirmed_at = self.confirmed_at.max(Some(asked_at));
    }

    /// Time since the store or a node of another zone confirmed the head; absent when none has.
    pub fn head_confirmed_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }

    /// Generation in force here.
    pub fn generation(&self) -> Generation {
        self.head.map(|head| head.generation).unwrap_or_default()
    }

    /// Events since the last call.
    pub fn take_events(&mut self) -> Vec<GossipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Counts since the start.
    pub fn counters(&self) -> GossipCounters {
        self.counters
    }

    /// Everything known.
    pub fn store(&self) -> &RecordStore {
        &self.store
    }

    /// Records that changed after a position, for a reader that keeps the position.
    pub fn changes_since(&self, position: u64, now: MonotonicTime) -> Changes {
        self.store.changes_since(position, now)
    }

    /// Other zones and the time since anything came straight from there.
    pub fn zone_silences(&self, now: MonotonicTime) -> Vec<(ZoneId, Duration)> {
        self.zones_heard
            .iter()
            .map(|(zone, heard)| (zone.clone(), now.since(*heard)))
            .collect()
    }

    /// This node's handle.
    pub fn own_handle(&self) -> SubjectHandle {
        self.own
    }

    pub(super) fn limits(&self) -> DetectorLimits {
        DetectorLimits {
            suspect_after: Duration::from_millis(self.config.suspect_after_millis),
            confirm_after: Duration::from_millis(self.config.confirm_after_millis),
        }
    }

    pub(super) fn sender(&self, now: MonotonicTime) -> Sender {
        let age = self.head_confirmed_age(now).map(|age| age.as_millis() / 100);
        let confirmed_tenths = age
            .and_then(|tenths| u16::try_from(tenths).ok())
            .unwrap_or(u16::MAX);
        Sender {
            handle: self.own,
            incarnation: self.identity.incarnation,
            generation: self.generation(),
            confirmed_tenths,
        }
    }

    fn copy_sends(&self, now: MonotonicTime) -> u8 {
        let joining = now.since(self.started) < FORGET_INTERVAL;
        if joining { 0 } else { 1 }
    }

    /// Lets datagrams confirm nothing for a while after a pause: they may have lain in the socket since it began.
    fn distrust_after_pause(&mut self, now: MonotonicTime) {
        if now.since(self.last_tick) >= self.longest_tick() {
            self.confirms_from = now + PAUSE_DRAIN;
        }
    }

    /// Time between two ticks from which on this process counts as having been paused.
    fn longest_tick(&self) -> Duration {
        PAUSE_TOLERANCE + Duration::from_millis(self.config.tick_millis)
    }

    fn forgive_own_pause(&mut self, now: MonotonicTime) {
        self.distrust_after_pause(now);
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap < self.longest_tick() {
            return;
        }
        for watch in self.node_watches.values_mut() {
            watch.watch.forgive(gap);
        }
        for watch in self.engine_watches.values_mut() {
            watch.watch.forgive(gap);
        }
    }

    fn publish_beat_when_due(&mut self, now: MonotonicTime) {
        if now < self.next_beat {
            return;
        }
        let members = u64::try_from(self.peers.zone_peers().len() + 1).unwrap_or(u64::MAX);
        let sends = u64::from(self.config.beat_sends);
        let share = (self.config.load_bytes_per_second / NODE_BEAT_SHARE).max(1);
        let interval = Duration::from_millis(members * NODE_BEAT_BYTES * sends * 1_000 / share);
        self.next_beat = now + interval.max(NODE_BEAT_INTERVAL);
        self.beat_sequence += 1;
        let beat = NodeBeat {
            node: self.own,
            sequence: self.beat_sequence,
            age_tenths: 0,
            generation: self.generation(),
        };
        if self.store.merge_node_beat(beat, now) == Merged::Newer {
            self.beats
                .push(self.own, self.config.beat_sends, Reach::of(beat.sequence));
        }
    }
}
