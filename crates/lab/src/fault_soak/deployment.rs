//! Nodes as processes, before stand-ins of the store and the engines, with a relay on every link between them.

use super::crowding::Crowded;
use super::disturbances::Disturbances;
use super::layout::Layout;
use super::operator::{self, base64, configuration_text};
use super::oracle::EngineRecords;
use super::places::{EnginePlace, GRACE, NodePlace, PlantedSettings};
use super::planned_work::StopRecord;
use super::process::NodeProcess;
use super::region_links::RegionLinks;
use super::schedule::Targets;
use super::spoilt::{Spoilt, SpoiltSpan};
use crate::relay::Relay;
use crate::users_platform::{StandInInterface, StandInStore, StoreCopy, StoreMode, UsageReport};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Events of each answer.
pub const EVENTS: u64 = 5;

/// Time after which an engine that has crashed is back.
pub(super) const BACK_AFTER: Duration = Duration::from_millis(2_500);

/// Table of the store that lists the nodes.
const NODES_TABLE: &str = "nodes";

/// Pools of the short calls; the operator moves the route between them.
pub const APPLICATION_POOLS: [&str; 2] = ["pool-one", "pool-two"];

pub(super) const MODEL_POOL: &str = "pool-model";

/// The deployment.
pub struct Deployment {
    pub(super) store: StandInStore,
    pub(super) interface: StandInInterface,
    layout: Layout,
    /// The paths between regions; absent in a soak without regions.
    pub(super) region_links: Option<Arc<RegionLinks>>,
    nodes: Vec<Mutex<NodePlace>>,
    engines: Vec<Mutex<EnginePlace>>,
    configuration: Mutex<Configuration>,
    /// Which nodes were struck when.
    pub(super) disturbances: Disturbances,
    /// Which nodes were started anew or stood still when.
    pub(super) restarts: Disturbances,
    /// Links to which engines were struck when.
    pub(super) engine_links: Disturbances,
    /// When the platform was disrupted: its store for any node, or its interface.
    pub(super) platform_faults: Disturbances,
    /// When which nodes were thawed or their links healed.
    pub(super) heals: Disturbances,
    /// Which nodes ran another build when, which may not know what is judged.
    pub(super) on_other_build: Disturbances,
    /// Signals to nodes to stop.
    stops: Mutex<Vec<(usize, Instant)>>,
    /// To which node most new connections come.
    pub(super) crowded: Crowded,
}

#[derive(Clone, Copy, Debug)]
struct Configuration {
    version: u64,
    pool: usize,
}

impl Deployment {
    /// Starts stand-ins, relays and nodes; logs and settings go to `directory`. What is planted stands in the nodes' settings in place
    /// of the one that they get.
    pub fn start(
        program: &Path,
        nodes: usize,
        layout: Layout,
        planted: PlantedSettings,
        directory: &Path,
    ) -> io::Result<Self> {
        let store = StandInStore::start()?;
        let interface = StandInInterface::start()?;
        let engines = layout.engines(MODEL_POOL, &APPLICATION_POOLS);
        let count = engines.len();
        let engines: io::Result<Vec<_>> = engines
            .into_iter()
            .enumerate()
            .map(|(number, (pool, stage))| {
                let zone = layout.zone_of_engine(number, count);
                EnginePlace::start(number, pool, stage, zone).map(Mutex::new)
            })
            .collect();
        let places = (0..nodes).map(|number| {
            NodePlace::prepare(number, layout, planted, &store, &interface, program, directory)
        });
        let places: Vec<NodePlace> = places.collect::<io::Result<_>>()?;
        let region_links = part_regions(layout, &places)?;
        let deployment = Self {
            store,
            interface,
            layout,
            region_links,
            nodes: places.into_iter().map(Mutex::new).collect(),
            engines: engines?,
            configuration: Mutex::new(Configuration { version: 0, pool: 0 }),
            disturbances: Disturbances::default(),
            restarts: Disturbances::default(),
            engine_links: Disturbances::default(),
            platform_faults: Disturbances::default(),
            heals: Disturbances::default(),
            on_other_build: Disturbances::default(),
            stops: Mutex::default(),
            crowded: Crowded::default(),
        };
        deployment.reconfigure();
        for engine in 0..deployment.engines.len() {
            deployment.list(engine, "ready");
        }
        for node in 0..nodes {
            deployment.start_node(node)?;
        }
        Ok(deployment)
    }

    /// What faults may strike.
    pub fn targets(&self) -> Targets {
        Targets {
            nodes: self.nodes.len(),
            engines: self.engines.len(),
            regions: self.layout.regions(),
        }
    }

    /// Where a node takes callers.
    pub fn address(&self, node: usize) -> SocketAddr {
        lock(&self.nodes[node]).listen
    }

    /// Nodes of a region.
    pub(super) fn nodes_of(&self, region: usize) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|node| self.layout.region_of_node(*node) == region)
            .collect()
    }

    /// Engines of a region.
    pub(super) fn engines_of(&self, region: usize) -> Vec<usize> {
        let count = self.engines.len();
        (0..count)
            .filter(|engine| self.layout.region_of_engine(*engine, count) == region)
            .collect()
    }

    /// Where a node tells operators of itself.
    pub(super) fn metrics_address(&self, node: usize) -> Option<SocketAddr> {
        lock(&self.nodes[node]).metrics
    }

    /// Writes a node's settings anew, without one region if it is to be left out.
    pub(super) fn name_regions(&self, node: usize, left_out: Option<usize>) -> io::Result<()> {
        lock(&self.nodes[node]).name_regions(self.layout, left_out)
    }

    /// A node's link to the store.
    pub fn store_link(&self, node: usize) -> Relay {
        lock(&self.nodes[node]).store_link.clone()
    }

    /// The link to an engine.
    pub fn engine_link(&self, engine: usize) -> Relay {
        lock(&self.engines[engine]).relay.clone()
    }

    /// How the store answers a node.
    pub fn set_store_mode(&self, node: usize, mode: StoreMode) {
        lock(&self.nodes[node]).store_door.set_mode(mode);
    }

    /// How the store answers a node, if it answers so now.
    pub(super) fn replace_store_mode(&self, node: usize, from: StoreMode, to: StoreMode) {
        lock(&self.nodes[node]).store_door.replace_mode(from, to);
    }

    /// A copy of the store.
    pub fn copy_store(&self) -> StoreCopy {
        self.store.copy()
    }

    /// Has the store come back from a copy.
    pub fn restore_store(&self, copy: &StoreCopy) {
        self.store.restore(copy);
    }

    /// Has the operator and the engines write what they wrote last, later engines first; entries that are gone are removed.
    pub fn write_rows_again(&self) {
        for engine in (0..self.engines.len()).rev() {
            let mut place = lock(&self.engines[engine]);
            place.mend_entry();
            let starts: Vec<String> = (1..=place.starts)
                .map(|start| format!("engine-{engine}-{start}"))
                .filter(|id| *id != place.id || place.listed.is_none())
                .collect();
            starts.iter().for_each(|id| self.store.remove("servers", id));
            if let Some(state) = place.listed.clone() {
                self.store
                    .put("servers", &place.id, &base64(&row(&place, &state)));
            }
        }
        let configuration = lock(&self.configuration);
        let text = configuration_text(configuration.version, APPLICATION_POOLS[configuration.pool]);
        self.store.put("op", "config", &base64(&text));
    }

    /// Makes the store forget its history.
    pub fn forget_history(&self) {
        self.store.forget_history();
    }

    /// Moves the short calls' route to the next pool; the pool and the version.
    pub fn reconfigure(&self) -> (&'static str, u64) {
        let mut configuration = lock(&self.configuration);
        configuration.version += 1;
        configuration.pool = (configuration.pool + 1) % APPLICATION_POOLS.len();
        let pool = APPLICATION_POOLS[configuration.pool];
        let text = configuration_text(configuration.version, pool);
        self.store.put("op", "config", &base64(&text));
        (pool, configuration.version)
    }

    /// Makes an engine treat its next request so.
    pub fn next_request(&self, engine: usize, fault: crate::users_platform::EngineFault) {
        lock(&self.engines[engine]).now.next_request(fault);
    }

    /// Makes every engine refuse most requests, or no longer do so.
    pub fn refuse_most(&self, refuses: bool) {
        for engine in &self.engines {
            lock(engine).now.refuse_most(refuses);
        }
    }

    /// Has an engine name a rate limit, or none any more.
    pub fn name_limit(&self, engine: usize, requests_per_second: Option<f64>) {
        lock(&self.engines[engine]).now.name_limit(requests_per_second);
    }

    /// An engine says in all its answers that it drains.
    pub fn announce_draining(&self, engine: usize) {
        lock(&self.engines[engine]).now.announce_draining();
    }

    /// An engine refuses everything and asks for so long without requests each time, or no longer does.
    pub fn ask_backoff(&self, engine: usize, backoff: Option<Duration>) {
        lock(&self.engines[engine]).now.ask_backoff(backoff);
    }

    /// Makes work at an engine take so long from now on, in percent of the usual.
    pub fn set_pace(&self, engine: usize, percent: u32) {
        lock(&self.engines[engine]).now.set_pace(percent);
    }

    /// Tells a node that its settings have changed, if it runs.
    pub fn reload(&self, node: usize) {
        if let Some(process) = &lock(&self.nodes[node]).process {
            process.reload();
        }
    }

    /// Says that an engine is about to leave.
    pub fn drain(&self, engine: usize) {
        self.list(engine, "draining");
    }

    /// Ends the link to an engine as the end of its machine does; its entry stays.
    pub(super) fn end_engine(&self, engine: usize) {
        lock(&self.engines[engine]).relay.stop();
    }

    /// Removes an engine's entry while it goes on.
    pub fn unlist(&self, engine: usize) {
        let mut place = lock(&self.engines[engine]);
        place.mend_entry();
        place.listed = None;
        self.store.remove("servers", &place.id);
    }

    /// Ends an engine that is about to leave and starts another at its place.
    pub fn replace(&self, engine: usize) -> io::Result<()> {
        let mut place = lock(&self.engines[engine]);
        place.mend_entry();
        self.store.remove("servers", &place.id);
        place.start_again(engine)?;
        drop(place);
        self.list(engine, "ready");
        Ok(())
    }

    /// Starts another engine at the place of one that is about to leave and goes on with what it has; the link to that one.
    pub fn replace_in_order(&self, engine: usize) -> io::Result<Relay> {
        let mut place = lock(&self.engines[engine]);
        place.mend_entry();
        self.store.remove("servers", &place.id);
        let leaving = place.start_beside(engine)?;
        drop(place);
        self.list(engine, "ready");
        Ok(leaving)
    }

    /// Ends an engine without a word and starts it again under its identifier, at its address.
    pub fn come_back(&self, engine: usize) -> io::Result<()> {
        lock(&self.engines[engine]).come_back()?;
        self.list(engine, "ready");
        Ok(())
    }

    /// Spoils an engine's entry until it is written anew.
    pub fn spoil(&self, engine: usize, spoilt: Spoilt) {
        let mut place = lock(&self.engines[engine]);
        place.spoil(spoilt);
        let entry = spoilt.entry(&row(&place, "ready"));
        self.store.put("servers", &place.id, &entry);
    }

    /// Writes an entry anew that is spoilt.
    pub fn mend_entry(&self, engine: usize) {
        if lock(&self.engines[engine]).spoilt.is_some() {
            self.list(engine, "ready");
        }
    }

    /// Times for which entries were spoilt.
    pub fn spoilt_spans(&self) -> Vec<SpoiltSpan> {
        let places = self.engines.iter();
        places
            .flat_map(|place| lock(place).spoilt_spans.clone())
            .collect()
    }

    /// Starts engines again that crashed a while ago: every other one under another identifier, the rest under their own.
    pub fn revive_crashed(&self) {
        for number in 0..self.engines.len() {
            if !lock(&self.engines[number]).comes_back(BACK_AFTER) {
                continue;
            }
            let started = match number % 2 {
                0 => self.replace(number),
                _ => self.come_back(number),
            };
            if let Err(error) = started {
                log::error!(engine = number, error:% = error; "engine_not_started");
            }
        }
    }

    /// Kills a node, if it runs.
    pub fn kill(&self, node: usize) {
        if let Some(mut process) = lock(&self.nodes[node]).process.take() {
            process.kill();
        }
    }

    /// Makes a node stand still, or go on.
    pub fn pause(&self, node: usize, still: bool) {
        let place = lock(&self.nodes[node]);
        match (&place.process, still) {
            (Some(process), true) => process.pause(),
            (Some(process), false) => process.resume(),
            (None, _) => {}
        }
    }

    /// Tells a node to stop and waits for its end; whether it ended in time by itself.
    pub fn stop(&self, node: usize) -> bool {
        let process = {
            let mut place = lock(&self.nodes[node]);
            place.stopping |= place.process.is_some();
            place.process.take()
        };
        let Some(mut process) = process else {
            return true;
        };
        process.resume();
        lock(&self.stops).push((node, Instant::now()));
        let ended = process.stop(GRACE);
        lock(&self.nodes[node]).stopping = false;
        ended
    }

    /// Signals to stop, in time from the start of the callers.
    pub fn stops(&self, begun: Instant) -> Vec<StopRecord> {
        let stops = lock(&self.stops);
        let records = stops.iter().map(|(node, at)| StopRecord {
            node: *node,
            at: at.saturating_duration_since(begun),
        });
        records.collect()
    }

    /// Has a node run another program from its next start on.
    pub fn set_program(&self, node: usize, program: &Path) {
        lock(&self.nodes[node]).launch.program = program.to_path_buf();
    }

    /// Starts a node that does not run; one that is about to end is started by whoever stopped it.
    pub fn start_node(&self, node: usize) -> io::Result<()> {
        let mut place = lock(&self.nodes[node]);
        if place.process.is_none() && !place.stopping {
            place.process = Some(NodeProcess::start(&place.launch)?);
        }
        Ok(())
    }

    /// Starts nodes that have ended by themselves; how many had, over the whole run.
    pub fn restart_ended(&self) -> u32 {
        let mut exits = 0;
        for place in &self.nodes {
            let mut place = lock(place);
            if place.process.as_mut().is_some_and(NodeProcess::has_ended) {
                place.exits += 1;
                place.process = NodeProcess::start(&place.launch).ok();
            }
            exits += place.exits;
        }
        exits
    }

    /// The most memory that each node had resident, over all its processes so far, in bytes.
    pub fn peak_memory(&self) -> Vec<u64> {
        let peak = |place: &Mutex<NodePlace>| {
            let place = lock(place);
            place.process.iter().for_each(NodeProcess::note_memory);
            place.launch.peak_memory.load(Ordering::Relaxed)
        };
        self.nodes.iter().map(peak).collect()
    }

    /// Removes everything that is wrong but ended nodes.
    pub fn heal(&self) {
        for (number, place) in self.nodes.iter().enumerate() {
            self.pause(number, false);
            let place = lock(place);
            place.store_link.mend();
            place.store_door.set_mode(StoreMode::Serving);
        }
        self.defer_duty_calls(false);
        if let Some(links) = &self.region_links {
            links.mend();
        }
        for engine in &self.engines {
            let place = lock(engine);
            place.relay.mend();
            place.now.refuse_most(false);
            place.now.name_limit(None);
            place.now.ask_backoff(None);
        }
    }

    /// What engines did so far, over all their starts.
    pub fn records(&self) -> EngineRecords {
        let mut all = EngineRecords::default();
        for engine in &self.engines {
            let place = lock(engine);
            all.add(&place.ended);
            all.add(&place.records());
            place.leaving_records().for_each(|records| all.add(&records));
        }
        all
    }

    /// Usage reports that the platform took.
    pub fn usage_reports(&self) -> Vec<UsageReport> {
        self.interface.reports()
    }

    /// Which pool's engine ran a request, if any did.
    pub fn pool_that_ran(&self, request: &str) -> Option<&'static str> {
        self.engines.iter().find_map(|engine| {
            let place = lock(engine);
            let ran = place.now.runs().iter().any(|run| run.request == request);
            ran.then_some(place.pool)
        })
    }

    /// The pool that short calls go to by the newest configuration.
    pub fn configured_pool(&self) -> &'static str {
        APPLICATION_POOLS[lock(&self.configuration).pool]
    }

    fn list(&self, engine: usize, state: &str) {
        let mut place = lock(&self.engines[engine]);
        place.mend_entry();
        place.listed = Some(state.to_owned());
        self.store.put("servers", &place.id, &base64(&row(&place, state)));
    }

    /// Lists the stages that engines have taken by order, as they do themselves.
    pub fn list_stages(&self) {
        for engine in 0..self.engines.len() {
            let has_stage = lock(&self.engines[engine]).note_stage();
            if has_stage {
                self.list(engine, "ready");
            }
        }
    }
}

/// The paths between the regions of nodes, which each learns from what its link to the store shows of the list.
fn part_regions(layout: Layout, places: &[NodePlace]) -> io::Result<Option<Arc<RegionLinks>>> {
    if !layout.is_regional() {
        return Ok(None);
    }
    let nodes = places.iter().map(|place| place.peers).collect();
    let links = Arc::new(RegionLinks::start(layout, nodes)?);
    for (number, place) in places.iter().enumerate() {
        let (links, region) = (Arc::downgrade(&links), layout.region_of_node(number));
        place.store_door.show_rows_as(Box::new(move |table, value| {
            let links = links.upgrade().filter(|_| table == NODES_TABLE)?;
            operator::with_address(value, |address| links.address_for(region, address))
        }));
    }
    Ok(Some(links))
}

/// An engine's entry, before it is encoded.
fn row(place: &EnginePlace, state: &str) -> String {
    let stage = place.now.stage().map_or(String::new(), |stage| {
        format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
    });
    format!(
        r#"{{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":8,"state":"{state}","coldRemainingMs":0{stage},"born":{},"sequence":4}}"#,
        place.pool,
        place.relay.address(),
        place.zone,
        place.now.software_version(),
        place.born
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
