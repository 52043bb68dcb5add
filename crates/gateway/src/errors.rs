//! Why a gateway could not start.

use shelfjunction_core::setting::FieldError;
use std::fmt;
use std::io;

/// Why a gateway could not start.
#[derive(Debug)]
pub enum StartError {
    /// Settings are wrong; all of them are listed.
    Settings(Vec<FieldError>),
    /// The address could not be bound, or a thread not started.
    Io(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                write!(formatter, "wrong settings: {}", lines.join("; "))
            }
            StartError::Io(error) => write!(formatter, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<io::Error> for StartError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
