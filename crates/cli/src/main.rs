//! `shelfjunction`: the gateway, the controller and the operator's commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    shelfjunction::run(&arguments).into()
}
