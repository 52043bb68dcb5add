//! `shelfjunction-lab platform`: the stand-in of the platform's services.

use super::{Command, CommandError, Options};
use crate::platform::server::PlatformStartError;
use crate::platform::{PlatformConfig, PlatformServer};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// The command.
pub const COMMAND: Command = Command {
    name: "platform",
    summary: "Runs the stand-in of the platform's services until it is told to stop.",
    example: "shelfjunction-lab platform --listen 127.0.0.1:7100",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    options.optopt("", "settings", "settings file; flags go before it", "FILE");
    options.optopt(
        "",
        "listen",
        "address to listen on; port 0 takes a free one",
        "ADDRESS",
    );
    options.optflag("", "check", "check the settings and exit");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let config = config(options)?;
    if let Some(error) = CommandError::wrong_settings(&config.validate()) {
        return Err(error);
    }
    if options.flag("check") {
        return Ok(());
    }
    let mut signals =
        Signals::new([SIGINT, SIGTERM]).map_err(|error| CommandError::failed("signals", error))?;
    let handle = PlatformServer::start(config).map_err(start_error)?;
    println!("listening address={}", handle.address());
    signals.forever().next();
    handle.stop();
    handle.wait();
    Ok(())
}

fn config(options: &Options) -> Result<PlatformConfig, CommandError> {
    let mut config: PlatformConfig = options.settings()?;
    if let Some(listen) = options.value("listen")? {
        config.listen = listen;
    }
    Ok(config)
}

fn start_error(error: PlatformStartError) -> CommandError {
    CommandError::failed("platform", error)
}
