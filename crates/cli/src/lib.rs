//! `shelfjunction`: the gateway, the controller and the operator's commands.
//!
//! [`run`] chooses a subcommand. [`node`] runs the two programs of a machine, [`operator`] the commands that speak
//! to a gateway's administration API, and [`settings`] reads what both are told.

pub mod exit;
pub mod node;
pub mod operator;
pub mod options;
pub mod settings;
mod usage;

pub use exit::Exit;

use exit::CommandError;

/// Runs the program with its arguments, without the program's own name.
pub fn run(arguments: &[String]) -> Exit {
    match dispatch(arguments) {
        Ok(()) => Exit::Done,
        Err(error) => {
            eprint!("{error}");
            error.exit()
        }
    }
}

fn dispatch(arguments: &[String]) -> Result<(), CommandError> {
    let Some((command, rest)) = arguments.split_first() else {
        return Err(CommandError::Usage(usage::PROGRAM.to_owned()));
    };
    match command.as_str() {
        "gateway" => node::run_gateway(rest),
        "controller" => node::run_controller(rest),
        "node" => node::run_node(rest),
        "bundle" => operator::run_bundle(rest),
        "status" => operator::run_status(rest),
        "engines" => operator::run_engines(rest),
        "usage" => operator::run_usage(rest),
        "duties" => operator::duties::run(rest),
        "cordons" => operator::cordons::run(rest),
        "pool-engines" => operator::pool_engines::run(rest),
        "regions" => operator::regions::run(rest),
        "quarantine" => operator::quarantine::run(rest),
        "explain" => operator::explain::run(rest),
        "requests" => operator::run_requests(rest),
        "--help" | "-h" | "help" => {
            print!("{}", usage::PROGRAM);
            Ok(())
        }
        "--version" | "-V" => {
            println!("shelfjunction {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        unknown => Err(CommandError::Usage(format!(
            "unknown command {unknown:?}\n\n{}",
            usage::PROGRAM
        ))),
    }
}
