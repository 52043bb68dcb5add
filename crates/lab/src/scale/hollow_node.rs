//! A node that takes part in control and serves no requests.

use super::hollow_engine::HollowEngines;
use super::links::{CutSocket, Links};
use super::peer_port::{self, PeerBytes, PeerPort};
use super::plan::{NodePlan, region_id, zone_id};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shelfjunction_controller::gossip::{Gossip, GossipConfig, GossipError};
use shelfjunction_core::bundle::acceptance::{CURRENT_KEY, CurrentRow, parse};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::bundle::{BundleKeeper, Head, HeadSource};
use shelfjunction_core::identity::{EngineId, Generation};
use shelfjunction_core::membership::config::MembershipConfig;
use shelfjunction_core::membership::events::{GossipEvent, OwnNode};
use shelfjunction_core::membership::observation::{Observation, WatchedEngine};
use shelfjunction_core::membership::wire::Head as GossipHead;
use shelfjunction_core::table::{PlatformError, RowKey};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::clock::MonotonicClock;
use shelfjunction_platform::http_platform::HttpPlatform;
use shelfjunction_platform::services::{MachineList, ObjectStore, TableService};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two reads of the store by a zone's poller.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Reads of the store for each read of the machine list.
const READS_PER_LIST: u64 = 2;

/// Longest wait between reads while the store is away.
const MAX_BACKOFF: Duration = Duration::from_secs(15);

/// Time between two looks at which engines are watched.
const WATCH_REFRESH: Duration = Duration::from_secs(1);

/// Requests for contents of one head.
const FETCHES: usize = 64;

/// What all hollow nodes of a fleet share.
#[derive(Clone)]
pub struct Surroundings {
    /// The platform.
    pub platform: HttpPlatform,
    /// The engines.
    pub engines: Arc<HollowEngines>,
    /// The links between zones.
    pub links: Links,
    /// Who signs bundles.
    pub roots: SigningAuthority,
    /// The clock.
    pub clock: MonotonicClock,
}

/// Why a hollow node did not start.
#[derive(Debug)]
pub enum HollowError {
    /// An address could not be bound.
    Bind(io::Error),
    /// Gossip did not start.
    Gossip(GossipError),
}

#[derive(Debug)]
struct Schedule {
    watched: Vec<WatchedEngine>,
    watched_at: Option<MonotonicTime>,
    asked: BTreeMap<EngineId, MonotonicTime>,
    next_store: MonotonicTime,
    store_reads: u64,
    backoff: Duration,
    random: ChaCha8Rng,
}

/// A running hollow node.
pub struct HollowNode {
    /// Which node it is.
    pub plan: NodePlan,
    /// Its membership.
    pub gossip: Gossip,
    /// Bytes over TCP.
    pub peer_bytes: PeerBytes,
    keeper: Arc<Mutex<BundleKeeper>>,
    port: PeerPort,
    surroundings: Surroundings,
    questions: AtomicU64,
    schedule: Mutex<Schedule>,
}

impl HollowNode {
    /// Binds the node's addresses and takes part.
    pub fn start(
        plan: NodePlan,
        seeds: Vec<SocketAddr>,
        incarnation: u64,
        surroundings: Surroundings,
    ) -> Result<Self, HollowError> {
        let keeper = BundleKeeper::new(surroundings.roots.clone(), zone_id(plan.zone));
        let keeper = Arc::new(Mutex::new(keeper));
        let peer_bytes = PeerBytes::default();
        let socket = UdpSocket::bind(plan.controller).map_err(HollowError::Bind)?;
        let transport = CutSocket {
            socket,
            zone: plan.zone,
            links: surroundings.links.clone(),
        };
        let config = GossipConfig {
            membership: MembershipConfig::default(),
            identity: OwnNode {
                node: plan.node.clone(),
                zone: zone_id(plan.zone),
                region: region_id(plan.zone),
                service: plan.service(),
                incarnation,
            },
            seeds,
            random_seed: incarnation.wrapping_mul(1_000_003) ^ u64::from(u32::from(ipv4(plan.controller))),
        };
        let random = ChaCha8Rng::seed_from_u64(config.random_seed);
        let now = surroundings.clock.now();
        let gossip = Gossip::start_with(config, Box::new(transport), surroundings.clock);
        let gossip = gossip.map_err(HollowError::Gossip)?;
        let port = PeerPort::start(
            plan.controller,
            Arc::clone(&keeper),
            gossip.clone(),
            peer_bytes.clone(),
        );
        let port = port.map_err(HollowError::Bind)?;
        let schedule = Schedule {
            watched: Vec::new(),
            watched_at: None,
            asked: BTreeMap::new(),
            next_store: now,
            store_reads: 0,
            backoff: STORE_INTERVAL,
            random,
        };
        Ok(Self {
            gossip,
            peer_bytes,
            keeper,
            port,
            surroundings,
            questions: AtomicU64::new(0),
            schedule: Mutex::new(schedule),
            plan,
        })
    }

    /// Does what is due: asks engines, follows heads, reads the platform as the zone's poller.
    pub fn drive(&self) {
        let now = self.surroundings.clock.now();
        let mut schedule = self.schedule.lock().unwrap_or_else(PoisonError::into_inner);
        self.ask_engines(&mut schedule, now);
        for event in self.gossip.wait_events(Duration::ZERO) {
            match event {
                GossipEvent::HeadHeard { head, from } => self.follow_peer(head, from, now),
                GossipEvent::FactsDiffer { from } => self.fetch_facts(from),
                GossipEvent::OwnMachineLeaving => {}
            }
        }
        if now >= schedule.next_store {
            self.read_store(&mut schedule, now);
        }
    }

    /// Generation in force here.
    pub fn generation(&self) -> Generation {
        self.keeper()
            .in_force()
            .map(|bundle| bundle.generation())
            .unwrap_or_default()
    }

    /// Questions to engines so far.
    pub fn questions(&self) -> u64 {
        self.questions.load(Ordering::Relaxed)
    }

    /// Ends the node and frees its addresses.
    pub fn stop(&mut self) {
        self.gossip.stop();
        self.port.stop();
    }

    fn keeper(&self) -> MutexGuard<'_, BundleKeeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ask_engines(&self, schedule: &mut Schedule, now: MonotonicTime) {
        let stale = schedule
            .watched_at
            .is_none_or(|at| now.since(at) >= WATCH_REFRESH);
        if stale {
            schedule.watched = self.gossip.watched_engines();
            schedule.watched_at = Some(now);
        }
        for watched in &schedule.watched {
            let asked = schedule.asked.insert(watched.engine.clone(), now);
            if let Some(asked) = asked
                && now < asked + watched.interval
            {
                schedule.asked.insert(watched.engine.clone(), asked);
                continue;
            }
            self.questions.fetch_add(1, Ordering::Relaxed);
            let observation = match self.surroundings.engines.status(watched.address) {
                Some(status) => Observation::Answered(status),
                None => Observation::Missed,
            };
            self.gossip.observe_engine(&watched.engine, observation);
        }
    }

    fn fetch_facts(&self, from: SocketAddr) {
        if self.surroundings.links.pass(self.plan.zone, from) {
            self.gossip
                .merge_bulk(peer_port::fetch_facts(from, &self.peer_bytes));
        }
    }

    fn follow_peer(&self, head: GossipHead, from: SocketAddr, now: MonotonicTime) {
        let source = HeadSource::Peer {
            zone: zone_id(self.plan.zone),
            confirmed_ago: Duration::from_secs(3_600),
        };
        let head = Head {
            generation: head.generation,
            digest: shelfjunction_core::bundle::Digest(head.manifest),
        };
        self.keeper().on_head(Some(head), &source, now);
        if self.surroundings.links.pass(self.plan.zone, from) {
            self.fetch(|wanted| peer_port::fetch(from, wanted, &self.peer_bytes));
        }
        self.tell_head();
    }

    fn read_store(&self, schedule: &mut Schedule, now: MonotonicTime) {
        schedule.next_store = now + STORE_INTERVAL;
        if !self.gossip.is_zone_poller() {
            return;
        }
        schedule.store_reads += 1;
        let read = if self.surroundings.links.reaches_platform(self.plan.zone) {
            self.read_platform(schedule.store_reads, now)
        } else {
            Err(PlatformError::Unavailable)
        };
        schedule.backoff = match read {
            Ok(()) => STORE_INTERVAL,
            Err(_) => (schedule.backoff * 2).min(MAX_BACKOFF),
        };
        let jitter = schedule.random.random_range(0.75..1.25);
        schedule.next_store = self.surroundings.clock.now() + schedule.backoff.mul_f64(jitter);
    }

    fn read_platform(&self, reads: u64, now: MonotonicTime) -> Result<(), PlatformError> {
        if reads % READS_PER_LIST == 1 {
            self.gossip.join_machines(&self.surroundings.platform.machines()?);
        }
        let row = self.surroundings.platform.read(&RowKey(CURRENT_KEY.to_owned()))?;
        let head = row.as_ref().and_then(parse::<CurrentRow>).map(|row| row.head());
        self.keeper().on_head(head, &HeadSource::Store, now);
        self.fetch(|wanted| {
            let objects = wanted
                .iter()
                .map(|digest| self.surroundings.platform.get(&digest.to_hex()));
            objects.filter_map(|object| object.ok().flatten()).collect()
        });
        self.tell_head();
        self.gossip.confirm_head(now);
        Ok(())
    }

    fn fetch(&self, ask: impl Fn(&[shelfjunction_core::bundle::Digest]) -> Vec<Vec<u8>>) {
        for _ in 0..FETCHES {
            let wanted = self.keeper().wanted();
            if wanted.is_empty() {
                return;
            }
            let contents = ask(&wanted);
            if contents.is_empty() {
                return;
            }
            self.keeper().on_contents(contents);
        }
    }

    fn tell_head(&self) {
        if let Some(head) = self.keeper().head() {
            self.gossip.set_head(GossipHead {
                generation: head.generation,
                manifest: head.digest.0,
            });
        }
    }
}

fn ipv4(address: SocketAddr) -> std::net::Ipv4Addr {
    match address.ip() {
        std::net::IpAddr::V4(address) => address,
        std::net::IpAddr::V6(_) => std::net::Ipv4Addr::UNSPECIFIED,
    }
}
