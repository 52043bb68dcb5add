//! A small deployment as real programs on loopback, each ended when the deployment is dropped.

use super::program::Program;
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_core::engine::RunRecord;
use shelfjunction_core::identity::{TenantId, ZoneId};
use shelfjunction_engine_model::answer::AnswerSeed;
use shelfjunction_lab::caller::{AnswerReader, CallerClient, CompletionCall, Refused};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::engine_log::{nonce_of_caller, nonce_of_engine, read_log};
use shelfjunction_lab::cluster::layout::{ClusterLayout, EngineLayout, NodeLayout, ZoneSize};
use shelfjunction_lab::cluster::publish::publish_first;
use shelfjunction_lab::cluster::readiness::wait_until_ready;
use shelfjunction_lab::engine::EngineLog;
use shelfjunction_lab::platform::faults::PlatformFaults;
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tempfile::TempDir;

/// Longest wait until a new deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait for a part of an answer.
const PART_TIMEOUT: Duration = Duration::from_secs(30);

/// Secret that the nodes share, in hexadecimal.
const CACHE_SECRET: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// File name of the operators' and nodes' program.
const NODE_PROGRAM: &str = "shelfjunction";

/// File name of the program with the stand-ins.
const LAB_PROGRAM: &str = "shelfjunction-lab";

/// The fewest engines that leave a choice across zones.
pub const SMALL_ZONES: ZoneSize = ZoneSize {
    nodes: 1,
    model_engines: 1,
    application_engines: 1,
};

/// Programs of one deployment.
pub struct Processes {
    /// Where everything listens.
    pub layout: ClusterLayout,
    /// The platform.
    pub platform: Program,
    /// Engines, in the layout's order.
    pub engines: Vec<Program>,
    /// Controllers, in the layout's order of nodes.
    pub controllers: Vec<Program>,
    /// Gateways, in the layout's order of nodes.
    pub gateways: Vec<Program>,
    directory: TempDir,
    caller: CallerClient,
    _alone: MutexGuard<'static, ()>,
}

/// One deployment runs at a time; several would only slow each other down.
static ALONE: Mutex<()> = Mutex::new(());

impl Processes {
    /// Starts the pharmacy deployment and waits until every gateway serves.
    pub fn start(size: ZoneSize) -> Self {
        let layout = ClusterLayout::new(Deployment::pharmacy(), size).unwrap();
        let running = Self::start_listed(layout.clone(), &layout);
        running.wait_until_ready();
        running
    }

    /// Starts what a layout says and publishes its first bundle; the caller waits until it serves.
    ///
    /// The platform lists the machines of `listed`, whose addresses may be those of relays.
    pub fn start_listed(layout: ClusterLayout, listed: &ClusterLayout) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = TempDir::new().unwrap();
        write_shared_files(&layout, listed, &directory);
        let platform = start_platform(&layout, &directory);
        let client = HttpPlatform::new(layout.platform, PlatformTimeouts::default());
        publish_first(&client, &layout.deployment).unwrap();
        let engines = layout.engines.iter().map(|engine| start_engine(&layout, engine));
        let engines = engines.collect();
        let nodes = || layout.nodes.iter();
        let controllers = nodes()
            .map(|node| start_node(&layout, &directory, node, "controller"))
            .collect();
        let gateways = nodes()
            .map(|node| start_node(&layout, &directory, node, "gateway"))
            .collect();
        Self {
            platform,
            engines,
            controllers,
            gateways,
            directory,
            layout,
            caller: CallerClient::new(PART_TIMEOUT),
            _alone: alone,
        }
    }

    /// Waits until every gateway serves the model and the application.
    pub fn wait_until_ready(&self) {
        wait_until_ready(&self.layout, READY_LIMIT).unwrap();
    }

    /// Starts a gateway anew under its address.
    pub fn restart_gateway(&mut self, index: usize) {
        let node = &self.layout.nodes[index];
        self.gateways[index] = start_node(&self.layout, &self.directory, node, "gateway");
    }

    /// Sends a streamed call of a tenant through a gateway.
    pub fn call(&self, gateway: usize, tenant: &str, call: &CompletionCall) -> Result<AnswerReader, Refused> {
        let token = Deployment::tenant_token(&TenantId::new(tenant));
        self.call_with_token(gateway, &token, call)
    }

    /// Sends a streamed call with a bearer token through a gateway.
    pub fn call_with_token(
        &self,
        gateway: usize,
        token: &str,
        call: &CompletionCall,
    ) -> Result<AnswerReader, Refused> {
        self.caller
            .complete(self.layout.nodes[gateway].gateway, token, call)
    }

    /// A call to the model.
    pub fn model_call(&self, prompt: &str, max_tokens: u32) -> CompletionCall {
        completion_call(self.layout.deployment.model.as_str(), prompt, max_tokens)
    }

    /// A call to the application with a key.
    pub fn application_call(&self, prompt: &str, key: &str) -> CompletionCall {
        CompletionCall {
            key: Some(key.to_owned()),
            ..completion_call(self.layout.deployment.application.as_str(), prompt, 4)
        }
    }

    /// What an engine was told and ran.
    pub fn engine_log(&self, index: usize) -> EngineLog {
        read_log(self.layout.engines[index].address).unwrap()
    }

    /// How often engines began a request, over all engines, by the identifier that its caller was given.
    pub fn runs_of(&self, request: &str) -> usize {
        (0..self.engines.len())
            .map(|index| self.runs_on(index, request))
            .sum()
    }

    /// How often one engine began a request.
    pub fn runs_on(&self, index: usize, request: &str) -> usize {
        let nonce = nonce_of_caller(request);
        let log = self.engine_log(index);
        let same = |run: &&RunRecord| nonce_of_engine(run.request.as_str()) == nonce;
        log.runs.iter().filter(same).count()
    }

    /// How often application engines began any request.
    pub fn application_runs(&self) -> usize {
        let of_kind = |index: &usize| self.layout.engines[*index].kind == ModelKind::Application;
        let applications = (0..self.engines.len()).filter(of_kind);
        applications.map(|index| self.engine_log(index).runs.len()).sum()
    }

    /// Engines of a zone.
    pub fn engines_of(&self, zone: &ZoneId) -> Vec<usize> {
        let of_zone = |index: &usize| self.layout.engines[*index].zone == *zone;
        (0..self.engines.len()).filter(of_zone).collect()
    }

    /// The text that any engine gives to a call of the model without an adapter.
    pub fn expected_text(&self, call: &CompletionCall) -> String {
        let seed = AnswerSeed::new(&self.layout.deployment.model, None, &call.prompt);
        (0..seed.length(call.max_tokens))
            .map(|offset| seed.token(offset))
            .collect()
    }

    /// Replaces the platform's faults.
    pub fn set_platform_faults(&self, faults: PlatformFaults) {
        let body = serde_json::to_vec(&faults).unwrap();
        let url = format!("http://{}/faults", self.layout.platform);
        assert_eq!(ureq::post(url).send(&body[..]).unwrap().status(), 200);
    }

    /// The platform as a client sees it.
    pub fn platform_client(&self) -> HttpPlatform {
        HttpPlatform::new(self.layout.platform, PlatformTimeouts::default())
    }

    /// Writes a file that an operator's command can be given, and tells its path.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.directory.path().join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Runs an operator's command to its end.
    pub fn operator_command(&self, arguments: &[&str]) -> Program {
        let arguments: Vec<String> = arguments.iter().map(|&argument| argument.to_owned()).collect();
        Program::start(NODE_PROGRAM, &arguments.join(" "), &arguments)
    }
}

fn completion_call(model: &str, prompt: &str, max_tokens: u32) -> CompletionCall {
    CompletionCall {
        model: model.to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        class: None,
        key: None,
    }
}

fn write_shared_files(layout: &ClusterLayout, listed: &ClusterLayout, directory: &TempDir) {
    let write = |name: &str, text: &str| fs::write(directory.path().join(name), text).unwrap();
    write("cache-secret", CACHE_SECRET);
    write(
        "root-keys.toml",
        &toml::to_string(&layout.deployment.roots()).unwrap(),
    );
    #[derive(serde::Serialize)]
    struct PlatformSettings {
        machines: Vec<shelfjunction_core::machine::Machine>,
    }
    let machines = listed.machines();
    write(
        "platform.toml",
        &toml::to_string(&PlatformSettings { machines }).unwrap(),
    );
    for node in &layout.nodes {
        write(
            &format!("{}.gateway.toml", node.node),
            &gateway_settings(layout, node),
        );
        write(
            &format!("{}.controller.toml", node.node),
            &controller_settings(layout, node),
        );
    }
}

const SHARED_SETTINGS: &str = "log_level = 'info'\nroot_keys_file = 'root-keys.toml'\n";

fn gateway_settings(layout: &ClusterLayout, node: &NodeLayout) -> String {
    let controllers = toml_list(&layout.controllers_from(node));
    format!(
        "{SHARED_SETTINGS}[gateway]\nnode = '{}'\nzone = '{}'\nregion = '{}'\nlisten = '{}'\n\
         controllers = {controllers}\nplatform = '{}'\ncache_secret_file = 'cache-secret'\n",
        node.node, node.zone, layout.deployment.region, node.gateway, layout.platform
    )
}

fn controller_settings(layout: &ClusterLayout, node: &NodeLayout) -> String {
    let seeds = toml_list(&layout.seeds_for(node));
    format!(
        "{SHARED_SETTINGS}[controller]\nnode = '{}'\nzone = '{}'\nregion = '{}'\nlisten = '{}'\n\
         http_listen = '{}'\ngateway_address = '{}'\nplatform = '{}'\nseeds = {seeds}\n",
        node.node,
        node.zone,
        layout.deployment.region,
        node.controller,
        node.controller_http,
        node.gateway,
        layout.platform
    )
}

fn toml_list(addresses: &[SocketAddr]) -> String {
    let quoted: Vec<String> = addresses.iter().map(|address| format!("'{address}'")).collect();
    format!("[{}]", quoted.join(", "))
}

fn start_platform(layout: &ClusterLayout, directory: &TempDir) -> Program {
    let settings = directory.path().join("platform.toml");
    let arguments = [
        "platform".to_owned(),
        format!("--settings={}", settings.display()),
        format!("--listen={}", layout.platform),
    ];
    let program = Program::start(LAB_PROGRAM, "platform", &arguments);
    program.wait_for_address("address");
    program
}

fn start_engine(layout: &ClusterLayout, engine: &EngineLayout) -> Program {
    let deployment = &layout.deployment;
    let kind = match engine.kind {
        ModelKind::Model => format!("--model={}@1+{}", deployment.model, deployment.adapter),
        ModelKind::Application => format!("--application={}", deployment.application),
    };
    let arguments = [
        "engine".to_owned(),
        format!("--listen={}", engine.address),
        format!("--name={}", engine.engine),
        kind,
    ];
    let program = Program::start(LAB_PROGRAM, engine.engine.as_str(), &arguments);
    program.wait_for_address("address");
    program
}

fn start_node(layout: &ClusterLayout, directory: &TempDir, node: &NodeLayout, program: &str) -> Program {
    let settings = directory.path().join(format!("{}.{program}.toml", node.node));
    let arguments = [program.to_owned(), format!("--settings={}", settings.display())];
    let name = format!("{program} of {} for {}", node.node, layout.deployment.name);
    let program = Program::start(NODE_PROGRAM, &name, &arguments);
    program.wait_for_address("address");
    program
}
