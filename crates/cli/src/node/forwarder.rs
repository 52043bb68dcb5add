//! Runs the one process of a machine on the users' platform until a signal.

use super::signals::StopSignals;
use super::start_error;
use crate::exit::CommandError;
use crate::settings::{NodeSettings, ProgramSettings};
use shelfjunction_adapter::{PlatformCallers, PlatformEngines, PlatformStore, serve_readiness};
use shelfjunction_core::setting::FieldError;
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
store = '127.0.0.1:9000'
";

    fn resolve_paths(&mut self, _directory: &Path) {}

    fn range_errors(&self) -> Vec<FieldError> {
        self.validate()
    }
}

/// Runs the process until SIGTERM or SIGINT, then until its last request has ended.
pub fn run(settings: NodeSettings<NodeConfig>) -> Result<(), CommandError> {
    let mut signals = StopSignals::register()?;
    let config = settings.program;
    let adapters = Adapters {
        callers: Arc::new(PlatformCallers),
        engines: Arc::new(PlatformEngines),
        store: Arc::new(PlatformStore::new(config.store)),
    };
    let (node, zone, listen, ready_listen) = (
        config.node.clone(),
        config.zone.clone(),
        config.listen,
        config.ready_listen,
    );
    let handle = NodeHandle::start(config, adapters).map_err(|cause| start_error("node", cause))?;
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
    let signal = signals.wait();
    log::info!(signal = signal, node = node.as_str(), requests = handle.state().requests_under_way(); "stopping");
    handle.stop();
    log::info!(node = node.as_str(), requests = handle.state().requests_under_way(); "stopped");
    Ok(())
}
