//! `shelfjunction-lab footprint`: memory, threads and processor time of running processes.

use super::{Command, CommandError, Options};
use crate::footprint::{self, Footprint, WatchedProcess};
use std::time::Duration;

/// The command.
pub const COMMAND: Command = Command {
    name: "footprint",
    summary: "Watches running processes and prints their memory, threads and processor time.",
    example: "shelfjunction-lab footprint --gateway 4711 --controller 4712 --seconds 10",
    declare,
    run,
};

/// Seconds of watching unless given.
const DEFAULT_SECONDS: u64 = 10;

/// Options that name processes; also their names in the figures.
const PROCESS_OPTIONS: [&str; 3] = ["gateway", "controller", "platform"];

fn declare(options: &mut getopts::Options) {
    for name in PROCESS_OPTIONS {
        options.optmulti("", name, "process to watch; may be repeated", "PID");
    }
    options.optopt("", "seconds", "how long to watch", "SECONDS");
    options.optflag("", "json", "print the figures as JSON");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let mut processes = Vec::new();
    for name in PROCESS_OPTIONS {
        for text in options.texts(name) {
            let pid = text
                .parse()
                .map_err(|error| CommandError::Usage(format!("--{name} {text}: {error}")))?;
            processes.push(WatchedProcess { name, pid });
        }
    }
    if processes.is_empty() {
        return Err(CommandError::Usage("no process is named".to_owned()));
    }
    let duration = Duration::from_secs(options.value_or("seconds", DEFAULT_SECONDS)?);
    let footprints =
        footprint::watch(&processes, duration).map_err(|error| CommandError::failed("footprint", error))?;
    print(&footprints, options.flag("json"))
}

fn print(footprints: &[Footprint], as_json: bool) -> Result<(), CommandError> {
    if as_json {
        let text = serde_json::to_string_pretty(footprints)
            .map_err(|error| CommandError::failed("figures", error))?;
        println!("{text}");
    } else {
        for footprint in footprints {
            println!("{footprint}");
        }
    }
    Ok(())
}
