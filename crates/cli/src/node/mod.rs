//! The two programs of a machine: gateway and controller.

mod controller;
mod forwarder;
mod gateway;
mod signals;

use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed, Values};
use crate::settings::{self, NodeSettings, Override, ProgramSettings};
use crate::usage;
use shelfjunction_logging as logging;
use signals::NodeSignals;
use std::path::PathBuf;

/// Runs `shelfjunction gateway`.
pub fn run_gateway(arguments: &[String]) -> Result<(), CommandError> {
    match prepare(usage::GATEWAY, arguments)? {
        Some(settings) => gateway::run(settings),
        None => Ok(()),
    }
}

/// Runs `shelfjunction controller`.
pub fn run_controller(arguments: &[String]) -> Result<(), CommandError> {
    match prepare(usage::CONTROLLER, arguments)? {
        Some(settings) => controller::run(settings),
        None => Ok(()),
    }
}

/// Runs `shelfjunction node`.
pub fn run_node(arguments: &[String]) -> Result<(), CommandError> {
    // A signal to reload that comes during the start would end the process otherwise.
    let signals = NodeSignals::register()?;
    let Some(settings) = checked(usage::NODE, arguments)? else {
        return Ok(());
    };
    // Tests run several programs in one process; the first one's logger serves all.
    let losses = logging::install_queued(settings.log_level).unwrap_or_default();
    let result = forwarder::run(settings, signals, losses, || load(usage::NODE, arguments));
    logging::flush();
    result
}

/// Variable that names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "SHELFJUNCTION_CONFIG";

/// The settings file that the option or the variable names.
fn settings_path(values: &Values) -> Result<PathBuf, CommandError> {
    match (values.get("settings"), std::env::var_os(SETTINGS_VARIABLE)) {
        (None, Some(path)) => Ok(PathBuf::from(path)),
        _ => values.require_path("settings"),
    }
}

/// Reads the command line and the settings, and installs the logger; absent when there is nothing to run.
fn prepare<T: ProgramSettings>(
    brief: &'static str,
    arguments: &[String],
) -> Result<Option<NodeSettings<T>>, CommandError> {
    let loaded = checked::<T>(brief, arguments)?;
    if let Some(settings) = &loaded {
        // Tests run several programs in one process; the first one's logger serves all.
        let _ = logging::install(settings.log_level);
    }
    Ok(loaded)
}

/// Reads the command line and the settings; absent when there is nothing to run.
fn checked<T: ProgramSettings>(
    brief: &'static str,
    arguments: &[String],
) -> Result<Option<NodeSettings<T>>, CommandError> {
    let line = command_line(brief);
    let values = match line.parse(arguments)? {
        Parsed::HelpShown => return Ok(None),
        Parsed::Values(values) => values,
    };
    let loaded = load_from(&values)?;
    if values.has("check") {
        println!("settings are in order");
        return Ok(None);
    }
    Ok(Some(loaded))
}

/// Reads the settings anew, as the command line says.
fn load<T: ProgramSettings>(
    brief: &'static str,
    arguments: &[String],
) -> Result<NodeSettings<T>, CommandError> {
    match command_line(brief).parse(arguments)? {
        Parsed::Values(values) => load_from(&values),
        Parsed::HelpShown => Err(CommandError::Usage(brief.to_owned())),
    }
}

fn load_from<T: ProgramSettings>(values: &Values) -> Result<NodeSettings<T>, CommandError> {
    values.no_arguments()?;
    let overrides = overrides::<T>(values)?;
    settings::load::<T>(&settings_path(values)?, &overrides)
}

fn command_line(brief: &'static str) -> CommandLine {
    CommandLine::new(brief)
        .value("settings", "settings file (TOML)", "FILE")
        .value("node", "name of this machine", "NAME")
        .value("zone", "zone of this machine", "NAME")
        .value("region", "region of this machine", "NAME")
        .value("listen", "address to listen on", "IP:PORT")
        .value("platform", "address of the platform", "IP:PORT")
        .value("log-level", logging::LEVELS, "LEVEL")
        .values("set", "any other setting, as in gateway.node=n1", "PATH=VALUE")
        .flag("check", "check the settings and exit")
}

fn overrides<T: ProgramSettings>(values: &Values) -> Result<Vec<Override>, CommandError> {
    let mut overrides = Vec::new();
    for name in ["node", "zone", "region", "listen", "platform"] {
        if let Some(value) = values.get(name) {
            overrides.push(Override::text(&format!("{}.{name}", T::TABLE), &value));
        }
    }
    if let Some(level) = values.get("log-level") {
        overrides.push(Override::text("log_level", &level));
    }
    for text in values.all("set") {
        let change = Override::parse(&text)
            .ok_or_else(|| values.usage(&format!("--set {text}: allowed is PATH=VALUE")))?;
        overrides.push(change);
    }
    Ok(overrides)
}

fn start_error(program: &str, cause: impl std::fmt::Debug) -> CommandError {
    CommandError::Failed(format!("the {program} could not start: {cause:?}"))
}
