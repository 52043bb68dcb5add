//! `shelfjunction-lab replay`: recorded calls with stated outcomes.

use super::{Command, CommandError, Options};
use crate::replay::trace::Trace;
use crate::replay::{self, ReplayedCall};

/// The command.
pub const COMMAND: Command = Command {
    name: "replay",
    summary: "Sends recorded calls to a deployment in this process and compares their outcomes with the stated ones.",
    example: "shelfjunction-lab replay --trace examples/traces/pharmacy.json",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    options.optopt("", "trace", "recording (JSON)", "FILE");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let path: String = options.required("trace")?;
    let trace = read(&path)?;
    let replayed = replay::run(&trace).map_err(|error| CommandError::failed("replay", error))?;
    replayed.iter().for_each(print);
    let failed = replayed.iter().filter(|call| !call.holds()).count();
    match failed {
        0 => Ok(()),
        count => Err(CommandError::Failed(format!(
            "{count} of {} outcomes are not the stated ones",
            replayed.len()
        ))),
    }
}

fn read(path: &str) -> Result<Trace, CommandError> {
    let wrong = |error: &dyn std::fmt::Display| CommandError::Usage(format!("--trace {path}: {error}"));
    let text = std::fs::read_to_string(path).map_err(|error| wrong(&error))?;
    serde_json::from_str(&text).map_err(|error| wrong(&error))
}

fn print(call: &ReplayedCall) {
    let verdict = if call.holds() { "ok   " } else { "WRONG" };
    println!(
        "{verdict} at={} tenant={} zone={} stated={:?} got={:?}",
        call.recorded.at_millis, call.recorded.tenant, call.recorded.zone, call.recorded.expect, call.result
    );
}
