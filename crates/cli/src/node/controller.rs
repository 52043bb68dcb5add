//! Runs a controller until a signal.

use super::signals::StopSignals;
use super::start_error;
use crate::exit::CommandError;
use crate::settings::{NodeSettings, ProgramSettings};
use shelfjunction_controller::{Controller, ControllerConfig};
use shelfjunction_core::setting::FieldError;
use std::path::Path;

impl ProgramSettings for ControllerConfig {
    const TABLE: &'static str = "controller";

    const TEMPLATE: &'static str = "\
node = 'node-1'
zone = 'zone-a'
region = 'region'
listen = '127.0.0.1:7000'
http_listen = '127.0.0.1:7001'
gateway_address = '127.0.0.1:8080'
platform = '127.0.0.1:9000'

[roots]
required_signatures = 1
operators = []
";

    fn resolve_paths(&mut self, _directory: &Path) {}

    fn range_errors(&self) -> Vec<FieldError> {
        self.validate()
    }
}

/// Runs a controller until SIGTERM or SIGINT.
pub fn run(settings: NodeSettings<ControllerConfig>) -> Result<(), CommandError> {
    let mut signals = StopSignals::register()?;
    let node = settings.program.node.clone();
    let zone = settings.program.zone.clone();
    let handle = Controller::start(settings.program).map_err(|cause| start_error("controller", cause))?;
    log::info!(
        address:% = handle.peer_address(),
        http_address:% = handle.http_address(),
        node = node.as_str(),
        zone = zone.as_str(),
        program = "controller";
        "listening"
    );
    let signal = signals.wait();
    log::info!(signal = signal, node = node.as_str(), program = "controller"; "stopping");
    handle.stop();
    handle.wait();
    log::info!(node = node.as_str(), program = "controller"; "stopped");
    Ok(())
}
