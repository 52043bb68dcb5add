//! `shelfjunction-lab demo`: a whole deployment in one process, with real requests.

use super::{Command, CommandError, Options};
use crate::cluster::deployment::Deployment;
use crate::demo;

/// The command.
pub const COMMAND: Command = Command {
    name: "demo",
    summary: "Runs a whole deployment in one process, sends real requests and checks the answers.",
    example: "shelfjunction-lab demo --deployment kadriks",
    declare,
    run,
};

fn declare(options: &mut getopts::Options) {
    options.optopt("", "deployment", "pharmacy (default) or kadriks", "NAME");
}

fn run(options: &Options) -> Result<(), CommandError> {
    let name = options
        .text("deployment")
        .unwrap_or_else(|| "pharmacy".to_owned());
    let deployment = Deployment::by_name(&name)
        .ok_or_else(|| CommandError::Usage(format!("--deployment {name}: allowed is pharmacy or kadriks")))?;
    demo::run(deployment).map_err(|error| CommandError::failed("demo", error))
}
