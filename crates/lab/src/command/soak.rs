//! `shelfjunction-lab soak`: load on a deployment that is disturbed all the while.

use super::{Command, CommandError, Options};
use crate::cluster::deployment::Deployment;
use crate::soak::{self, SoakConfig};
use std::time::Duration;

/// The command.
pub const COMMAND: Command = Command {
    name: "soak",
    summary: "Runs load through restarts, crashes and outages and accounts for every call.",
    example: "shelfjunction-lab soak --seconds 30 --rate 40 --seed 1",
    declare,
    run,
};

/// Seconds of each phase unless given.
const DEFAULT_SECONDS: f64 = 20.0;

/// Calls a second unless given.
const DEFAULT_RATE: f64 = 40.0;

/// Longest phase, in seconds: one day.
const MAXIMUM_SECONDS: f64 = 86_400.0;

fn declare(options: &mut getopts::Options) {
    options.optopt("", "seconds", "length of each of the two phases", "SECONDS");
    options.optopt("", "rate", "mean rate of calls", "CALLS_PER_SECOND");
    options.optopt("", "seed", "seed of calls and disturbances", "NUMBER");
    options.optflag("", "json", "print the figures as JSON");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let seconds = options.value_or("seconds", DEFAULT_SECONDS)?;
    if !(seconds > 0.0 && seconds <= MAXIMUM_SECONDS) {
        let message = format!("--seconds {seconds}: allowed is above 0, at most {MAXIMUM_SECONDS}");
        return Err(CommandError::Usage(message));
    }
    let config = SoakConfig {
        phase: Duration::from_secs_f64(seconds),
        requests_per_second: options.value_or("rate", DEFAULT_RATE)?,
        seed: options.value_or("seed", 0)?,
    };
    let report =
        soak::run(&config, Deployment::pharmacy()).map_err(|error| CommandError::failed("soak", error))?;
    if options.flag("json") {
        let text =
            serde_json::to_string_pretty(&report).map_err(|error| CommandError::failed("figures", error))?;
        println!("{text}");
    } else {
        report.phases.iter().for_each(|phase| print!("{phase}"));
    }
    if report.holds() {
        Ok(())
    } else {
        Err(CommandError::Failed("a figure that must be 0 is not".to_owned()))
    }
}
