//! Why a controller could not start.

use shelfjunction_core::setting::FieldError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why a controller could not start; nothing of it runs after this.
#[derive(Debug)]
pub enum StartError {
    /// Settings are wrong.
    Settings(Vec<FieldError>),
    /// An address could not be bound.
    Bind {
        /// The address asked for.
        address: SocketAddr,
        /// What the system said.
        error: String,
    },
    /// A thread could not be started.
    Thread(io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => {
                write!(formatter, "{} settings are wrong", errors.len())?;
                errors.iter().try_for_each(|error| write!(formatter, "; {error}"))
            }
            Self::Bind { address, error } => write!(formatter, "can't listen on {address}: {error}"),
            Self::Thread(error) => write!(formatter, "can't start a thread: {error}"),
        }
    }
}
