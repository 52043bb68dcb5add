//! Runs a gateway until a signal.

use super::signals::StopSignals;
use super::start_error;
use crate::exit::CommandError;
use crate::settings::{NodeSettings, ProgramSettings};
use shelfjunction_core::setting::FieldError;
use shelfjunction_gateway::{Gateway, GatewayConfig};
use std::path::Path;

impl ProgramSettings for GatewayConfig {
    const TABLE: &'static str = "gateway";

    const TEMPLATE: &'static str = "\
node = 'node-1'
zone = 'zone-a'
region = 'region'
listen = '127.0.0.1:8080'
controllers = ['127.0.0.1:7000']
platform = '127.0.0.1:9000'

[roots]
required_signatures = 1
operators = []
";

    fn resolve_paths(&mut self, directory: &Path) {
        if let Some(path) = &mut self.cache_secret_file {
            *path = directory.join(&path);
        }
    }

    fn range_errors(&self) -> Vec<FieldError> {
        self.validate()
    }
}

/// Runs a gateway until SIGTERM or SIGINT, then until its last stream has ended.
pub fn run(settings: NodeSettings<GatewayConfig>) -> Result<(), CommandError> {
    let mut signals = StopSignals::register()?;
    let node = settings.program.node.clone();
    let zone = settings.program.zone.clone();
    let handle = Gateway::start(settings.program).map_err(|cause| start_error("gateway", cause))?;
    log::info!(
        address:% = handle.address(),
        node = node.as_str(),
        zone = zone.as_str(),
        program = "gateway";
        "listening"
    );
    let signal = signals.wait();
    log::info!(signal = signal, node = node.as_str(), program = "gateway"; "stopping");
    handle.stop();
    handle.wait();
    log::info!(node = node.as_str(), program = "gateway"; "stopped");
    Ok(())
}
