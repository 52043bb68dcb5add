//! Runs the one process of a machine on the users' platform until a signal.

use super::signals::{NodeSignal, NodeSignals};
use super::start_error;
use crate::exit::CommandError;
use crate::settings::{NodeSettings, ProgramSettings};
use shelfjunction_adapter::{PlatformApi, PlatformCallers, PlatformEngines, PlatformStore, serve_readiness};
use shelfjunction_core::setting::FieldError;
use shelfjunction_logging::LogLosses;
use shelfjunction_node::ports::PlatformDuties;
use shelfjunction_node::{Adapters, NodeConfig, NodeHandle};
use std::path::Path;
use std::sync::Arc;

impl ProgramSettings for NodeConfig {
    const TABLE: &'static str = "node";

    const HAS_ROOT_KEYS: bool = false;

    const TEMPLATE: &'static str = "\
node = 'node-1'
zone = 'zone-a'
listen = '127.0.0.1:8080'
ready_listen = '127.0.0.1:8081'
peer_listen = '127.0.0.1:8082'
store = '127.0.0.1:9000'
";

    fn resolve_paths(&mut self, _directory: &Path) {}

    fn range_errors(&self) -> Vec<FieldError> {
        self.validate()
    }
}

/// Runs the process until SIGTERM or SIGINT, then until its last request has ended.
pub fn run(
    settings: NodeSettings<NodeConfig>,
    mut signals: NodeSignals,
    losses: Arc<LogLosses>,
    reload: impl Fn() -> Result<NodeSettings<NodeConfig>, CommandError>,
) -> Result<(), CommandError> {
    let config = settings.program;
    let running = config.clone();
    let store = Arc::new(PlatformStore::new(config.store));
    let adapters = Adapters {
        callers: Arc::new(PlatformCallers),
        engines: Arc::new(PlatformEngines),
        store: store.clone(),
        directory: store.clone(),
        table: store,
        duties: duties(&config),
    };
    let (node, zone, listen, ready_listen) = (
        config.node.clone(),
        config.zone.clone(),
        config.listen,
        config.ready_listen,
    );
    let handle = NodeHandle::start(config, adapters, losses).map_err(|cause| start_error("node", cause))?;
    let _readiness =
        serve_readiness(ready_listen, handle.state()).map_err(|cause| start_error("node", cause))?;
    log::info!(
        address:% = listen,
        ready_address:% = ready_listen,
        node = node.as_str(),
        zone = zone.as_str(),
        program = "node",
        version = env!("CARGO_PKG_VERSION");
        "started"
    );
    let signal = loop {
        match signals.wait() {
            NodeSignal::Stop(signal) => break signal,
            NodeSignal::Reload => take_settings(reload(), &running, &handle),
        }
    };
    log::info!(signal = signal, node = node.as_str(), requests = handle.state().requests_under_way(); "stopping");
    handle.stop();
    log::info!(node = node.as_str(), requests = handle.state().requests_under_way(); "stopped");
    Ok(())
}

/// The platform's interface for duties, where the settings name one.
fn duties(config: &NodeConfig) -> Option<Arc<dyn PlatformDuties>> {
    let settings = config.duties.as_ref()?;
    Some(Arc::new(PlatformApi::new(settings.address)))
}

/// Takes the log level, zones and regions of new settings; what else has changed takes a restart. Faulty settings change nothing.
fn take_settings(
    loaded: Result<NodeSettings<NodeConfig>, CommandError>,
    running: &NodeConfig,
    handle: &NodeHandle,
) {
    match loaded {
        Ok(settings) => {
            shelfjunction_logging::set_level(settings.log_level);
            handle.set_topology(&settings.program.topology);
            let remaining = NodeConfig {
                topology: running.topology.clone(),
                ..settings.program
            };
            log::info!(needs_restart = remaining != *running; "settings_reloaded");
        }
        Err(error) => log::warn!(fault:% = error.to_string().trim_end(); "settings_refused"),
    }
}
