//! The subcommands of `shelfjunction-lab`; each lives in a module of its own and has one line in [`COMMANDS`].

mod calibrate;
mod demo;
mod engine;
mod fault_soak;
mod fleet;
mod footprint;
mod load;
mod options;
mod platform;
mod replay;
mod scale;
mod simulate;
mod soak;

pub use options::{CommandError, Options};

use std::process::ExitCode;

/// Exit code of a command that was refused or failed.
const FAILED: u8 = 1;

/// Exit code of a command that was called in a wrong way.
const USAGE: u8 = 2;

/// One subcommand.
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub summary: &'static str,
    /// A call of it, for the help.
    pub example: &'static str,
    /// Adds the command's options.
    pub declare: fn(&mut getopts::Options),
    /// Runs it with its options.
    pub run: fn(&Options) -> Result<(), CommandError>,
}

/// Every subcommand, in the order of the help.
const COMMANDS: &[&Command] = &[
    &platform::COMMAND,
    &engine::COMMAND,
    &calibrate::COMMAND,
    &load::COMMAND,
    &demo::COMMAND,
    &replay::COMMAND,
    &simulate::COMMAND,
    &soak::COMMAND,
    &fault_soak::COMMAND,
    &scale::COMMAND,
    &fleet::COMMAND,
    &footprint::COMMAND,
];

/// Runs the program with the arguments that follow its name.
pub fn run(arguments: &[String]) -> ExitCode {
    match arguments.first().map(String::as_str) {
        None => {
            eprint!("{}", overview());
            ExitCode::from(USAGE)
        }
        Some("--help" | "-h" | "help") => {
            print!("{}", overview());
            ExitCode::SUCCESS
        }
        Some("--version") => {
            println!("shelfjunction-lab {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Some(name) => run_command(name, &arguments[1..]),
    }
}

fn run_command(name: &str, arguments: &[String]) -> ExitCode {
    let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
        eprintln!("unknown command: {name}");
        eprint!("{}", overview());
        return ExitCode::from(USAGE);
    };
    let result = match Options::parse(command, arguments) {
        Ok(Some(options)) => (command.run)(&options),
        Ok(None) => Ok(()),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CommandError::Usage(message)) => {
            eprintln!("{message}");
            eprintln!("see shelfjunction-lab {name} --help");
            ExitCode::from(USAGE)
        }
        Err(CommandError::Failed(message)) => {
            eprintln!("{message}");
            ExitCode::from(FAILED)
        }
    }
}

fn overview() -> String {
    let mut text = "Usage: shelfjunction-lab COMMAND [OPTIONS]\n\nCommands:\n".to_owned();
    for command in COMMANDS {
        text.push_str(&format!("    {:<12}{}\n", command.name, command.summary));
    }
    text.push_str("\nEach command has --help.\n");
    text
}
