//! `shelfjunction-lab engine`: the stand-in for one engine.

use super::{Command, CommandError, Options};
use crate::engine::{EngineConfig, EngineServer};
use shelfjunction_core::engine::{LoadedWeights, Role};
use shelfjunction_core::identity::{AdapterId, EngineId, ModelId, WeightVersion};
use shelfjunction_engine_model::config::EngineKind;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The command.
pub const COMMAND: Command = Command {
    name: "engine",
    summary: "Runs the stand-in for one engine until it is told to stop.",
    example: "shelfjunction-lab engine --listen 127.0.0.1:7300 --name renewal-1 --model renewal@1+chain-a",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    engine_options(options);
    options.optflag("", "check", "check the settings and exit");
}

/// Adds the options that settle an engine's settings.
pub(super) fn engine_options(options: &mut getopts::Options) {
    options.optopt("", "settings", "settings file; flags go before it", "FILE");
    options.optopt(
        "",
        "listen",
        "address to listen on; port 0 takes a free one",
        "ADDRESS",
    );
    options.optopt("", "name", "name of the engine", "NAME");
    options.optmulti(
        "",
        "model",
        "weights held from the start; may be repeated",
        "MODEL@VERSION[+ADAPTER]",
    );
    options.optopt(
        "",
        "application",
        "be an application of this name and not a model engine",
        "NAME",
    );
    options.optopt(
        "",
        "role",
        "role from the start: prefill, decode or mixed",
        "ROLE",
    );
    options.optopt(
        "",
        "time-scale",
        "model seconds that pass in one second",
        "FACTOR",
    );
    options.optopt(
        "",
        "incarnation",
        "number of this start; later ones must be higher",
        "NUMBER",
    );
}

fn run(options: &Options) -> Result<(), CommandError> {
    let config = engine_config(options)?;
    if options.flag("check") {
        return Ok(());
    }
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|error| CommandError::failed("signals", error))?;
    let handle = EngineServer::start(config).map_err(|error| CommandError::failed("engine", error))?;
    println!("listening address={}", handle.address());
    signals.forever().next();
    handle.stop();
    handle.wait();
    Ok(())
}

/// The settings of an engine: the file's, with flags before it.
pub(super) fn engine_config(options: &Options) -> Result<EngineConfig, CommandError> {
    let mut config: EngineConfig = options.settings()?;
    if let Some(listen) = options.value("listen")? {
        config.listen = listen;
    }
    if let Some(name) = options.text("name") {
        config.name = EngineId::new(name);
    }
    if let Some(scale) = options.value("time-scale")? {
        config.time_scale = scale;
    }
    if let Some(incarnation) = options.value("incarnation")? {
        config.incarnation = Some(incarnation);
    }
    apply_kind(options, &mut config)?;
    match CommandError::wrong_settings(&config.validate()) {
        Some(error) => Err(error),
        None => Ok(config),
    }
}

fn apply_kind(options: &Options, config: &mut EngineConfig) -> Result<(), CommandError> {
    if let Some(application) = options.text("application") {
        config.model.kind = EngineKind::Application {
            application: ModelId::new(application),
        };
        return Ok(());
    }
    let EngineKind::Model { role, weights } = &mut config.model.kind else {
        return Ok(());
    };
    if let Some(text) = options.text("role") {
        *role = parse_role(&text)?;
    }
    let models = options.texts("model");
    if !models.is_empty() {
        *weights = models
            .iter()
            .map(|text| parse_weights(text))
            .collect::<Result<_, _>>()?;
    }
    Ok(())
}

fn parse_role(text: &str) -> Result<Role, CommandError> {
    match text {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "mixed" => Ok(Role::Mixed),
        _ => Err(CommandError::Usage(format!(
            "--role {text}: allowed is prefill, decode or mixed"
        ))),
    }
}

fn parse_weights(text: &str) -> Result<LoadedWeights, CommandError> {
    let mut parts = text.split('+');
    let named = parts.next().and_then(|weights| weights.split_once('@'));
    let Some((model, version)) = named else {
        return Err(CommandError::Usage(format!(
            "--model {text}: allowed is MODEL@VERSION[+ADAPTER]..."
        )));
    };
    Ok(LoadedWeights {
        model: ModelId::new(model),
        version: WeightVersion::new(version),
        adapters: parts.map(AdapterId::new).collect(),
    })
}
