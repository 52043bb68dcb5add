//! Nodes as processes, before stand-ins of the store and the engines, with a relay on every link between them.

use super::oracle::EngineRecords;
use super::process::{Launch, NodeProcess};
use super::schedule::Targets;
use crate::relay::Relay;
use crate::users_platform::{EngineSettings, ModelEngine, StandInStore, StoreMode};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Events of each answer.
pub const EVENTS: u64 = 5;

/// Time from the signal to stop until a node is killed; its settings say the same.
const GRACE: Duration = Duration::from_secs(8);

/// Pools of the short calls; the operator moves the route between them.
pub const APPLICATION_POOLS: [&str; 2] = ["pool-one", "pool-two"];

const MODEL_POOL: &str = "pool-model";

/// One place at which engines listen, one start after the other.
struct EnginePlace {
    pool: &'static str,
    stage: Option<&'static str>,
    relay: Relay,
    now: ModelEngine,
    id: String,
    ended: EngineRecords,
    starts: u32,
}

/// One node and the door through which it reaches the store.
struct NodePlace {
    launch: Launch,
    process: Option<NodeProcess>,
    store_door: StandInStore,
    store_link: Relay,
    listen: SocketAddr,
    exits: u32,
}

/// The deployment.
pub struct Deployment {
    store: StandInStore,
    nodes: Vec<Mutex<NodePlace>>,
    engines: Vec<Mutex<EnginePlace>>,
    configuration: Mutex<Configuration>,
}

#[derive(Clone, Copy, Debug)]
struct Configuration {
    version: u64,
    pool: usize,
}

impl Deployment {
    /// Starts stand-ins, relays and nodes; logs and settings go to `directory`.
    pub fn start(program: &Path, nodes: usize, directory: &Path) -> io::Result<Self> {
        let store = StandInStore::start()?;
        let stages = [
            Some("prefill"),
            Some("prefill"),
            Some("decode"),
            Some("decode"),
            Some("decode"),
        ];
        let models = stages.map(|stage| (MODEL_POOL, stage));
        let applications = APPLICATION_POOLS
            .map(|pool| [(pool, None), (pool, None)])
            .concat();
        let engines: io::Result<Vec<_>> = models
            .into_iter()
            .chain(applications)
            .enumerate()
            .map(|(number, (pool, stage))| EnginePlace::start(number, pool, stage).map(Mutex::new))
            .collect();
        let places: io::Result<Vec<_>> = (0..nodes)
            .map(|number| NodePlace::prepare(number, &store, program, directory).map(Mutex::new))
            .collect();
        let deployment = Self {
            store,
            nodes: places?,
            engines: engines?,
            configuration: Mutex::new(Configuration { version: 0, pool: 0 }),
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
        }
    }

    /// Where a node takes callers.
    pub fn address(&self, node: usize) -> SocketAddr {
        lock(&self.nodes[node]).listen
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

    /// Says that an engine is about to leave.
    pub fn drain(&self, engine: usize) {
        self.list(engine, "draining");
    }

    /// Ends an engine that is about to leave and starts another at its place.
    pub fn replace(&self, engine: usize) -> io::Result<()> {
        let mut place = lock(&self.engines[engine]);
        self.store.remove("servers", &place.id);
        place.start_again(engine)?;
        drop(place);
        self.list(engine, "ready");
        Ok(())
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
        let process = lock(&self.nodes[node]).process.take();
        process.is_none_or(|mut process| {
            process.resume();
            process.stop(GRACE)
        })
    }

    /// Starts a node that does not run.
    pub fn start_node(&self, node: usize) -> io::Result<()> {
        let mut place = lock(&self.nodes[node]);
        if place.process.is_none() {
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

    /// Removes everything that is wrong but ended nodes.
    pub fn heal(&self) {
        for (number, place) in self.nodes.iter().enumerate() {
            self.pause(number, false);
            let place = lock(place);
            place.store_link.mend();
            place.store_door.set_mode(StoreMode::Serving);
        }
        for engine in &self.engines {
            lock(engine).relay.mend();
        }
    }

    /// What engines did so far, over all their starts.
    pub fn records(&self) -> EngineRecords {
        let mut all = EngineRecords::default();
        for engine in &self.engines {
            let place = lock(engine);
            all.add(&place.ended);
            all.add(&place.records());
        }
        all
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
        let place = lock(&self.engines[engine]);
        let stage = place.now.stage().map_or(String::new(), |stage| {
            format!(r#","stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}]"#)
        });
        let row = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":8,"state":"{state}","coldRemainingMs":0{stage},"sequence":4}}"#,
            place.pool,
            place.relay.address()
        );
        self.store.put("servers", &place.id, &base64(&row));
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

impl EngineRecords {
    fn add(&mut self, other: &Self) {
        self.runs.extend(other.runs.iter().cloned());
        self.orders.extend(other.orders.iter().cloned());
    }
}

impl EnginePlace {
    fn start(number: usize, pool: &'static str, stage: Option<&'static str>) -> io::Result<Self> {
        let id = format!("engine-{number}-1");
        let now = start_engine(&id, stage)?;
        let relay = Relay::start((Ipv4Addr::LOCALHOST, 0).into(), now.address())?;
        Ok(Self {
            pool,
            stage,
            relay,
            now,
            id,
            ended: EngineRecords::default(),
            starts: 1,
        })
    }

    fn start_again(&mut self, number: usize) -> io::Result<()> {
        let records = self.records();
        self.ended.add(&records);
        self.starts += 1;
        self.id = format!("engine-{number}-{}", self.starts);
        self.stage = self.now.stage();
        self.now = start_engine(&self.id, self.stage)?;
        self.relay.stop();
        self.relay = Relay::start((Ipv4Addr::LOCALHOST, 0).into(), self.now.address())?;
        Ok(())
    }

    fn records(&self) -> EngineRecords {
        EngineRecords {
            runs: self.now.runs(),
            orders: self.now.order_records(),
        }
    }

    /// Whether the stage is another than the one noted before.
    fn note_stage(&mut self) -> bool {
        let stage = self.now.stage();
        std::mem::replace(&mut self.stage, stage) != stage
    }
}

fn start_engine(id: &str, stage: Option<&'static str>) -> io::Result<ModelEngine> {
    ModelEngine::start(EngineSettings {
        id: id.to_owned(),
        stage,
        events: EVENTS,
    })
}

impl NodePlace {
    fn prepare(number: usize, store: &StandInStore, program: &Path, directory: &Path) -> io::Result<Self> {
        let store_door = store.another_door()?;
        let store_link = Relay::start((Ipv4Addr::LOCALHOST, 0).into(), store_door.address())?;
        let [listen, ready, peers] = free_addresses()?;
        let settings = directory.join(format!("node-{number}.toml"));
        let text = format!(
            "log_level = 'info'\n\n[node]\nnode = 'node-{number}'\nzone = 'zone-a'\nlisten = '{listen}'\nready_listen = '{ready}'\npeer_listen = '{peers}'\nstore = '{}'\nfirst_start = false\ngrace_seconds = {}\n",
            store_link.address(),
            GRACE.as_secs_f64()
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            launch: Launch {
                program: PathBuf::from(program),
                settings,
                log: directory.join(format!("node-{number}.log")),
            },
            process: None,
            store_door,
            store_link,
            listen,
            exits: 0,
        })
    }
}

/// Addresses on which nothing listens now.
fn free_addresses() -> io::Result<[SocketAddr; 3]> {
    let bind = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
    let held = [bind()?, bind()?, bind()?];
    Ok([
        held[0].local_addr()?,
        held[1].local_addr()?,
        held[2].local_addr()?,
    ])
}

fn configuration_text(version: u64, application: &str) -> String {
    let route = |name: &str, kind: &str, pool: &str, resumable: bool| {
        format!(
            r#"{{"name":"{name}","host":"svc.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"{pool}","maxAttempts":2,"resumable":{resumable},"gapTargetMs":300}}"#
        )
    };
    let routes = [
        route("once", "streaming", MODEL_POOL, false),
        route("again", "streaming", MODEL_POOL, true),
        route("app", "non_idempotent", application, false),
        route("look", "idempotent", application, false),
    ];
    let plain = |pool: &str| {
        format!(
            r#"{{"name":"{pool}","healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{MODEL_POOL}","healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false,"engine":{{"slots":8,"kvTokens":100000,"kvBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":8,"most":12,"handleTtlS":5.0,"stageSwitchS":2.3,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},{},{}],"limits":{{"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        plain(APPLICATION_POOLS[0]),
        plain(APPLICATION_POOLS[1]),
    )
}

fn base64(text: &str) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(text)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
