//! `shelfjunction-lab`: stand-ins, load and experiment tools.

use shelfjunction_lab::command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    command::run(&arguments)
}
