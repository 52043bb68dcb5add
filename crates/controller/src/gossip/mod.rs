//! Membership over UDP: one thread feeds the state machine of `core` with datagrams and ticks.

mod runner;
mod transport;

pub use transport::DatagramTransport;

use runner::Runner;
use shelfjunction_core::identity::{EngineId, Generation, ZoneId};
use shelfjunction_core::machine::Machine;
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::membership::events::{GossipCounters, GossipEvent, OwnNode};
use shelfjunction_core::membership::gossiper::Gossiper;
use shelfjunction_core::membership::observation::{Observation, WatchedEngine};
use shelfjunction_core::membership::record::{Record, RecordKey};
use shelfjunction_core::membership::store::Changes;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::membership::wire::{Fact, Head};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::clock::MonotonicClock;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// How a node takes part.
#[derive(Clone, Debug)]
pub struct GossipConfig {
    /// Timings and budgets.
    pub membership: MembershipConfig,
    /// Who the node is.
    pub identity: OwnNode,
    /// Controllers to turn to first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the choices made by chance.
    pub random_seed: u64,
}

/// Why gossip could not start.
#[derive(Debug)]
pub enum GossipError {
    /// The socket could not be prepared.
    Socket(std::io::Error),
    /// The thread could not be started.
    Thread(std::io::Error),
}

/// What the thread and the readers share.
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    clock: MonotonicClock,
}

/// The membership and what the thread is told.
struct State {
    gossiper: Gossiper,
    events: Vec<GossipEvent>,
    stopping: bool,
}

/// A running node's membership; clones share it.
#[derive(Clone)]
pub struct Gossip {
    shared: Arc<Shared>,
    thread: Arc<Mutex<Option<JoinHandle<()>>>>,
}

impl Gossip {
    /// Takes part over a bound socket, with the clock that readers' instants come from.
    pub fn start(
        config: GossipConfig,
        socket: UdpSocket,
        clock: MonotonicClock,
    ) -> Result<Self, GossipError> {
        Self::start_with(config, Box::new(socket), clock)
    }

    /// Takes part over anything that carries datagrams.
    pub fn start_with(
        config: GossipConfig,
        transport: Box<dyn DatagramTransport>,
        clock: MonotonicClock,
    ) -> Result<Self, GossipError> {
        let tick = Duration::from_millis(config.membership.tick_millis);
        let gossiper = Gossiper::new(config.membership, config.identity, config.seeds, clock.now());
        let state = State {
            gossiper,
            events: Vec::new(),
            stopping: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            clock,
        });
        let runner = Runner::new(Arc::clone(&shared), transport, tick, config.random_seed)
            .map_err(GossipError::Socket)?;
        let thread = std::thread::Builder::new()
            .name("gossip".to_owned())
            .spawn(move || runner.run())
            .map_err(GossipError::Thread)?;
        Ok(Self {
            shared,
            thread: Arc::new(Mutex::new(Some(thread))),
        })
    }

    /// Every record, with its present age.
    pub fn records(&self) -> Vec<Record> {
        let now = self.now();
        self.lock().gossiper.store().records(now)
    }

    /// The record on one subject, with its present age.
    pub fn record(&self, key: &RecordKey) -> Option<Record> {
        let now = self.now();
        self.lock().gossiper.store().record(SubjectHandle::of(key), now)
    }

    /// Hashes of the facts by group; equal at two nodes that hold the same facts.
    pub fn facts_digest(&self) -> Vec<[u8; 4]> {
        self.lock().gossiper.store().digest()
    }

    /// Every fact with its present age, for a peer that fetches in bulk.
    pub fn bulk(&self) -> Vec<Fact> {
        let now = self.now();
        self.lock().gossiper.bulk(now)
    }

    /// Takes in what was fetched from a peer in bulk.
    pub fn merge_bulk(&self, facts: Vec<Fact>) {
        self.change(|gossiper, now| gossiper.merge_bulk(facts, now));
    }

    /// Generation of the bundle in force here, as told to others.
    pub fn generation(&self) -> Generation {
        self.lock().gossiper.generation()
    }

    /// Time between two load beats of an engine of this zone.
    pub fn load_interval(&self) -> Duration {
        self.lock().gossiper.load_interval()
    }

    /// Records that changed after a position, now.
    pub fn changes_since(&self, position: u64) -> Changes {
        let now = self.now();
        self.lock().gossiper.changes_since(position, now)
    }

    /// Waits until something changed after a position, or the time is over, or gossip stops.
    pub fn wait_changes(&self, position: u64, timeout: Duration) -> Changes {
        let unchanged = |state: &mut State| !state.stopping && state.gossiper.store().position() <= position;
        let waited = self
            .shared
            .changed
            .wait_timeout_while(self.lock(), timeout, unchanged);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.gossiper.changes_since(position, self.now())
    }

    /// Events since the last call, waiting up to `timeout` for the first.
    pub fn wait_events(&self, timeout: Duration) -> Vec<GossipEvent> {
        let none = |state: &mut State| !state.stopping && state.events.is_empty();
        let waited = self.shared.changed.wait_timeout_while(self.lock(), timeout, none);
        let (mut state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut state.events)
    }

    /// Engines that this node should ask for their status, and how often.
    pub fn watched_engines(&self) -> Vec<WatchedEngine> {
        let now = self.now();
        self.lock().gossiper.watched_engines(now)
    }

    /// Takes in what came of asking a watched engine.
    pub fn observe_engine(&self, engine: &EngineId, observation: Observation) {
        self.change(|gossiper, now| gossiper.observe_engine(engine, observation, now));
    }

    /// Takes in the platform's list of machines.
    pub fn join_machines(&self, machines: &[Machine]) {
        self.change(|gossiper, now| gossiper.join_machines(machines, now));
    }

    /// Whether this node reads the platform for its zone.
    pub fn is_zone_poller(&self) -> bool {
        self.lock().gossiper.is_zone_poller()
    }

    /// Takes over a checked bundle head; a lower generation changes nothing.
    pub fn set_head(&self, head: Head) {
        self.change(|gossiper, _| gossiper.set_head(head));
    }

    /// Notes that the store confirmed the present head as current.
    pub fn confirm_head(&self, asked_at: MonotonicTime) {
        self.change(|gossiper, _| gossiper.confirm_head(asked_at));
    }

    /// Time since the store or a node of another zone confirmed the head.
    pub fn head_confirmed_age(&self) -> Option<Duration> {
        let now = self.now();
        self.lock().gossiper.head_confirmed_age(now)
    }

    /// Zones and the time since anything came straight from there.
    pub fn zone_silences(&self) -> Vec<(ZoneId, Duration)> {
        let now = self.now();
        self.lock().gossiper.zone_silences(now)
    }

    /// Publishes that this node stops on purpose.
    pub fn leave(&self) {
        self.change(|gossiper, now| gossiper.leave(now));
    }

    /// Counts since the start.
    pub fn counters(&self) -> GossipCounters {
        self.lock().gossiper.counters()
    }

    /// Tells the thread to end; it does so within a tick.
    pub fn begin_stop(&self) {
        self.lock().stopping = true;
        self.shared.changed.notify_all();
    }

    /// Ends the thread and waits for it.
    pub fn stop(&self) {
        self.begin_stop();
        let thread = self.thread.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            // A panic of the thread has been printed already; there is nothing left to clean up.
            let _ = thread.join();
        }
    }

    fn change(&self, change: impl FnOnce(&mut Gossiper, MonotonicTime)) {
        let now = self.now();
        change(&mut self.lock().gossiper, now);
        self.shared.changed.notify_all();
    }

    fn now(&self) -> MonotonicTime {
        self.shared.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
