//! The places of engines and nodes: what stays while one start of them follows on another.

use super::crowds::MACHINE_MEGABYTES;
use super::deployment::EVENTS;
use super::layout::Layout;
use super::oracle::EngineRecords;
use super::process::{Launch, NodeProcess};
use super::repeats::RepeatBudget;
use super::spoilt::{Spoilt, SpoiltSpan};
use super::usage_windows;
use crate::relay::Relay;
use crate::users_platform::{EngineSettings, ModelEngine, StandInInterface, StandInStore};
use rand::Rng;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::num::NonZeroU64;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time from the signal to stop until a node is killed; its settings say the same unless a fault is planted.
pub(super) const GRACE: Duration = Duration::from_secs(8);

/// Settings of nodes in place of those that they get: faults to be found.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlantedSettings {
    /// Time until the end by force.
    pub grace: Option<Duration>,
    /// Memory of the machine.
    pub memory_megabytes: Option<usize>,
}

/// Placers of each region of a soak with regions.
const PLACERS_PER_REGION: usize = 2;

/// The budget for repeats: small beside what callers send, so that a run comes to its bounds many times.
pub(super) const REPEAT_BUDGET: RepeatBudget = RepeatBudget {
    ratio: 0.2,
    slack: 20.0,
    window: Duration::from_secs(5),
};

/// One place at which engines listen, one start after the other.
pub(super) struct EnginePlace {
    number: usize,
    pub(super) pool: &'static str,
    pub(super) stage: Option<&'static str>,
    pub(super) zone: String,
    pub(super) relay: Relay,
    pub(super) now: ModelEngine,
    pub(super) id: String,
    /// State that its entry names; absent while it has none.
    pub(super) listed: Option<String>,
    /// Number of this start, which its row tells.
    pub(super) born: u64,
    /// How its entry in the store is spoilt now, and since when.
    pub(super) spoilt: Option<(Spoilt, Instant)>,
    /// Times for which entries of this place's engines were spoilt.
    pub(super) spoilt_spans: Vec<SpoiltSpan>,
    pub(super) ended: EngineRecords,
    /// Engines that have left the list and go on with what they have.
    pub(super) leaving: Vec<ModelEngine>,
    pub(super) starts: u32,
    /// When it was first seen to have crashed.
    pub(super) crashed_at: Option<Instant>,
}

/// One node and the door through which it reaches the store.
pub(super) struct NodePlace {
    pub(super) launch: Launch,
    pub(super) process: Option<NodeProcess>,
    /// Whether a process that was told to stop has not ended yet and still holds the addresses.
    pub(super) stopping: bool,
    pub(super) store_door: StandInStore,
    pub(super) store_link: Relay,
    pub(super) listen: SocketAddr,
    /// Where it hears other nodes.
    pub(super) peers: SocketAddr,
    /// Where it tells operators of itself; absent in a soak without regions.
    pub(super) metrics: Option<SocketAddr>,
    /// Its settings without those of zones and regions.
    settings_text: String,
    pub(super) exits: u32,
}

impl EngineRecords {
    pub(super) fn add(&mut self, other: &Self) {
        self.runs.extend(other.runs.iter().cloned());
        self.orders.extend(other.orders.iter().cloned());
        self.arrivals.extend(other.arrivals.iter().cloned());
        self.limits.extend(other.limits.iter().cloned());
        self.drains.extend(other.drains.iter().cloned());
        self.backoffs.extend(other.backoffs.iter().cloned());
    }
}

impl EnginePlace {
    pub(super) fn start(
        number: usize,
        pool: &'static str,
        stage: Option<&'static str>,
        zone: String,
    ) -> io::Result<Self> {
        let id = format!("engine-{number}-1");
        let now = start_engine(&id, 1, stage, software_version(number, 1))?;
        let relay = relay_before(&now, free())?;
        Ok(Self {
            number,
            pool,
            stage,
            zone,
            relay,
            now,
            id,
            listed: None,
            born: 1,
            spoilt: None,
            spoilt_spans: Vec::new(),
            ended: EngineRecords::default(),
            leaving: Vec::new(),
            starts: 1,
            crashed_at: None,
        })
    }

    /// Starts another engine at the place.
    pub(super) fn start_again(&mut self, number: usize) -> io::Result<()> {
        let id = format!("engine-{number}-{}", self.starts + 1);
        self.start_as(id, free())
    }

    /// Starts another engine at the place, while the one before goes on with what it has; the link to that one.
    pub(super) fn start_beside(&mut self, number: usize) -> io::Result<Relay> {
        self.starts += 1;
        self.born += 1;
        let id = format!("engine-{number}-{}", self.starts);
        self.stage = self.now.stage();
        let next = start_engine(
            &id,
            self.born,
            self.stage,
            software_version(self.number, self.starts),
        )?;
        let relay = relay_before(&next, free())?;
        self.leaving.push(std::mem::replace(&mut self.now, next));
        self.id = id;
        Ok(std::mem::replace(&mut self.relay, relay))
    }

    /// Starts the engine again under its identifier and at its address.
    pub(super) fn come_back(&mut self) -> io::Result<()> {
        self.start_as(self.id.clone(), self.relay.address())
    }

    fn start_as(&mut self, id: String, address: SocketAddr) -> io::Result<()> {
        let records = self.records();
        self.ended.add(&records);
        self.starts += 1;
        self.born += 1;
        self.stage = self.now.stage();
        let version = software_version(self.number, self.starts);
        self.now = start_engine(&id, self.born, self.stage, version)?;
        self.relay.stop();
        self.relay = relay_before(&self.now, address)?;
        self.id = id;
        self.crashed_at = None;
        Ok(())
    }

    /// Notes that its entry is spoilt from now on.
    pub(super) fn spoil(&mut self, spoilt: Spoilt) {
        self.mend_entry();
        self.spoilt = Some((spoilt, Instant::now()));
    }

    /// Notes that its entry is about to be written anew, or removed.
    pub(super) fn mend_entry(&mut self) {
        if let Some((_, from)) = self.spoilt.take() {
            self.spoilt_spans.push(SpoiltSpan {
                engine: self.now.start_name(),
                from,
                until: Instant::now(),
            });
        }
    }

    /// Whether it crashed so long ago that it comes back.
    pub(super) fn comes_back(&mut self, after: Duration) -> bool {
        if !self.now.has_crashed() {
            return false;
        }
        self.crashed_at.get_or_insert_with(Instant::now).elapsed() >= after
    }

    pub(super) fn records(&self) -> EngineRecords {
        self.records_of(&self.now)
    }

    /// What engines did that have left the list, so far.
    pub(super) fn leaving_records(&self) -> impl Iterator<Item = EngineRecords> + '_ {
        self.leaving.iter().map(|engine| self.records_of(engine))
    }

    fn records_of(&self, engine: &ModelEngine) -> EngineRecords {
        let arrivals = engine.arrivals().into_iter();
        EngineRecords {
            runs: engine.runs(),
            orders: engine.order_records(),
            arrivals: arrivals.map(|arrival| (self.pool, arrival)).collect(),
            limits: engine.limit_records(),
            drains: engine.drain_record().into_iter().collect(),
            backoffs: engine.backoff_records(),
        }
    }

    /// Whether the stage is another than the one noted before.
    pub(super) fn note_stage(&mut self) -> bool {
        let stage = self.now.stage();
        std::mem::replace(&mut self.stage, stage) != stage
    }
}

/// The link to an engine, whose end is the engine's end to all who reach it.
fn relay_before(engine: &ModelEngine, address: SocketAddr) -> io::Result<Relay> {
    let relay = Relay::start(address, engine.address())?;
    let of_engine = relay.clone();
    engine.crash_by(Box::new(move || of_engine.stop()));
    Ok(relay)
}

/// One answer of an engine in so many has neither a length nor chunks and ends with its connection.
const UNFRAMED_ANSWERS: NonZeroU64 = NonZeroU64::new(4).unwrap();

/// Software versions that serve side by side.
const SOFTWARE_VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

/// Software version of a start of an engine: two at first, and each start at a place has another one than the last, forwards and back.
fn software_version(number: usize, starts: u32) -> &'static str {
    const ROLLOUT: [usize; 4] = [0, 1, 2, 1];
    SOFTWARE_VERSIONS[ROLLOUT[(number + starts as usize) % 2 + 2 * (starts as usize / 2 % 2)]]
}

/// Any free address.
fn free() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn start_engine(
    id: &str,
    born: u64,
    stage: Option<&'static str>,
    software_version: &str,
) -> io::Result<ModelEngine> {
    let engine = ModelEngine::start(EngineSettings {
        id: id.to_owned(),
        born,
        stage,
        events: EVENTS,
        software_version: software_version.to_owned(),
    })?;
    engine.send_unframed(Some(UNFRAMED_ANSWERS));
    Ok(engine)
}

impl NodePlace {
    pub(super) fn prepare(
        number: usize,
        layout: Layout,
        planted: PlantedSettings,
        store: &StandInStore,
        interface: &StandInInterface,
        program: &Path,
        directory: &Path,
    ) -> io::Result<Self> {
        let store_door = store.another_door()?;
        let store_link = Relay::start((Ipv4Addr::LOCALHOST, 0).into(), store_door.address())?;
        let [listen, ready, peers] = free_addresses()?;
        let metrics = layout.is_regional().then(free_address).transpose()?;
        let regional = metrics.map_or(String::new(), |metrics| regional_settings(layout, metrics));
        let zone = layout.zone_of_node(number);
        let settings = directory.join(format!("node-{number}.toml"));
        let text = format!(
            "log_level = 'info'\n\n[node]\nnode = 'node-{number}'\nzone = '{zone}'\nlisten = '{listen}'\nready_listen = '{ready}'\npeer_listen = '{peers}'\nstore = '{}'\nfirst_start = false\ngrace_seconds = {}\nmemory_megabytes = {}\nretry_ratio = {}\nretry_slack = {}\nretry_window_seconds = {}\n{regional}\n[node.metering]\nwindow_seconds = {}\ndue_after_seconds = {}\n\n[node.duties]\naddress = '{}'\ntasks = ['usage_reporting']\n",
            store_link.address(),
            planted.grace.unwrap_or(GRACE).as_secs_f64(),
            planted.memory_megabytes.unwrap_or(MACHINE_MEGABYTES),
            REPEAT_BUDGET.ratio,
            REPEAT_BUDGET.slack,
            REPEAT_BUDGET.window.as_secs_f64(),
            usage_windows::WINDOW.as_secs_f64(),
            usage_windows::DUE_AFTER.as_secs_f64(),
            interface.address()
        );
        std::fs::write(&settings, format!("{text}{}", layout.topology_settings(None)))?;
        Ok(Self {
            launch: Launch {
                program: PathBuf::from(program),
                settings,
                log: directory.join(format!("node-{number}.log")),
                peak_memory: Arc::default(),
            },
            process: None,
            stopping: false,
            store_door,
            store_link,
            listen,
            peers,
            metrics,
            settings_text: text,
            exits: 0,
        })
    }

    /// Writes its settings anew, without one region if it is to be left out.
    pub(super) fn name_regions(&self, layout: Layout, left_out: Option<usize>) -> io::Result<()> {
        let topology = layout.topology_settings(left_out);
        std::fs::write(&self.launch.settings, format!("{}{topology}", self.settings_text))
    }
}

/// Settings of a node of a soak with regions: placers are used in the smallest fleet, and operators may ask it.
fn regional_settings(layout: Layout, metrics: SocketAddr) -> String {
    format!(
        "metrics_listen = '{metrics}'\n\n[node.placing]\nplacers = {}\nalone_up_to = 2\n",
        layout.regions() * PLACERS_PER_REGION
    )
}

/// Ports that the system gives to nobody who asks for any free one: a node is started again at the same addresses, and
/// meanwhile any other process of the machine could be given one of them.
const OWN_PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports of one process. Another soak on the machine has a block of its own: where two shared ports, the nodes of one heard those
/// of the other and took them for peers.
const BLOCK: u16 = 1_000;

/// A block of ports that belongs to this process for as long as it lives.
struct PortBlock {
    /// Listens on the block's first port, which keeps other processes out of it.
    _claim: TcpListener,
    start: u16,
    /// Offset of the port that is tried next; each is given to one node only, since it is free again until the node starts.
    next: AtomicU16,
}

impl PortBlock {
    /// The first block, from one drawn at random on, that no other process has.
    fn claim() -> io::Result<Self> {
        let blocks = OWN_PORTS.len() as u16 / BLOCK;
        let first = rand::rng().random_range(0..blocks);
        let mut starts = (0..blocks).map(|step| OWN_PORTS.start + (first + step) % blocks * BLOCK);
        let claimed = starts.find_map(|start| {
            let claim = TcpListener::bind((Ipv4Addr::LOCALHOST, start)).ok()?;
            Some((claim, start))
        });
        let (claim, start) = claimed.ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))?;
        Ok(Self {
            _claim: claim,
            start,
            next: AtomicU16::new(0),
        })
    }

    /// An address on which nothing listens now, and that no other node of this process was given lately.
    fn free_address(&self) -> io::Result<SocketAddr> {
        let ports = (0..BLOCK).map(|_| {
            let offset = self.next.fetch_add(1, Ordering::Relaxed) % (BLOCK - 1);
            self.start + 1 + offset
        });
        let mut free = ports.filter_map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok());
        let listener = free
            .next()
            .ok_or_else(|| io::Error::from(io::ErrorKind::AddrInUse))?;
        listener.local_addr()
    }
}

/// Addresses on which nothing listens now, and that no other node was given.
fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    Ok([free_address()?, free_address()?, free_address()?])
}

/// One such address.
fn free_address() -> io::Result<SocketAddr> {
    static BLOCK_OF_PROCESS: Mutex<Option<PortBlock>> = Mutex::new(None);
    let mut claimed = BLOCK_OF_PROCESS.lock().unwrap_or_else(PoisonError::into_inner);
    let block = match claimed.take() {
        Some(block) => block,
        None => PortBlock::claim()?,
    };
    claimed.insert(block).free_address()
}
