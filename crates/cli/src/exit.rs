//! Exit codes and the errors that lead to them.

use shelfjunction_core::setting::FieldError;
use shelfjunction_protocol::operator::AdminError;
use std::fmt;
use std::process::ExitCode;

/// How the program ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Done: 0.
    Done,
    /// Refused or failed: 1.
    Refused,
    /// Wrong usage or settings: 2.
    Usage,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        match exit {
            Exit::Done => Self::SUCCESS,
            Exit::Refused => Self::from(1),
            Exit::Usage => Self::from(2),
        }
    }
}

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub enum CommandError {
    /// The arguments are wrong; the text says how and what is expected.
    Usage(String),
    /// Settings or the fields of a file are wrong; all of them.
    Settings(Vec<FieldError>),
    /// A bundle breaks the rules; every fault.
    InvalidBundle(Vec<FieldError>),
    /// The gateway refused or failed.
    Refused(Box<AdminError>),
    /// The work failed.
    Failed(String),
}

impl CommandError {
    /// The exit code of the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) | Self::Settings(_) => Exit::Usage,
            Self::InvalidBundle(_) | Self::Refused(_) | Self::Failed(_) => Exit::Refused,
        }
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text) => writeln!(formatter, "{}", text.trim_end()),
            Self::Settings(errors) | Self::InvalidBundle(errors) => {
                errors.iter().try_for_each(|error| writeln!(formatter, "{error}"))
            }
            Self::Refused(error) => write_refusal(formatter, error),
            Self::Failed(text) => writeln!(formatter, "{}", text.trim_end()),
        }
    }
}

fn write_refusal(formatter: &mut fmt::Formatter<'_>, error: &AdminError) -> fmt::Result {
    writeln!(formatter, "refused: {}", error.message)?;
    for fault in &error.faults {
        writeln!(
            formatter,
            "{} = {}: allowed is {}",
            fault.field, fault.value, fault.allowed
        )?;
    }
    Ok(())
}
